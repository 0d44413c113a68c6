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

/// To be sent now, in order for each receiver. May be lost, repeated or reordered.
struct outgoing_message {
    base::node_id to;
    proto::ConsensusMessage message;
};

/// To be made durable in the order of `sequence`: first remove all entries from `truncate_from`
/// on, then append `entries`, then replace the hard state. Answer with storage_done once synced;
/// several requests may share one sync and one storage_done for the last of them.
struct persist_request {
    storage_sequence sequence;
    std::optional<log_index> truncate_from;
    std::vector<log_entry> entries;
    std::optional<consensus::hard_state> hard_state;
};

/// The proposal is in the leader's log. It has taken effect if an entry with this term is applied
/// at this index, and never will if another term is.
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
    /// True if the lease covered the read, so that it took no round trip.
    bool by_lease = false;
};

/// The read can't be answered here; `reason` carries not_leader or no_quorum.
struct read_rejected {
    request_tag tag;
    absl::Status reason;
    base::node_id leader;
};

using read_result = std::variant<read_ready, read_rejected>;

/// Leader: member `to` needs these bytes of the snapshot `meta`. Answer with snapshot_chunk_read.
struct read_snapshot_chunk {
    base::node_id to;
    snapshot_meta meta;
    std::uint64_t offset = 0;
    std::uint64_t max_bytes = 0;
};

/// Receiver: store `data` at `offset` of the incoming snapshot `meta`; offset 0 discards an
/// earlier incomplete one. If `last`, verify the checksum, make the snapshot durable, drop the
/// stored log, replace the state machine and answer with snapshot_installed; otherwise answer with
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

/// How fresh the contact within the group is, on this host's monotonic clock.
struct contact_times {
    /// Leader: the latest time at which a majority of the voters is known to have followed it.
    std::optional<base::time_point> last_quorum_contact;
    /// Leader: until then no leader of a later term can exist. Empty without a lease, and after a
    /// transfer of leadership was begun in this term.
    std::optional<base::time_point> lease_valid_until;
    /// Others: when a message of the present leader last arrived.
    std::optional<base::time_point> last_leader_contact;
    /// Others: the latest time at which this member is known to have been in contact with a leader
    /// in both directions. The leader's member_status::last_response is never earlier than this.
    /// Member leases count from here; counting from last_leader_contact would be wrong when only
    /// the direction towards the leader is cut. On a leader, equal to last_quorum_contact.
    std::optional<base::time_point> confirmed_contact;
};

/// What one step asks its caller to do, in the order of the fields.
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
    /// Set when a transfer of leadership couldn't be begun or wasn't completed in time.
    std::optional<absl::Status> transfer_failed;
    contact_times contact;
};

} // namespace lovagebeam::consensus
