#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/routing/types.h"

#include "routing.pb.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagebeam::routing {

/// Identifies a request at its owner.
using serial = std::uint64_t;

enum class request_phase : std::uint8_t {
    waiting,    ///< In the queue of its class.
    parked,     ///< Waits for its work key.
    backoff,    ///< Waits for the delay before a retry.
    committing, ///< A home reserved a slot; the intent is being committed.
    dispatched, ///< A home has the attempt.
    resolving,  ///< An attempt of a lost owner or home; its target is queried.
    done,
};

struct owner_team;

/// A request, identified by its team and idempotency key.
struct owner_request {
    owner_team* team = nullptr;
    std::string key;
    std::string work_key;
    work_class priority = work_class::interactive;
    bool is_repeatable = true;
    bool has_caller_key = true;
    bool is_adopted = false; ///< Known from a report or intent; there is no body to resend.
    base::time_point deadline;
    std::string body;
    request_phase phase = request_phase::waiting;
    std::vector<std::string> submissions; ///< Submissions that wait for the end.

    std::string attempt; ///< The current attempt.
    proto::RoutingId attempt_id;
    bool is_outstanding = false; ///< Counts towards the upper limit and holds its work key.
    bool is_intent_committed = false;
    base::node_id home;
    std::string target; ///< Empty until the home has chosen one.
    bool is_waiting_at_home = false;
    bool is_confirmed_by_home = false;
    base::epoch attempt_epoch;   ///< Epoch of the dispatch.
    base::epoch confirmed_epoch; ///< Latest epoch in which a home confirmed the attempt.
    std::uint32_t attempts = 0;
    bool is_retry = false;

    outcome result = outcome::unknown;
    base::error_code code = base::error_code::internal_error;
    std::uint32_t status = 0;
    bool is_body_dropped = false;
    base::time_point expires;
    base::time_point next_at; ///< Timers that fire earlier are ignored.
};

/// A submission of an entry host, retained until that host acknowledges its end.
struct submission {
    proto::RoutingId id;
    base::node_id entry;
    serial request = 0; ///< 0 if it ended as `not_run`.
    base::error_code code = base::error_code::internal_error;
    base::time_point expires;
};

/// Number of attempts of a team that wait at one home, by class.
using waiting_counts = std::array<std::uint32_t, work_class_count>;

struct work_key_lock {
    serial holder = 0;
    std::deque<serial> parked;
};

struct owner_team {
    std::string name;
    bool is_owned = true;
    bool is_ready = false; ///< False while reports or unconfirmed targets are awaited.
    std::unordered_map<std::string, serial> by_key;
    std::array<std::deque<serial>, work_class_count> queues;
    std::array<std::uint32_t, work_class_count> waiting{}; ///< Waiting, parked or backing off.
    std::unordered_map<std::string, work_key_lock> locks;
    std::unordered_map<base::node_id, waiting_counts> waiting_at_homes;
    std::uint32_t outstanding = 0; ///< Attempts that run or may start at any time.
    double retry_tokens = 3;
    std::array<double, work_class_count> mean_service_us{};
};

/// The last slot status received from a home.
struct home_view {
    std::uint64_t number = 0;
    std::uint32_t slots = 0;
    std::uint32_t free_slots = 0;
    std::uint32_t sent = 0; ///< Dispatches to it since that status.
    base::time_point received_at;
};

} // namespace lovagebeam::routing
