#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/replica.h"
#include "lovagebeam/state/cell_state.h"

#include "cluster.pb.h"
#include "digest_history.h"
#include "ports.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagebeam::daemon {

/// Receives changes of the replicated state and of the replica's role, on the decisions thread.
class state_listener {
public:
    state_listener() = default;
    state_listener(const state_listener&) = delete;
    state_listener& operator=(const state_listener&) = delete;
    virtual ~state_listener() = default;

    /// Called after `command` was applied with `result`.
    virtual void on_applied(base::time_point now, const state::command& command,
                            const state::apply_result& result) = 0;
    /// Called after a snapshot replaced the whole state.
    virtual void on_state_replaced(base::time_point now) = 0;
    virtual void on_role_changed(base::time_point now, const consensus::role_change& change) = 0;
};

/// One host's copy of the replicated state: drives the consensus replica, applies committed
/// commands, and forwards proposals and linearizable reads to the leader. Not thread-safe; used on
/// the decisions thread only.
class replication {
public:
    using propose_done = std::function<void(absl::StatusOr<state::apply_result>)>;
    using read_done = std::function<void(absl::Status)>;

    struct dependencies {
        base::node_id self;
        std::unique_ptr<consensus::replica> replica;
        state::cell_state state;
        consensus::snapshot_meta snapshot;
        std::shared_ptr<const std::string> snapshot_bytes;
        peer_sender* sender = nullptr;
        log_writer* writer = nullptr;
        state_listener* listener = nullptr;
    };

    explicit replication(dependencies initial);

    void tick(base::time_point now);

    /// Passes the proposals and reads added since the last call to the local replica.
    void flush(base::time_point now);

    void on_consensus(base::time_point now, consensus::proto::ConsensusMessage message);
    void on_propose(base::time_point now, const base::node_id& from, const proto::Propose& message);
    void on_propose_result(const proto::ProposeResult& message);
    void on_read_index(const base::node_id& from, const proto::ReadIndex& message);
    void on_read_index_result(const proto::ReadIndexResult& message);

    /// Commits `body` through the leader, on whichever host it is, and calls `done` with the result
    /// of applying it. The command is proposed again until `deadline`; then `done` gets `timed_out`
    /// and the command may still be applied later.
    void propose(base::time_point now, state::command body, base::time_point deadline,
                 propose_done done);

    /// Commits `body` only if this host is the leader and remains so in the same term; it is never
    /// forwarded to another leader. `done` gets `not_leader` or `queue_full` if the command was
    /// refused and will never be applied, and `timed_out` if the outcome is unknown.
    void propose_as_leader(base::time_point now, state::command body, base::time_point deadline,
                           propose_done done);

    /// Calls `done` once the local state includes everything that was committed before this call.
    void read(base::time_point now, base::time_point deadline, read_done done);

    /// Proposes a change of the group's members. Call it on the leader only. Errors aren't
    /// reported; the caller tries again later.
    void change_membership(base::time_point now, consensus::membership_change change);

    /// Transfers leadership to another host, if this host is the leader.
    void transfer_leadership(base::time_point now);

    [[nodiscard]] const state::cell_state& state() const { return m_state; }
    [[nodiscard]] const consensus::replica& replica() const { return *m_replica; }
    [[nodiscard]] const consensus::contact_times& contact() const { return m_contact; }
    [[nodiscard]] bool is_leader() const;
    /// Returns whether this host is the leader, its lease is valid at `now`, and it has applied
    /// everything that earlier leaders committed.
    [[nodiscard]] bool is_established_leader(base::time_point now) const;
    /// Returns whether a command that was proposed in the current term and whose `done` got
    /// `timed_out` may still be applied.
    [[nodiscard]] bool has_undecided_proposals() const;
    [[nodiscard]] std::uint64_t applied_index() const { return m_applied.value(); }
    [[nodiscard]] const digest_history& digests() const { return m_digests; }

private:
    struct pending_proposal {
        std::string command;
        base::time_point deadline;
        base::time_point last_sent;
        propose_done done;
        /// Set if the proposal was received from another host.
        bool is_remote = false;
        /// Set if the proposal may be committed only in the current leader's term.
        bool is_term_bound = false;
    };
    struct pending_read {
        base::time_point deadline;
        base::time_point last_sent;
        std::optional<std::uint64_t> index;
        read_done done;
    };
    struct accepted_proposal {
        consensus::request_tag tag;
        consensus::term term;
    };

    void step(base::time_point now, consensus::event event);
    void apply_effects(base::time_point now, consensus::effects effects);
    void send(const base::node_id& to, const proto::ClusterMessage& message,
              peers::channel which = peers::channel::consensus);
    void apply_entry(base::time_point now, const consensus::log_entry& entry);
    void finish_accepted_proposal(const consensus::log_entry& entry,
                                  const state::apply_result& result);
    void handle_proposal_result(const consensus::proposal_result& result);
    void handle_read_result(const consensus::read_result& result);
    void finish_proposal(consensus::request_tag tag, absl::StatusOr<state::apply_result> result);
    void finish_reads();
    void resend_unanswered(base::time_point now);
    void submit(base::time_point now, consensus::request_tag tag, pending_proposal& pending);
    void submit_read(base::time_point now, consensus::request_tag tag, pending_read& pending);
    void expire(base::time_point now);
    void save_snapshot_if_due(base::time_point now);
    void on_snapshot_effect(base::time_point now, consensus::snapshot_effect effect);
    void store_chunk(base::time_point now, const consensus::store_snapshot_chunk& chunk);
    void install_snapshot(base::time_point now, const consensus::snapshot_meta& meta);
    consensus::request_tag next_tag();

    base::node_id m_self;
    std::unique_ptr<consensus::replica> m_replica;
    state::cell_state m_state;
    consensus::log_index m_applied;
    consensus::term m_applied_term;
    digest_history m_digests;
    consensus::snapshot_meta m_snapshot;
    std::shared_ptr<const std::string> m_snapshot_bytes;
    bool m_snapshot_in_progress = false;
    base::time_point m_next_snapshot;
    std::string m_incoming_snapshot;
    peer_sender& m_sender;
    log_writer& m_writer;
    state_listener& m_listener;
    consensus::contact_times m_contact;
    std::uint64_t m_last_tag = 0;
    std::map<consensus::request_tag, pending_proposal> m_proposals;
    std::map<consensus::request_tag, pending_read> m_reads;
    std::map<consensus::log_index, accepted_proposal> m_accepted_proposals;
    /// End of the log when a proposal last timed out, and the term then.
    consensus::log_index m_undecided_up_to;
    consensus::term m_undecided_term;
    std::vector<consensus::proposal> m_local_proposals;
    std::vector<consensus::request_tag> m_local_reads;
};

} // namespace lovagebeam::daemon
