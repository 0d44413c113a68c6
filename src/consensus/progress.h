#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/types.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lovagebeam::consensus {

enum class progress_mode : std::uint8_t {
    probe,     ///< The matching position is unknown: one message at a time.
    replicate, ///< Pipelined up to the window.
    snapshot,  ///< The entries that it needs are gone.
};

/// What the leader knows about one other member.
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
    std::uint64_t heard_response = 0;
    std::optional<incarnation> other_incarnation;

    snapshot_meta snapshot;
    std::uint64_t snapshot_offset = 0;
    /// When the transfer was last driven forward; a stalled one is resumed from a heartbeat.
    base::time_point snapshot_activity;
};

} // namespace lovagebeam::consensus
