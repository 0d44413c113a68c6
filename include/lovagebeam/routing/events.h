#pragma once

#include "lovagebeam/routing/types.h"

#include <string>
#include <variant>
#include <vector>

namespace lovagebeam::routing {

/// Advances the timers. The daemon passes one at least every 10 ms.
struct tick {};

/// A request of an authenticated caller, or one to an open queue. The router answers it exactly
/// once with `answer_caller`. With an empty key the caller can neither repeat the request nor query
/// its result.
struct caller_request {
    caller_id caller;
    base::team_id team; ///< "queue:<name>" for an open queue.
    work_class priority = work_class::interactive;
    base::idempotency_key key;
    base::work_key work_key; ///< Empty if the request takes no lock.
    base::duration timeout{};
    bool repeatable = true;
    std::string body;
};

/// The caller's connection was closed. Its work is not cancelled and no answer is emitted.
struct caller_disconnected {
    caller_id caller;
};

/// Queries the result of an earlier request; answered once with `answer_query`.
struct result_query {
    caller_id caller;
    base::team_id team;
    base::idempotency_key key;
};

/// A serialized `RoutingMessage` (routing.proto) from an authenticated peer.
struct peer_message {
    base::node_id from;
    std::string bytes;
};

/// All connections to a peer are lost.
struct peer_lost {
    base::node_id peer;
};

/// An announcement that this host received from a target. The router forwards it to the target's
/// home.
struct target_announced {
    target_info info;
    bool leaving = false;
    std::vector<running_attempt> running;
};

/// The end of an attempt, passed exactly once for each `start_attempt`.
struct attempt_ended {
    base::attempt_id attempt;
    attempt_result result = attempt_result::reset;
    std::string body;            ///< The response body, if `answered`.
    std::uint32_t status = 200;  ///< The HTTP status, if `answered`.
    bool is_stale_epoch = false; ///< The target refused because it has seen a newer epoch.
};

/// The result of a `fence_target`, passed exactly once for each.
struct fence_answered {
    base::target_id target;
    base::epoch number; ///< The epoch that was sent.
    fence_result result = fence_result::unreachable;
    std::vector<running_attempt> running; ///< If `fenced`.
};

/// The result of a `query_attempt`, passed exactly once for each.
struct query_answered {
    base::attempt_id attempt;
    base::target_id target;
    attempt_state state = attempt_state::unreachable;
    std::string body; ///< The response body, if `ended`.
    std::uint32_t status = 200;
};

/// A membership epoch, passed when the replicated state applies it. Epochs that are not newer than
/// the installed one are ignored.
struct epoch_installed {
    base::epoch number;
    std::vector<base::node_id> members;
    /// Whether the member with this host's id is this instance of the process. After a restart it
    /// stays false until an epoch is committed in which this instance joined: an earlier instance
    /// may have accepted work in an older epoch, and its state is lost.
    bool is_self_joined = false;
    /// All intents in the replicated state at this epoch: open ones and those retained until they
    /// expire.
    std::vector<intent> intents;
};

/// The leader answered this host. `request_sent_at` is when this host sent the request. The member
/// lease counts from then, so an answer that was read late does not extend it.
struct leader_contact {
    base::time_point request_sent_at;
};

/// The result of a `commit_intent`, passed at most once for each: while the result of the proposal
/// is unknown, the daemon passes nothing.
struct intent_committed {
    base::attempt_id attempt;
    bool is_committed = false; ///< False if permanently refused.
};

/// The values of `limits_source` have changed.
struct limits_changed {};

/// The process was requested to stop. The daemon also has an epoch without this host
/// committed.
struct shutdown_requested {};

using event =
    std::variant<tick, caller_request, caller_disconnected, result_query, peer_message, peer_lost,
                 target_announced, attempt_ended, fence_answered, query_answered, epoch_installed,
                 leader_contact, intent_committed, limits_changed, shutdown_requested>;

} // namespace lovagebeam::routing
