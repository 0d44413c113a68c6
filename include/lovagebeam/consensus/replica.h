#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/effects.h"
#include "lovagebeam/consensus/events.h"
#include "lovagebeam/consensus/types.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lovagebeam::consensus {

/// Times and limits. All replicas of a group must use the same election_timeout_min and
/// clock_drift, since the leader's lease rests on them.
struct replica_timing {
    std::chrono::milliseconds election_timeout_min{300};
    std::chrono::milliseconds election_timeout_max{600};
    std::chrono::milliseconds heartbeat_interval{60};
    /// The largest deviation of a host's monotonic clock from true time, as a fraction.
    double clock_drift = 0.01;
    std::size_t max_batch_entries = 256;
    std::size_t max_batch_bytes = 256 * 1024;
    /// Append messages to one member that may be unacknowledged.
    std::size_t max_inflight_messages = 16;
    /// Proposals are refused as queue_full beyond this many bytes of uncommitted entries.
    std::size_t max_uncommitted_bytes = 64 * 1024 * 1024;
    std::size_t snapshot_chunk_bytes = 256 * 1024;
    /// Entries kept in memory behind a snapshot, so that a member that is a little behind needs no
    /// snapshot.
    std::size_t retained_entries = 1024;
    /// A learner may be promoted when it lacks at most this many entries.
    std::size_t promotion_lag = 256;
};

/// What the leader knows about one member.
struct member_status {
    consensus::member member;
    bool voter = false;
    /// True if the member says that it keeps its log on a disk.
    bool durable = false;
    log_index match;
    /// True if the member lacks at most promotion_lag entries.
    bool caught_up = false;
    /// When the member last answered, and never before this leader's election or the member's
    /// addition: a new leader gives every member a full member lease. A member that is removed
    /// from the group may have been in contact until then. May lie up to election_timeout_min in
    /// the future after a transfer, while the former leader can still be renewing leases.
    base::time_point last_response;
    /// False if the member hasn't answered this leader yet.
    bool responded = false;
    /// The incarnation under which the host answered, if it isn't the member's: the disk is lost.
    std::optional<incarnation> other_incarnation;
    /// True while a snapshot is being sent to the member. Saving a new snapshot meanwhile makes
    /// the transfer start again.
    bool snapshot_in_progress = false;
};

/// One member's part of the replicated log. A state machine: it has no sockets, threads, files or
/// clocks. Not thread-safe. Log entries since the last snapshot are held in memory.
class replica {
public:
    virtual ~replica() = default;
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Takes one event and returns what is to be done. `now` never decreases between calls. A
    /// refused request is reported in the effects; nothing is thrown for any event or message.
    virtual effects step(base::time_point now, event input) = 0;

    [[nodiscard]] virtual replica_role role() const = 0;
    [[nodiscard]] virtual term current_term() const = 0;
    /// Returns the leader of the present term, or an empty id.
    [[nodiscard]] virtual base::node_id leader() const = 0;
    [[nodiscard]] virtual log_index commit_index() const = 0;
    [[nodiscard]] virtual log_index last_index() const = 0;
    /// Returns the configuration in force: the latest in the log, committed or not.
    [[nodiscard]] virtual const group_config& config() const = 0;
    /// Tells whether the configuration in force is committed.
    [[nodiscard]] virtual bool is_config_committed() const = 0;
    /// Returns index, term and configuration for a snapshot of the state machine after `applied`,
    /// which must have been in an effect and lie behind the last snapshot. Size and checksum are
    /// left to the caller. Returns nothing if `applied` is out of this range, or on a new learner
    /// that doesn't know the configuration at `applied` yet.
    [[nodiscard]] virtual std::optional<snapshot_meta>
    describe_snapshot(log_index applied) const = 0;
    /// Returns what the leader knows about each member, itself included; empty on others.
    [[nodiscard]] virtual std::vector<member_status> members(base::time_point now) const = 0;

protected:
    replica() = default;
};

/// Collects what a replica starts from. A new group starts on every first voter with the same
/// group id and a snapshot of index 0 whose configuration lists them; any other new host starts
/// with nothing but its identity and is added by a membership change.
class replica_builder {
public:
    explicit replica_builder(member self);

    /// False for a member without a disk: it never votes, and emits no persist effects.
    replica_builder& durable(bool value);
    replica_builder& state(hard_state value);
    /// The last snapshot, to which the state machine has been set before.
    replica_builder& snapshot(snapshot_meta value);
    /// The stored entries in order; those covered by the snapshot are ignored.
    replica_builder& entries(std::vector<log_entry> value);
    replica_builder& timing(replica_timing value);
    replica_builder& random(base::random_source value);

    /// Returns the replica, or invalid_settings for impossible times and log_corrupt for entries
    /// that leave a gap, go back in term or can't be decoded. `now` begins a time of
    /// election_timeout_min in which it grants no vote, since a leader that it heard before the
    /// restart may still hold a lease.
    absl::StatusOr<std::unique_ptr<replica>> build(base::time_point now);

private:
    member m_self;
    bool m_durable = true;
    hard_state m_state;
    snapshot_meta m_snapshot;
    std::vector<log_entry> m_entries;
    replica_timing m_timing;
    base::random_source m_random{1};
};

} // namespace lovagebeam::consensus
