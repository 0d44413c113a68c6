#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/routing/types.h"

#include "routing.pb.h"
#include "target_health.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lovagebeam::routing {

enum class home_phase : std::uint8_t {
    waiting,     ///< For a slot.
    reserved,    ///< Has a slot and waits for Proceed.
    running,     ///< Sent; the connection is open.
    unconfirmed, ///< Sent; the connection is closed without an answer. The target is asked.
    adopted,     ///< Reported by the target at a fence; sent by an earlier home.
    resolving,   ///< Of an open intent; the target is asked. Takes no slot.
    ended,       ///< Waits until the owners have the end.
};

struct home_attempt {
    std::string id;
    std::string team;
    std::string key;
    std::string work_key;
    home_phase phase = home_phase::waiting;
    std::string body;
    std::string target;
    bool is_retry = false;
    bool needs_intent = false;
    bool was_at_target = false;
    base::time_point lease_until;
    base::time_point release_at; ///< No clock can see the lease as running any more.
    base::time_point started;
    base::time_point next_at; ///< Earlier timers are obsolete.
    bool is_querying = false;
    bool is_cancelled = false;
    base::error_code unconfirmed_code = base::error_code::timed_out;
    std::uint32_t queries = 0;

    base::node_id sender; ///< The owner that dispatched it; empty if adopted.
    std::vector<base::node_id> acknowledged;
    proto::AttemptEnded end;
    base::time_point ended_at;
    std::uint32_t pushes = 0;
};

struct home_target {
    target_info info;
    bool is_homed_here = false;
    bool is_leaving = false;
    bool is_fencing = false;
    bool is_draining = false;
    bool was_retained = false; ///< This host was its home in the epoch before and knows what runs.
    bool is_confirmed = false; ///< Its former home is alive and reports what runs.
    base::epoch fenced_epoch;  ///< The epoch of the last fence that it answered.
    base::epoch known_epoch;   ///< The epoch for which this host knows what runs there.
    base::time_point next_fence_at;
    base::time_point last_announced;
    base::time_point leaving_until; ///< Overtaken announcements do not end it before.
    std::uint32_t used_slots = 0;   ///< Slots of attempts that run or may run.
    std::uint32_t connections = 0;  ///< Calls under way.
    std::uint64_t added_version = 0;
    double retry_tokens = 2;
    target_health health;
};

inline bool takes_slot(home_phase phase)
{
    return phase == home_phase::reserved || phase == home_phase::running ||
           phase == home_phase::unconfirmed || phase == home_phase::adopted;
}

} // namespace lovagebeam::routing
