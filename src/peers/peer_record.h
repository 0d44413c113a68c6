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

/// The message queues, state and counters of one peer, shared by the sending threads and the
/// network's thread. Every function may be called from any thread.
class peer_record {
public:
    peer_record(base::node_id id, const peer_limits& limits);

    [[nodiscard]] const base::node_id& id() const { return m_id; }

    /// Queues a message. Sets `wake` when the network's thread has to be notified.
    absl::Status push(channel which, std::string bytes, bool& wake);

    /// Removes and returns the oldest message of the channel, if any.
    std::optional<std::string> pop(channel which);

    [[nodiscard]] bool has_messages(channel which) const;

    /// Makes the next `push` request a wake-up again.
    void clear_wake_request();

    void set_state(connection_state state);
    void set_error(absl::Status error);

    /// Makes `push` fail with `code`, or accept messages again without one.
    void set_refusal(std::optional<base::error_code> code);

    /// Discards the queued messages and counts them as dropped.
    void drop_queues();

    /// Counts one received message.
    void count_in(channel which, std::size_t bytes);
    /// Counts one sent message.
    void count_out(channel which, std::size_t bytes);
    /// Counts one message that was lost while it was being sent.
    void count_dropped(channel which);

    [[nodiscard]] connection_state state() const;
    [[nodiscard]] absl::Status error() const;
    [[nodiscard]] channel_counters counters(channel which) const;

private:
    struct channel_queue {
        std::deque<std::string> messages;
        std::size_t bytes = 0;
        channel_counters counters;
    };

    channel_queue& queue_of(channel which) { return m_queues.at(static_cast<std::size_t>(which)); }
    [[nodiscard]] const channel_queue& queue_of(channel which) const
    {
        return m_queues.at(static_cast<std::size_t>(which));
    }

    base::node_id m_id;
    std::size_t m_max_messages;
    std::size_t m_max_bytes;
    mutable std::mutex m_mutex;
    std::array<channel_queue, channel_count> m_queues;
    std::optional<base::error_code> m_refusal = base::error_code::not_connected;
    connection_state m_state = connection_state::disconnected;
    absl::Status m_error;
    bool m_wake_requested = false;
};

} // namespace lovagebeam::peers
