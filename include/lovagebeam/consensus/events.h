#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/types.h"

#include "consensus.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lovagebeam::consensus {

/// Chosen by the caller and returned in the result; the replica doesn't interpret it.
using request_tag = base::strong_number<struct request_tag_tag>;

/// Advances the timers. Expected every 10 to 20 ms; a late tick only delays elections and
/// heartbeats.
struct tick {};

/// A message from a peer has arrived. The transport has authenticated the sender.
struct message_received {
    proto::ConsensusMessage message;
};

struct proposal {
    request_tag tag;
    std::string payload;
};

/// Appends all proposals with one storage write and one message to each member (group commit).
struct propose {
    std::vector<proposal> proposals;
};

/// Requests the index up to which the state machine must be applied for a linearizable read. All
/// tags share one confirmation round.
struct read {
    std::vector<request_tag> tags;
};

/// All persist requests up to and including `sequence` are durable.
struct storage_done {
    storage_sequence sequence;
};

enum class change_kind : std::uint8_t {
    add_learner,    ///< Adds a host that isn't a member.
    promote,        ///< Turns a caught-up learner with a disk into a voter.
    demote,         ///< Turns a voter into a learner.
    remove_voter,   ///< Removes the voter with this id and incarnation.
    remove_learner, ///< Removes the learner with this id, whatever its incarnation.
};

struct membership_change {
    change_kind kind = change_kind::add_learner;
    consensus::member member;

    friend bool operator==(const membership_change&, const membership_change&) = default;
};

/// Changes the group by one member. Rejected while an earlier change isn't committed.
struct change_membership {
    request_tag tag;
    membership_change change;
};

/// Transfers leadership to `to`, or to the voter with the longest log if `to` is empty.
struct transfer_leadership {
    std::optional<base::node_id> to;
};

/// The state machine's snapshot described by `meta` is durable; the log up to `meta.index` may be
/// dropped. Fill `meta` from replica::describe_snapshot.
struct snapshot_saved {
    snapshot_meta meta;
};

/// Answers a read_snapshot_chunk effect. Empty `data` means that the snapshot no longer exists.
struct snapshot_chunk_read {
    base::node_id to;
    log_index index;
    std::uint64_t offset = 0;
    std::string data;
};

/// Answers a store_snapshot_chunk effect that isn't the last: the bytes are stored.
struct snapshot_chunk_stored {
    log_index index;
    std::uint64_t next_offset = 0;
};

/// Answers the last store_snapshot_chunk effect: the snapshot is durable and the state machine was
/// replaced by it.
struct snapshot_installed {
    snapshot_meta meta;
};

/// The received snapshot failed its checksum or couldn't be stored. The transfer restarts.
struct snapshot_install_failed {
    log_index index;
};

using event = std::variant<tick, message_received, propose, read, storage_done, change_membership,
                           transfer_leadership, snapshot_saved, snapshot_chunk_read,
                           snapshot_chunk_stored, snapshot_installed, snapshot_install_failed>;

} // namespace lovagebeam::consensus
