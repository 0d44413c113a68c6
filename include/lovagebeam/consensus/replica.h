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

/// Timeouts and limits. All replicas of a group must use the same election_timeout_min and
/// clock_drift, because the leader's lease is derived from them.
struct replica_timing {
    std::chrono::milliseconds election_timeout_min{300};
    std::chrono::milliseconds election_timeout_max{600};
    std::chrono::milliseconds heartbeat_interval{60};
    /// The largest deviation of a host's monotonic clock from true time, as a fraction.
    double clock_drift = 0.01;
    std::size_t max_batch_entries = 256;
    std::size_t max_batch_bytes = 256 * 1024;
    /// Maximum number of unacknowledged append messages per member.
    std::size_t max_inflight_messages = 16;
    /// Proposals are rejected with queue_full beyond this many bytes of uncommitted entries.
    std::size_t max_uncommitted_bytes = 64 * 1024 * 1024;
    std::size_t snapshot_chunk_bytes = 256 * 1024;
    /// Number of entries up to the snapshot's index that stay in memory, so that a member that lags
    /// slightly doesn't need the snapshot.
    std::size_t retained_entries = 1024;
    /// A learner may be promoted when it lacks at most this many entries.
    std::size_t promotion_lag = 256;
};

/// The leader's view of one member.
struct member_status {
    consensus::member member;
    bool voter = false;
    /// True if the member reports that it stores its log on disk.
    bool durable = false;
    log_index match;
    /// True if the member lacks at most promotion_lag entries.
    bool caught_up = false;
    /// When the member last responded, but no earlier than this leader's election or the member's
    /// addition: a new leader grants every member a full member lease. A member that is removed
    /// from the group may have been in contact until then. May be up to election_timeout_min in the
    /// future after a leadership transfer, while the previous leader can still renew leases.
    base::time_point last_response;
    /// False if the member hasn't responded to this leader yet.
    bool responded = false;
    /// The incarnation that the host reported if it differs from the member's, which means that the
    /// disk was lost.
    std::optional<incarnation> other_incarnation;
    /// True while a snapshot is being sent to the member. Saving a new snapshot meanwhile restarts
    /// the transfer.
    bool snapshot_in_progress = false;
};

/// The Raft implementation of one member, as a state machine without sockets, threads, files or
/// clocks. Not thread-safe. Keeps the log entries since the last snapshot in memory.
class replica {
public:
    virtual ~replica() = default;
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// Processes one event and returns the resulting actions. `now` must not decrease between
    /// calls. A rejected request is reported in the effects; no event or message causes an
    /// exception.
    virtual effects step(base::time_point now, event input) = 0;

    [[nodiscard]] virtual replica_role role() const = 0;
    [[nodiscard]] virtual term current_term() const = 0;
    /// Returns the leader of the current term, or an empty id.
    [[nodiscard]] virtual base::node_id leader() const = 0;
    [[nodiscard]] virtual log_index commit_index() const = 0;
    [[nodiscard]] virtual log_index last_index() const = 0;
    /// Returns the active configuration: the latest in the log, committed or not.
    [[nodiscard]] virtual const group_config& config() const = 0;
    /// Returns whether the active configuration is committed.
    [[nodiscard]] virtual bool is_config_committed() const = 0;
    /// Returns index, term and configuration for a snapshot of the state machine after entry
    /// `applied`, which must have been returned in effects::committed and follow the last snapshot.
    /// The caller fills in size and checksum. Returns nothing if `applied` is out of this range, or
    /// on a new learner that doesn't know the configuration at `applied` yet.
    [[nodiscard]] virtual std::optional<snapshot_meta>
    describe_snapshot(log_index applied) const = 0;
    /// Returns the leader's view of each member, including itself; empty in other roles.
    [[nodiscard]] virtual std::vector<member_status> members(base::time_point now) const = 0;

protected:
    replica() = default;
};

/// Builds a replica from its stored state. To create a group, start every initial voter with the
/// same group id and a snapshot of index 0 whose configuration lists these voters; any other new
/// host starts with only its identity and is added by a membership change.
class replica_builder {
public:
    explicit replica_builder(member self);

    /// False for a member without a disk, which never votes and emits no persist requests.
    replica_builder& durable(bool value);
    replica_builder& state(hard_state value);
    /// The last snapshot. The state machine must already have been restored from it.
    replica_builder& snapshot(snapshot_meta value);
    /// The stored entries in order; those covered by the snapshot are ignored.
    replica_builder& entries(std::vector<log_entry> value);
    replica_builder& timing(replica_timing value);
    replica_builder& random(base::random_source value);

    /// Returns the replica, invalid_settings for inconsistent timing or a missing identity, or
    /// log_corrupt for entries that have a gap, a decreasing term or an undecodable configuration.
    /// The replica grants no votes for election_timeout_min after `now`, because a leader that it
    /// was in contact with before the restart may still hold a lease.
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
