#include "endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::targets {
namespace {

/// Connections to one endpoint that only urgent calls may open.
constexpr std::size_t reserved_connections = 2;

} // namespace

endpoint_pool::endpoint_pool(boost::asio::io_context& io, pool_owner& owner, endpoint where,
                             boost::asio::ip::tcp::endpoint address,
                             const http_client_limits& limits)
    : m_io{io}, m_owner{owner}, m_where{std::move(where)}, m_address{std::move(address)},
      m_limits{limits}
{
}

void endpoint_pool::add(const call_ptr& call)
{
    const bool is_urgent = call->call.is_urgent;
    if ((m_queue.empty() || is_urgent) && assign_connection(call)) {
        return;
    }
    if (is_urgent) {
        m_queue.push_front(call);
        return;
    }
    if (m_queue.size() >= m_limits.max_queued_calls_per_endpoint) {
        http_result result;
        result.outcome = http_outcome::queue_full;
        result.detail = "every connection is busy and the queue is full";
        m_owner.on_pool_call_done(call, std::move(result));
        return;
    }
    m_queue.push_back(call);
}

// Sends a call on an idle or a new connection. Returns false when every connection is busy and no
// more may be opened.
bool endpoint_pool::assign_connection(const call_ptr& call)
{
    while (!m_idle.empty()) {
        const auto chosen = m_idle.back();
        m_idle.pop_back();
        if (chosen->idle() && chosen->reuse(call)) {
            m_owner.on_connection_reused();
            return true;
        }
    }
    const auto reserved = call->call.is_urgent ? reserved_connections : 0;
    if (m_connections.size() >= m_limits.max_connections_per_endpoint + reserved) {
        return false;
    }
    const auto opened = std::make_shared<connection>(m_io, *this, m_limits);
    m_connections.insert(opened);
    m_owner.on_connections_changed(m_where, m_connections.size(), true);
    opened->open(m_address, call);
    return true;
}

// Assigning a call can close an idle connection, whose `on_closed` calls this function again. The
// inner call returns at once and the outer one continues.
void endpoint_pool::process_queue()
{
    if (m_closing || std::exchange(m_processing_queue, true)) {
        return;
    }
    while (!m_queue.empty() && assign_connection(m_queue.front())) {
        m_queue.pop_front();
    }
    m_processing_queue = false;
}

void endpoint_pool::expire(const call_ptr& call)
{
    const auto waiting = std::ranges::find(m_queue, call);
    if (waiting != m_queue.end()) {
        m_queue.erase(waiting);
        http_result result;
        result.outcome = http_outcome::timed_out;
        result.detail = "the deadline passed while waiting for a connection";
        m_owner.on_pool_call_done(call, std::move(result));
        return;
    }
    if (call->active_connection != nullptr) {
        // The network path of every open connection may have failed while new connections work.
        // Without this, one call would time out for each idle connection.
        close_idle();
        call->active_connection->abort(http_outcome::timed_out, "the deadline passed");
    }
}

void endpoint_pool::close_idle()
{
    for (const auto& each : std::exchange(m_idle, {})) {
        if (each->idle()) {
            each->close_gracefully();
        }
    }
}

void endpoint_pool::close_all()
{
    m_closing = true;
    m_idle.clear();
    for (const auto& call : std::exchange(m_queue, {})) {
        http_result result;
        result.outcome = http_outcome::cancelled;
        result.detail = "the endpoint was closed";
        m_owner.on_pool_call_done(call, std::move(result));
    }
    const auto connections = m_connections;
    for (const auto& each : connections) {
        each->close_now();
    }
    m_closing = false;
}

void endpoint_pool::on_call_done(const call_ptr& call, http_result result)
{
    m_owner.on_pool_call_done(call, std::move(result));
}

void endpoint_pool::on_idle(const std::shared_ptr<connection>& which)
{
    m_idle.push_back(which);
    process_queue();
}

void endpoint_pool::on_closed(const std::shared_ptr<connection>& which)
{
    m_connections.erase(which);
    std::erase(m_idle, which);
    m_owner.on_connections_changed(m_where, m_connections.size(), false);
    process_queue();
}

} // namespace lovagebeam::targets
