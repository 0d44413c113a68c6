#pragma once

#include "lovagebeam/routing/types.h"

#include <string>
#include <variant>
#include <vector>

namespace lovagebeam::routing {

/// Advances timers. The daemon feeds one at least every 10 ms.
struct tick {};

/// A request of an authenticated caller, or one to an open queue. The router answers it exactly
/// once with `answer_caller`. An empty key means that the caller cannot repeat or ask for it.
struct caller_request {
    caller_id caller;
    base::team_id team; ///< "queue:<name>" for an open queue.
    work_class priority = work_class::interactive;
    base::idempotency_key key;
    base::work_key work_key; ///< Empty: no lock.
    base::duration timeout{};
    bool repeatable = true;
    std::string body;
};

/// The caller's connection is closed. Its work is not cancelled; no answer follows.
struct caller_disconnected {
    caller_id caller;
};

/// Asks for the result of an earlier request; answered once with `answer_query`.
struct result_query {
    caller_id caller;
    base::team_id team;
    base::idempotency_key key;
};

/// Bytes of a routing.proto `RoutingMessage` from an authenticated peer.
struct peer_message {
    base::node_id from;
    std::string bytes;
};

/// All connections to a peer are lost.
struct peer_lost {
    base::node_id peer;
};

/// A target's announcement, received by this host from the target. The router forwards it.
struct target_announced {
    target_info info;
    bool leaving = false;
    std::vector<running_attempt> running;
};

/// The end of an attempt after `start_attempt`, fed exactly once for each.
struct attempt_ended {
    base::attempt_id attempt;
    attempt_result result = attempt_result::reset;
    std::string body;            ///< The answer, if `answered`.
    std::uint32_t status = 200;  ///< The HTTP status, if `answered`.
    bool is_stale_epoch = false; ///< The target refused because it knows a newer epoch.
};

/// The end of a `fence_target`, fed exactly once for each.
struct fence_answered {
    base::target_id target;
    base::epoch number; ///< The epoch that was sent.
    fence_result result = fence_result::unreachable;
    std::vector<running_attempt> running; ///< If `fenced`.
};

/// The end of a `query_attempt`, fed exactly once for each.
struct query_answered {
    base::attempt_id attempt;
    base::target_id target;
    attempt_state state = attempt_state::unreachable;
    std::string body; ///< The answer, if `ended`.
    std::uint32_t status = 200;
};

/// A membership epoch, fed when the replicated state applies it. Numbers grow; older ones are
/// ignored.
struct epoch_installed {
    base::epoch number;
    std::vector<base::node_id> members;
    /// Whether the member with this host's id is this run of the process. After a restart it stays
    /// false until an epoch that was committed because this run joined: an earlier run may have
    /// accepted work in an older epoch, and its memory is lost.
    bool is_self_joined = false;
    /// All intents that the state holds at this epoch: open ones and those kept until they expire.
    std::vector<intent> intents;
};

/// The leader answered this host. `request_sent_at` is when the host sent what the leader answered,
/// so that an answer that was read late does not extend the member lease.
struct leader_contact {
    base::time_point request_sent_at;
};

/// The end of a `commit_intent`, fed exactly once for each. When the result of the proposal is not
/// known, the daemon waits until it is, or feeds nothing.
struct intent_committed {
    base::attempt_id attempt;
    bool is_committed = false; ///< False: refused for good.
};

/// The limits_source has new values.
struct limits_changed {};

/// The process was asked to stop. The daemon also has an epoch without this host committed.
struct shutdown_requested {};

using event =
    std::variant<tick, caller_request, caller_disconnected, result_query, peer_message, peer_lost,
                 target_announced, attempt_ended, fence_answered, query_answered, epoch_installed,
                 leader_contact, intent_committed, limits_changed, shutdown_requested>;

} // namespace lovagebeam::routing
