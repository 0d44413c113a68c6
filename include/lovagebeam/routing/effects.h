#pragma once

#include "lovagebeam/routing/types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagebeam::routing {

/// Answers a `caller_request`. Emitted exactly once for each.
struct answer_caller {
    caller_id caller;
    outcome result = outcome::unknown;
    std::optional<base::error_code> code; ///< Set unless `completed`.
    std::string body;                     ///< The target's response, if `completed`.
    std::uint32_t status = 200;           ///< The target's HTTP status, if `completed`.
};

/// Answers a `result_query`. Emitted exactly once for each.
struct answer_query {
    caller_id caller;
    /// Empty if the owner could not be reached; `code` gives the reason.
    std::optional<result_state> state;
    std::optional<base::error_code> code;
    std::string body; ///< The stored response, if `completed`.
    std::uint32_t status = 200;
};

/// Sends bytes to a peer. Delivery is not guaranteed; the router retransmits.
struct send_peer {
    base::node_id to;
    std::string bytes;
};

/// Sends an attempt to a target, once, on one of at most 20 connections. The time left until
/// `lease_until` is sent as Lovagebeam-Lease-Ms; when it has passed, nothing is sent and the
/// attempt ends as `connect_failed`.
struct start_attempt {
    base::attempt_id attempt;
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::epoch number;
    base::team_id team;
    base::idempotency_key key;
    base::work_key work_key;
    base::time_point lease_until;
    std::string body;
};

/// Fences a target. The client gives up after `timeout`.
struct fence_target {
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::epoch number;
    base::duration timeout{};
};

/// Queries a target for the state of an attempt on a new connection. The client gives up after
/// `timeout`.
struct query_attempt {
    base::attempt_id attempt;
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::duration timeout{};
};

/// Closes the connection of an attempt whose lease has expired. `attempt_ended` still follows.
struct cancel_attempt {
    base::attempt_id attempt;
};

/// Commits an intent to the replicated state; `intent_committed` follows.
struct commit_intent {
    intent record;
};

/// Reports that the attempt of an intent has ended. The replicated state removes the intent if
/// `not_run` and otherwise keeps it for the result retention time.
struct end_intent {
    base::team_id team;
    base::attempt_id attempt;
    outcome result = outcome::unknown;
};

/// Reports that all work has ended after `shutdown_requested`. Emitted once.
struct drained {};

using effect = std::variant<answer_caller, answer_query, send_peer, start_attempt, fence_target,
                            query_attempt, cancel_attempt, commit_intent, end_intent, drained>;

/// Must be executed in order.
using effects = std::vector<effect>;

} // namespace lovagebeam::routing
