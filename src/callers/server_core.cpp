#include "server_core.h"

#include "session.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::callers {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Connections over the limit are still accepted, so that their callers get an error response. When
// this many of them are open, further ones are closed without a response.
constexpr std::size_t max_concurrent_refusals = 64;

// Delay after a failed accept. Without it, retries would spin while file descriptors are exhausted.
constexpr std::chrono::milliseconds accept_retry_delay{20};

// When all connections are in use, one without a complete request for this long is closed. Longer
// than an ordinary request takes to arrive.
constexpr std::chrono::seconds stale_timeout{2};
constexpr std::chrono::milliseconds stale_check_interval{100};

} // namespace

server_core::server_core(tcp::endpoint where, request_handler handler,
                         const http_server_limits& limits)
    : m_limits{limits}, m_where{std::move(where)}, m_handler{std::move(handler)},
      m_work{asio::make_work_guard(m_io)}
{
}

server_core::~server_core() = default;

absl::Status server_core::start()
{
    error_code ec;
    m_acceptor.open(m_where.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, ec);
    }
    if (!ec) {
        m_acceptor.bind(m_where, ec);
    }
    if (!ec) {
        m_acceptor.listen(tcp::acceptor::max_listen_connections, ec);
    }
    if (!ec) {
        m_acceptor.non_blocking(true, ec);
    }
    if (ec) {
        return base::make_error(base::error_code::connect_failed,
                                "cannot listen on " + m_where.address().to_string() + ":" +
                                    std::to_string(m_where.port()) + ": " + ec.message());
    }
    m_port = m_acceptor.local_endpoint().port();
    accept_next();
    m_thread = std::thread{[this] { m_io.run(); }};
    return absl::OkStatus();
}

void server_core::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    // The thread ends once the handlers of all cancelled operations have run. A remaining handler
    // would form a reference cycle: it owns its session, which owns the core and so the io_context
    // that owns the handler.
    asio::post(m_io, [this] {
        close_all();
        m_work.reset();
    });
    m_thread.join();
    m_handler = nullptr;
    m_on_drained = nullptr;
}

void server_core::accept_next()
{
    m_acceptor.async_accept([this](error_code ec, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!ec) {
            add_connection(std::move(socket));
            accept_next();
            return;
        }
        m_accept_timer.expires_after(accept_retry_delay);
        m_accept_timer.async_wait([this](error_code waited) {
            if (!waited && m_acceptor.is_open()) {
                accept_next();
            }
        });
    });
}

void server_core::add_connection(tcp::socket socket)
{
    if (m_sessions.size() >= m_limits.max_connections) {
        close_stale();
    }
    const bool full = m_sessions.size() >= m_limits.max_connections;
    if (m_sessions.size() >= m_limits.max_connections + max_concurrent_refusals) {
        ++m_counters.connections_refused;
        return;
    }
    auto added = std::make_shared<session>(shared_from_this(), std::move(socket));
    m_sessions.insert(added);
    m_counters.connections_open = m_sessions.size();
    if (full) {
        ++m_counters.connections_refused;
        added->refuse();
        return;
    }
    ++m_counters.connections_accepted;
    added->start();
}

void server_core::close_stale()
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_last_stale_check < stale_check_interval) {
        return;
    }
    m_last_stale_check = now;
    std::vector<std::shared_ptr<session>> stale;
    std::ranges::copy_if(m_sessions, std::back_inserter(stale), [now](const auto& each) {
        return each->is_incomplete() && now - each->waiting_since() >= stale_timeout;
    });
    for (const auto& each : stale) {
        each->close();
    }
}

std::shared_ptr<session> server_core::oldest_incomplete(const session& except) const
{
    std::shared_ptr<session> oldest;
    for (const auto& each : m_sessions) {
        const bool is_candidate =
            each.get() != &except && each->is_incomplete() && each->charged_bytes() > 0;
        if (is_candidate && (!oldest || each->waiting_since() < oldest->waiting_since())) {
            oldest = each;
        }
    }
    return oldest;
}

bool server_core::charge(const session& owner, std::size_t before, std::size_t now)
{
    m_counters.request_memory_bytes += now;
    m_counters.request_memory_bytes -= before;
    while (m_counters.request_memory_bytes > m_limits.max_request_memory_bytes) {
        const auto oldest = oldest_incomplete(owner);
        if (!oldest) {
            return false;
        }
        oldest->refuse_incomplete();
    }
    return true;
}

void server_core::remove(const std::shared_ptr<session>& closed)
{
    m_sessions.erase(closed);
    m_counters.connections_open = m_sessions.size();
    if (m_draining && m_sessions.empty()) {
        finish_drain(true);
    }
}

void server_core::drain(std::chrono::milliseconds limit, std::function<void(drain_result)> done)
{
    asio::post(m_io, [this, limit, done = std::move(done)]() mutable {
        if (m_draining) {
            return;
        }
        m_on_drained = std::move(done);
        begin_drain(limit);
    });
}

// Accepts the connections that the kernel has already established. Closing the listening socket
// would reset them, together with requests that they may carry.
void server_core::accept_backlog()
{
    error_code ec;
    while (true) {
        tcp::socket socket{m_io};
        m_acceptor.accept(socket, ec);
        if (ec) {
            return;
        }
        add_connection(std::move(socket));
    }
}

void server_core::begin_drain(std::chrono::milliseconds limit)
{
    m_draining = true;
    accept_backlog();
    error_code ignored;
    m_acceptor.close(ignored);
    m_idle_timer.expires_after(m_limits.drain_idle_timeout);
    m_idle_timer.async_wait([this](error_code ec) {
        if (ec) {
            return;
        }
        const std::vector<std::shared_ptr<session>> sessions{m_sessions.begin(), m_sessions.end()};
        for (const auto& each : sessions) {
            each->close_if_idle();
        }
    });
    m_drain_timer.expires_after(limit);
    m_drain_timer.async_wait([this](error_code ec) {
        if (!ec) {
            finish_drain(false);
        }
    });
    if (m_sessions.empty()) {
        finish_drain(true);
    }
}

void server_core::finish_drain(bool complete)
{
    if (!m_on_drained) {
        return;
    }
    m_idle_timer.cancel();
    m_drain_timer.cancel();
    drain_result result{.complete = complete, .requests_aborted = 0};
    for (const auto& each : m_sessions) {
        result.requests_aborted += each->has_request() ? 1U : 0U;
    }
    result.complete = complete || result.requests_aborted == 0;
    const auto done = std::exchange(m_on_drained, nullptr);
    close_all();
    done(result);
}

void server_core::close_all()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
    m_idle_timer.cancel();
    m_drain_timer.cancel();
    for (const auto& each : std::exchange(m_sessions, {})) {
        each->close_now();
    }
    m_counters.connections_open = 0;
}

} // namespace lovagebeam::callers
