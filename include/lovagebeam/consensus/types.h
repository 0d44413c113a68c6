#pragma once

#include "lovagebeam/base/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::consensus {

using term = base::strong_number<struct term_tag>;
using log_index = base::strong_number<struct log_index_tag>;

/// Distinguishes the lives of one host. A host draws a new non-zero random number whenever it
/// starts without its former disk. 0 in a configuration's learner means "any incarnation".
using incarnation = base::strong_number<struct incarnation_tag>;

/// Identifies a group for good; messages of another group are dropped. 0 means "none yet".
using group_id = base::strong_number<struct group_id_tag>;

/// Numbers the persist effects of one replica, from 1 in steps of 1 since its construction.
using storage_sequence = base::strong_number<struct storage_sequence_tag>;

/// One member of the group. A voter's votes and acknowledgements count only under exactly this
/// incarnation.
struct member {
    base::node_id id;
    consensus::incarnation incarnation;

    friend auto operator<=>(const member&, const member&) = default;
};

/// The members of the group. A node id occurs at most once in both lists together.
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

/// One entry of the replicated log. Storage persists all four fields and reads none of them but
/// `index`.
struct log_entry {
    log_index index;
    consensus::term term;
    entry_kind kind = entry_kind::no_op;
    std::string payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

/// What a replica must remember across restarts beside the log.
struct hard_state {
    consensus::term term;
    /// The member that got this replica's vote in `term`; an empty id means none.
    member vote;
    group_id group;

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// Describes a snapshot of the state machine. Two snapshots are the same bytes if all fields are
/// equal, which is what lets a transfer resume from another sender.
struct snapshot_meta {
    /// The last entry that the snapshot covers. Index 0 is the empty state of a new group.
    log_index index;
    consensus::term term;
    /// The configuration in force at `index`.
    group_config config;
    base::bytes size;
    /// XXH3 of the bytes, computed by whoever saves the snapshot.
    std::uint64_t checksum = 0;

    friend bool operator==(const snapshot_meta&, const snapshot_meta&) = default;
};

enum class replica_role : std::uint8_t { learner, follower, pre_candidate, candidate, leader };

/// Returns the stable name of `role`, for example "pre_candidate".
std::string_view name_of(replica_role role);

} // namespace lovagebeam::consensus
