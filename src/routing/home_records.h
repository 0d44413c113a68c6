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
    waiting,     ///< Waits for a slot.
    reserved,    ///< Has a slot and waits for Proceed.
    running,     ///< Sent; the connection is open.
    unconfirmed, ///< Sent; the connection closed without an answer. The target is queried.
    adopted,     ///< Reported by the target in a fence response; sent by an earlier home.
    resolving,   ///< Belongs to an open intent; the target is queried. Takes no slot.
    ended,       ///< Ended; waits until the owners acknowledge the end.
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
    base::time_point release_at; ///< The lease has expired by every host's clock.
    base::time_point started;
    base::time_point next_at; ///< Timers that fire earlier are ignored.
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
    bool was_retained = false; ///< Homed here in the previous epoch; this host knows what runs.
    bool is_confirmed = false; ///< Its previous home is a member and reports what runs.
    base::epoch fenced_epoch;  ///< Epoch of the last fence that it answered.
    base::epoch known_epoch;   ///< Latest epoch for which this host knows what runs there.
    base::time_point next_fence_at;
    base::time_point last_announced;
    /// Until then, a reordered announcement does not reset `is_leaving`.
    base::time_point leaving_until;
    std::uint32_t used_slots = 0;  ///< Slots of attempts that run or may still run.
    std::uint32_t connections = 0; ///< Calls in flight.
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
