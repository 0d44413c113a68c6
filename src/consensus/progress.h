#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/types.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lovagebeam::consensus {

enum class progress_mode : std::uint8_t {
    probe,     ///< The matching index is unknown: one message at a time.
    replicate, ///< Appends are pipelined up to max_inflight_messages.
    snapshot,  ///< The entries that it needs were compacted.
};

/// The leader's replication state of one other member.
struct progress {
    consensus::member member;
    bool voter = false;
    progress_mode mode = progress_mode::probe;
    log_index match;
    log_index next;
    bool probe_sent = false;
    /// The last index of each unacknowledged append message.
    std::deque<log_index> inflight;

    bool responded = false;
    bool durable = false;
    base::time_point last_response;
    std::uint64_t round = 0;
    /// Highest number of a response received from the member, sent back to confirm the contact.
    std::uint64_t last_received_response = 0;
    std::optional<incarnation> other_incarnation;

    snapshot_meta snapshot;
    std::uint64_t snapshot_offset = 0;
    /// When the transfer last made progress; a stalled transfer is resumed on a heartbeat.
    base::time_point snapshot_activity;
};

} // namespace lovagebeam::consensus
