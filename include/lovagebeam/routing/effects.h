#pragma once

#include "lovagebeam/routing/types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagebeam::routing {

/// The one final answer to a `caller_request`.
struct answer_caller {
    caller_id caller;
    outcome result = outcome::unknown;
    std::optional<base::error_code> code; ///< Set unless `completed`.
    std::string body;                     ///< The target's answer, if `completed`.
    std::uint32_t status = 200;           ///< The target's HTTP status, if `completed`.
};

/// The one answer to a `result_query`.
struct answer_query {
    caller_id caller;
    /// Nothing if the owner could not be asked; `code` tells why.
    std::optional<result_state> state;
    std::optional<base::error_code> code;
    std::string body; ///< If `completed`.
    std::uint32_t status = 200;
};

/// Send bytes to a peer. They may be lost; the router sends again.
struct send_peer {
    base::node_id to;
    std::string bytes;
};

/// Send an attempt to a target, once, on one of at most 20 connections. `lease_until` becomes
/// Lovagebeam-Lease-Ms at the moment of sending; when it has passed, nothing is sent and the
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

/// Fence a target. The client gives up after `timeout`.
struct fence_target {
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::epoch number;
    base::duration timeout{};
};

/// Ask a target for an attempt on a fresh connection. The client gives up after `timeout`.
struct query_attempt {
    base::attempt_id attempt;
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::duration timeout{};
};

/// Close the connection of an attempt whose lease has ended. `attempt_ended` still follows.
struct cancel_attempt {
    base::attempt_id attempt;
};

/// Commit an intent; `intent_committed` follows.
struct commit_intent {
    intent record;
};

/// The attempt of an intent has ended: the state removes the intent if `not_run` and otherwise
/// keeps it until the retention of results has passed.
struct end_intent {
    base::team_id team;
    base::attempt_id attempt;
    outcome result = outcome::unknown;
};

/// After `shutdown_requested`: nothing is left to do. Sent once.
struct drained {};

using effect = std::variant<answer_caller, answer_query, send_peer, start_attempt, fence_target,
                            query_attempt, cancel_attempt, commit_intent, end_intent, drained>;

/// To be carried out in order.
using effects = std::vector<effect>;

} // namespace lovagebeam::routing
