#pragma once

#include "lovagebeam/base/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::consensus {

using term = base::strong_number<struct term_tag>;
using log_index = base::strong_number<struct log_index_tag>;

/// Identifies one incarnation of a host: a non-zero random number, generated whenever the host
/// starts without its previous disk. For a learner in a configuration, 0 matches any incarnation.
using incarnation = base::strong_number<struct incarnation_tag>;

/// Identifies a group permanently; messages from other groups are dropped. 0 means not yet known.
using group_id = base::strong_number<struct group_id_tag>;

/// Sequence number of a persist_request. Starts at 1 when the replica is constructed and increases
/// by 1.
using storage_sequence = base::strong_number<struct storage_sequence_tag>;

/// One member of the group. Votes and acknowledgements of a voter count only if they carry exactly
/// this incarnation.
struct member {
    base::node_id id;
    consensus::incarnation incarnation;

    friend auto operator<=>(const member&, const member&) = default;
};

/// The members of the group. Each node id occurs at most once across both lists.
struct group_config {
    std::vector<member> voters;
    std::vector<member> learners;

    friend bool operator==(const group_config&, const group_config&) = default;
};

enum class entry_kind : std::uint8_t {
    no_op = 0,      ///< First entry of a leader's term; `payload` is empty.
    command = 1,    ///< `payload` belongs to the state machine.
    membership = 2, ///< `payload` is an encoded group_config, see codec.h.
};

/// One entry of the replicated log. Storage persists all four fields and treats `payload` as
/// opaque.
struct log_entry {
    log_index index;
    consensus::term term;
    entry_kind kind = entry_kind::no_op;
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// State that a replica must persist across restarts in addition to the log.
struct hard_state {
    consensus::term term;
    /// The member that this replica voted for in `term`; an empty id means that it has not voted.
    member vote;
    group_id group;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// Describes a snapshot of the state machine. Snapshots with equal fields have identical bytes, so
/// a transfer can resume from another sender.
struct snapshot_meta {
    /// The last entry that the snapshot covers. Index 0 is the empty state of a new group.
    log_index index;
    consensus::term term;
    /// The active configuration at `index`.
    group_config config;
    base::bytes size;
    /// XXH3 hash of the bytes, computed by the component that saves the snapshot.
    std::uint64_t checksum = 0;

    friend bool operator==(const snapshot_meta&, const snapshot_meta&) = default;
};

enum class replica_role : std::uint8_t { learner, follower, pre_candidate, candidate, leader };

/// Returns the stable name of `role`, for example "pre_candidate".
std::string_view name_of(replica_role role);

} // namespace lovagebeam::consensus
