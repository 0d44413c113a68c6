#pragma once

#include "lovagebeam/peers/peer_network.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace lovagebeam::peers {

/// What the senders' threads and the network's thread share about one peer: queues of messages,
/// state and counters. Every function may be called from any thread.
class peer_record {
public:
    peer_record(base::node_id id, const peer_limits& limits);

    [[nodiscard]] const base::node_id& id() const { return m_id; }

    /// Queues a message. Sets `wake` when the network's thread has to be told.
    absl::Status push(channel which, std::string bytes, bool& wake);

    /// Returns the oldest message of the channel.
    std::optional<std::string> pop(channel which);

    [[nodiscard]] bool has_messages(channel which) const;

    /// Allows the next `push` to ask for a wake-up again.
    void wake_handled();

    void set_state(connection_state state);
    void set_error(absl::Status error);

    /// From now on `push` refuses with `code`, or accepts again without one.
    void refuse(std::optional<base::error_code> code);

    /// Discards the queued messages and counts them as dropped.
    void drop_queues();

    void count_in(channel which, std::size_t bytes);
    void count_out(channel which, std::size_t bytes);
    void count_dropped(channel which);

    [[nodiscard]] connection_state state() const;
    [[nodiscard]] absl::Status error() const;
    [[nodiscard]] channel_counters counters(channel which) const;

private:
    struct lane {
        std::deque<std::string> messages;
        std::size_t bytes = 0;
        channel_counters counters;
    };

    lane& lane_of(channel which) { return m_lanes.at(static_cast<std::size_t>(which)); }
    [[nodiscard]] const lane& lane_of(channel which) const
    {
        return m_lanes.at(static_cast<std::size_t>(which));
    }

    base::node_id m_id;
    std::size_t m_max_messages;
    std::size_t m_max_bytes;
    mutable std::mutex m_mutex;
    std::array<lane, channel_count> m_lanes;
    std::optional<base::error_code> m_refusal = base::error_code::not_connected;
    connection_state m_state = connection_state::disconnected;
    absl::Status m_error;
    bool m_wake_asked = false;
};

} // namespace lovagebeam::peers
