#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/events.h"
#include "lovagebeam/consensus/types.h"

#include "consensus.pb.h"

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagebeam::consensus {

/// A message to send now, in order per receiver. Delivery may lose, duplicate or reorder it.
struct outgoing_message {
    base::node_id to;
    proto::ConsensusMessage message;
};

/// A write to make durable, in the order of `sequence`: first remove all entries from
/// `truncate_from` on, then append `entries`, then replace the hard state. Reply with storage_done
/// after the sync; several requests may share one sync and one storage_done for the last of them.
struct persist_request {
    storage_sequence sequence;
    std::optional<log_index> truncate_from;
    std::vector<log_entry> entries;
    std::optional<consensus::hard_state> hard_state;
};

/// The proposal was appended to the leader's log. It has taken effect if an entry of this term is
/// applied at this index, and never will if an entry of another term is.
struct proposal_accepted {
    request_tag tag;
    consensus::term term;
    log_index index;
};

/// The proposal isn't in any log and never will be. `reason` carries not_leader, no_quorum,
/// queue_full, or invalid_request.
struct proposal_rejected {
    request_tag tag;
    absl::Status reason;
    /// The leader, if known. Empty otherwise.
    base::node_id leader;
};

using proposal_result = std::variant<proposal_accepted, proposal_rejected>;

/// The read may be answered from the state machine once `index` is applied.
struct read_ready {
    request_tag tag;
    log_index index;
    /// True if the lease covered the read, so that no round trip was needed.
    bool by_lease = false;
};

/// The read can't be answered here; `reason` carries not_leader or no_quorum.
struct read_rejected {
    request_tag tag;
    absl::Status reason;
    base::node_id leader;
};

using read_result = std::variant<read_ready, read_rejected>;

/// Leader: member `to` needs these bytes of the snapshot `meta`. Reply with snapshot_chunk_read.
struct read_snapshot_chunk {
    base::node_id to;
    snapshot_meta meta;
    std::uint64_t offset = 0;
    std::uint64_t max_bytes = 0;
};

/// Receiver: store `data` at `offset` of the incoming snapshot `meta`; offset 0 discards an earlier
/// incomplete one. If `last`, verify the checksum, make the snapshot durable, discard the stored
/// log, replace the state machine and reply with snapshot_installed; otherwise reply with
/// snapshot_chunk_stored.
struct store_snapshot_chunk {
    snapshot_meta meta;
    std::uint64_t offset = 0;
    std::string data;
    bool last = false;
};

using snapshot_effect = std::variant<read_snapshot_chunk, store_snapshot_chunk>;

struct role_change {
    replica_role role = replica_role::follower;
    consensus::term term;
    /// The leader of `term`, if known. Empty otherwise.
    base::node_id leader;
};

/// Times of the last contact within the group, on this host's monotonic clock.
struct contact_times {
    /// Leader: the latest time at which a majority of the voters is known to have followed it.
    std::optional<base::time_point> last_quorum_contact;
    /// Leader: no leader of a later term can exist before this time. Empty without a lease, and
    /// after a leadership transfer was started in this term.
    std::optional<base::time_point> lease_valid_until;
    /// Other roles: when a message from the current leader last arrived.
    std::optional<base::time_point> last_leader_contact;
    /// Other roles: the latest time at which this member is known to have had contact with a leader
    /// in both directions. The leader's member_status::last_response is never earlier than this.
    /// Member leases start at this time; last_leader_contact would be wrong if only the direction
    /// towards the leader is interrupted. On a leader, equal to last_quorum_contact.
    std::optional<base::time_point> confirmed_contact;
};

/// Actions that the caller must perform after a step, in the order of the fields.
struct effects {
    std::vector<outgoing_message> messages;
    std::optional<persist_request> persist;
    /// Entries of all kinds, in order and without gaps; the state machine skips no_op and
    /// membership.
    std::vector<log_entry> committed;
    std::vector<proposal_result> proposals;
    std::vector<read_result> reads;
    std::vector<snapshot_effect> snapshots;
    /// The stored log up to this index is no longer needed.
    std::optional<log_index> compact_to;
    std::optional<role_change> role;
    /// Set when a leadership transfer couldn't be started or didn't complete in time.
    std::optional<absl::Status> transfer_failed;
    contact_times contact;
};

} // namespace lovagebeam::consensus
