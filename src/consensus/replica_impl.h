#pragma once

#include "lovagebeam/consensus/replica.h"

#include "progress.h"
#include "raft_log.h"

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace lovagebeam::consensus {

/// Initial state of a replica, validated by `replica_builder`.
struct replica_initial_state {
    member self;
    bool durable = true;
    hard_state state;
    snapshot_meta snapshot;
    std::vector<log_entry> entries;
    replica_timing timing;
    base::random_source random{1};
    base::time_point now;
};

class replica_impl final : public replica {
public:
    explicit replica_impl(replica_initial_state start);

    effects step(base::time_point now, event input) override;

    [[nodiscard]] replica_role role() const override { return m_role; }
    [[nodiscard]] term current_term() const override { return m_hard_state.term; }
    [[nodiscard]] base::node_id leader() const override { return m_leader.id; }
    [[nodiscard]] log_index commit_index() const override { return m_commit_index; }
    [[nodiscard]] log_index last_index() const override { return m_log.last_index(); }
    [[nodiscard]] const group_config& config() const override { return m_log.config(); }
    [[nodiscard]] bool is_config_committed() const override
    {
        return m_log.config_index() <= m_commit_index;
    }
    [[nodiscard]] std::optional<snapshot_meta> describe_snapshot(log_index applied) const override;
    [[nodiscard]] std::vector<member_status> members(base::time_point now) const override;

private:
    struct deferred_message {
        storage_sequence sequence;
        proto::ConsensusMessage message;
    };
    struct pending_write {
        storage_sequence sequence;
        log_index durable_index;
    };
    struct round_start {
        std::uint64_t round = 0;
        base::time_point time;
    };
    struct pending_read {
        std::uint64_t round = 0;
        std::vector<request_tag> tags;
    };
    struct response_record {
        std::uint64_t number = 0;
        base::time_point time;
    };
    struct transfer_state {
        base::node_id target;
        base::time_point deadline;
        bool request_sent = false;
    };
    struct incoming_snapshot {
        snapshot_meta meta;
        std::uint64_t next_offset = 0;
        bool storing = false;
        bool installing = false;
    };

    // replica_step.cpp: events, persistence, outgoing messages.
    void handle(const tick& input);
    void handle(const message_received& input);
    void handle(propose& input);
    void handle(const read& input);
    void handle(const storage_done& input);
    void handle(const change_membership& input);
    void handle(const transfer_leadership& input);
    void handle(const snapshot_saved& input);
    void handle(snapshot_chunk_read& input);
    void handle(const snapshot_chunk_stored& input);
    void handle(const snapshot_installed& input);
    void handle(const snapshot_install_failed& input);
    void finish_step();
    void emit_persist();
    void emit_committed();
    void emit_contact();
    proto::ConsensusMessage make_message(const member& to) const;
    void send(proto::ConsensusMessage message);
    void append_to_log(log_entry entry);
    void truncate_log(log_index from);
    void mark_hard_state_changed();
    void complete_writes(storage_sequence sequence);

    // replica_election.cpp: terms, votes, roles.
    bool check_addressee(const proto::ConsensusMessage& message);
    void report_wrong_incarnation(const proto::ConsensusMessage& message);
    bool update_term(const proto::ConsensusMessage& message);
    void dispatch(const proto::ConsensusMessage& message);
    void become_follower(term new_term, const member& new_leader);
    void step_down();
    void respond_to_vote_request(const proto::ConsensusMessage& message, bool granted);
    void reject_stale_leader(const proto::ConsensusMessage& message);
    void start_pre_vote();
    void start_election(bool transfer);
    void request_votes(term requested, bool pre_vote, bool transfer);
    void count_votes();
    void become_leader();
    void on_vote_request(const proto::ConsensusMessage& message);
    void on_vote_response(const proto::ConsensusMessage& message);
    void on_timeout_now(const proto::ConsensusMessage& message);
    [[nodiscard]] bool is_log_up_to_date(const proto::VoteRequest& request) const;
    [[nodiscard]] bool may_leader_hold_lease() const;
    [[nodiscard]] bool is_voter(const member& candidate) const;
    [[nodiscard]] replica_role non_leader_role() const;
    void reset_election_deadline();
    void refresh_members();

    // replica_leader.cpp: replication, commit, quorum contact.
    void broadcast_heartbeat(bool voters_only);
    void start_round();
    void send_heartbeat(progress& peer);
    void send_entries(progress& peer);
    std::size_t send_append(progress& peer, log_index prev, std::size_t max_entries);
    void send_entries_to_all();
    [[nodiscard]] std::size_t majority() const;
    void on_append_response(const proto::ConsensusMessage& message);
    progress* record_response(const proto::ConsensusMessage& message, std::uint64_t round,
                              std::uint64_t response, bool durable);
    void on_accepted(progress& peer, log_index match);
    void on_rejected(progress& peer, const proto::AppendResponse& response);
    void reset_progress(progress& peer);
    void advance_commit();
    void update_quorum_contact();
    void check_quorum();
    [[nodiscard]] bool holds_lease() const;
    [[nodiscard]] bool has_quorum_contact() const;
    [[nodiscard]] base::duration lease_duration() const;
    [[nodiscard]] bool has_committed_in_term() const;
    [[nodiscard]] base::time_point earliest_contact_loss() const;

    // replica_follower.cpp: the receiving side of replication.
    void on_append_request(const proto::ConsensusMessage& message);
    void record_leader_contact(const proto::ConsensusMessage& message);
    void record_confirmed_response(std::uint64_t number);
    bool append_entries(const proto::AppendRequest& request);
    void append_matching(std::vector<log_entry> entries);
    void reject_append(const proto::AppendRequest& request);
    void acknowledge();
    std::uint64_t next_response_number();

    // replica_requests.cpp: reads, membership, transfer.
    void reject_proposal(request_tag tag, base::error_code code, std::string_view text);
    void reject_reads(const std::vector<request_tag>& tags, base::error_code code,
                      std::string_view text);
    void fail_pending_reads(base::error_code code, std::string_view text);
    void serve_confirmed_reads();
    [[nodiscard]] absl::Status check_change(const membership_change& change) const;
    [[nodiscard]] absl::Status check_promotion(const member& candidate) const;
    [[nodiscard]] group_config changed_config(const membership_change& change) const;
    [[nodiscard]] absl::Status check_majority(const group_config& next) const;
    void continue_transfer();
    void expire_transfer();

    // replica_snapshot.cpp: compaction and transfer of snapshots.
    void begin_snapshot(progress& peer);
    void offer_snapshot(progress& peer);
    void request_chunk_read(progress& peer);
    void resume_snapshot(progress& peer);
    void on_snapshot_chunk(const proto::ConsensusMessage& message);
    void store_chunk(const proto::SnapshotChunk& chunk);
    void on_snapshot_response(const proto::ConsensusMessage& message);
    void send_snapshot_response(log_index index, std::uint64_t next_offset, bool installed,
                                bool installing);

    // Identity and limits.
    member m_self;
    bool m_durable;
    replica_timing m_timing;
    base::random_source m_random;

    // Persistent state and pending writes.
    hard_state m_hard_state;
    raft_log m_log;
    snapshot_meta m_snapshot;
    storage_sequence m_last_sequence;
    storage_sequence m_durable_sequence;
    storage_sequence m_hard_state_sequence;
    log_index m_durable_index;
    std::deque<pending_write> m_pending_writes;
    std::deque<deferred_message> m_deferred_messages;

    // Collected during one step.
    base::time_point m_now;
    effects m_effects;
    bool m_hard_state_changed = false;
    std::optional<log_index> m_truncate_from;
    std::optional<log_index> m_append_from;
    role_change m_reported_role;

    // Roles.
    replica_role m_role = replica_role::learner;
    member m_leader;
    log_index m_commit_index;
    log_index m_applied_index;
    base::time_point m_election_deadline;
    base::time_point m_no_vote_until;
    std::set<base::node_id> m_votes;
    bool m_transfer_election = false;

    // Following.
    std::optional<base::time_point> m_last_leader_contact;
    std::optional<base::time_point> m_confirmed_contact;
    std::deque<response_record> m_sent_responses;
    std::uint64_t m_last_response_number = 0;
    std::uint64_t m_leader_round = 0;
    log_index m_verified_index;
    bool m_acknowledgement_due = false;
    std::optional<incoming_snapshot> m_incoming_snapshot;

    // Leading.
    std::map<base::node_id, progress> m_progress;
    base::time_point m_leader_since;
    base::time_point m_next_heartbeat;
    std::uint64_t m_round = 0;
    std::uint64_t m_quorum_round = 0;
    std::deque<round_start> m_rounds;
    std::optional<base::time_point> m_last_quorum_contact;
    bool m_lease_revoked = false;
    bool m_elected_by_transfer = false;
    std::deque<pending_read> m_pending_reads;
    std::optional<transfer_state> m_transfer;
    std::size_t m_uncommitted_bytes = 0;
};

} // namespace lovagebeam::consensus
