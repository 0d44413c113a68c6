#include "peer_record.h"

#include <utility>

namespace lovagebeam::peers {

peer_record::peer_record(base::node_id id, const peer_limits& limits)
    : m_id{std::move(id)}, m_max_messages{limits.max_queued_messages}, m_max_bytes{
                                                                           limits.max_queued_bytes}
{
}

absl::Status peer_record::push(channel which, std::string bytes, bool& wake)
{
    using base::error_code;
    const std::lock_guard lock{m_mutex};
    channel_queue& queue = queue_of(which);
    const auto refuse = [this, &queue](error_code code, std::string_view reason) {
        ++queue.counters.refused;
        return base::make_error(code, "peer " + m_id.str() + ": " + std::string{reason});
    };
    if (bytes.size() > max_message_bytes) {
        return refuse(error_code::message_too_large,
                      "a message of " + std::to_string(bytes.size()) +
                          " bytes exceeds the limit of " + std::to_string(max_message_bytes));
    }
    if (m_refusal) {
        return refuse(*m_refusal, m_refusal == error_code::shutting_down
                                      ? "the network is stopping"
                                      : "there is no connection");
    }
    if (queue.messages.size() >= m_max_messages || queue.bytes + bytes.size() > m_max_bytes) {
        return refuse(error_code::queue_full,
                      "the queue of channel " + std::string{name_of(which)} + " is full");
    }
    queue.bytes += bytes.size();
    queue.messages.push_back(std::move(bytes));
    wake = !std::exchange(m_wake_requested, true);
    return absl::OkStatus();
}

std::optional<std::string> peer_record::pop(channel which)
{
    const std::lock_guard lock{m_mutex};
    channel_queue& queue = queue_of(which);
    if (queue.messages.empty()) {
        return std::nullopt;
    }
    std::string bytes = std::move(queue.messages.front());
    queue.messages.pop_front();
    queue.bytes -= bytes.size();
    return bytes;
}

bool peer_record::has_messages(channel which) const
{
    const std::lock_guard lock{m_mutex};
    return !queue_of(which).messages.empty();
}

void peer_record::clear_wake_request()
{
    const std::lock_guard lock{m_mutex};
    m_wake_requested = false;
}

void peer_record::set_state(connection_state state)
{
    const std::lock_guard lock{m_mutex};
    m_state = state;
}

void peer_record::set_error(absl::Status error)
{
    const std::lock_guard lock{m_mutex};
    m_error = std::move(error);
}

void peer_record::set_refusal(std::optional<base::error_code> code)
{
    const std::lock_guard lock{m_mutex};
    m_refusal = code;
}

void peer_record::drop_queues()
{
    const std::lock_guard lock{m_mutex};
    for (channel_queue& each : m_queues) {
        each.counters.dropped += each.messages.size();
        each.messages.clear();
        each.bytes = 0;
    }
}

void peer_record::count_in(channel which, std::size_t bytes)
{
    const std::lock_guard lock{m_mutex};
    ++queue_of(which).counters.messages_in;
    queue_of(which).counters.bytes_in += bytes;
}

void peer_record::count_out(channel which, std::size_t bytes)
{
    const std::lock_guard lock{m_mutex};
    ++queue_of(which).counters.messages_out;
    queue_of(which).counters.bytes_out += bytes;
}

void peer_record::count_dropped(channel which)
{
    const std::lock_guard lock{m_mutex};
    ++queue_of(which).counters.dropped;
}

connection_state peer_record::state() const
{
    const std::lock_guard lock{m_mutex};
    return m_state;
}

absl::Status peer_record::error() const
{
    const std::lock_guard lock{m_mutex};
    return m_error;
}

channel_counters peer_record::counters(channel which) const
{
    const std::lock_guard lock{m_mutex};
    return queue_of(which).counters;
}

} // namespace lovagebeam::peers
