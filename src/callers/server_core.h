#pragma once

#include "lovagebeam/callers/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <unordered_set>

namespace lovagebeam::callers {

class session;

/// Counters that any thread may read while the server's thread changes them.
struct live_counters {
    std::atomic<std::uint64_t> connections_accepted{0};
    std::atomic<std::uint64_t> connections_refused{0};
    std::atomic<std::uint64_t> connections_open{0};
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> requests_in_progress{0};
    std::atomic<std::uint64_t> requests_refused{0};
    std::atomic<std::uint64_t> request_memory_bytes{0};
    std::atomic<std::uint64_t> requests_rejected{0};
    std::atomic<std::uint64_t> responses{0};
};

/// State shared by the server and its replies. It outlives the server while a reply exists, because
/// a reply posts to the io_context. Except where stated, used on the server's thread only.
class server_core : public std::enable_shared_from_this<server_core> {
public:
    server_core(boost::asio::ip::tcp::endpoint where, request_handler handler,
                const http_server_limits& limits);
    ~server_core();
    server_core(const server_core&) = delete;
    server_core& operator=(const server_core&) = delete;

    /// The next four functions are called by the owner, from other threads.
    absl::Status start();
    void stop();
    void drain(std::chrono::milliseconds limit, std::function<void(drain_result)> done);
    [[nodiscard]] std::uint16_t port() const { return m_port; }

    [[nodiscard]] boost::asio::io_context& io() { return m_io; }
    [[nodiscard]] const http_server_limits& limits() const { return m_limits; }
    [[nodiscard]] live_counters& counters() { return m_counters; }
    [[nodiscard]] bool draining() const { return m_draining; }

    void handle(http_request request, reply answer)
    {
        m_handler(std::move(request), std::move(answer));
    }

    /// Called by a session once its socket is closed.
    void remove(const std::shared_ptr<session>& closed);

    /// Changes the memory of the requests by that of one request. Returns false if they exceed the
    /// limit although all incomplete requests but those of `owner` have been refused.
    bool charge(const session& owner, std::size_t before, std::size_t now);
    void release(std::size_t bytes) { m_counters.request_memory_bytes -= bytes; }

private:
    void accept_next();
    void add_connection(boost::asio::ip::tcp::socket socket);
    void accept_backlog();
    /// Closes the connections that have waited for a complete request for too long.
    void close_stale();
    [[nodiscard]] std::shared_ptr<session> oldest_incomplete(const session& except) const;
    void begin_drain(std::chrono::milliseconds limit);
    void finish_drain(bool complete);
    void close_all();

    http_server_limits m_limits;
    boost::asio::ip::tcp::endpoint m_where;
    request_handler m_handler;
    live_counters m_counters;
    std::atomic<std::uint16_t> m_port{0};

    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::ip::tcp::acceptor m_acceptor{m_io};
    boost::asio::steady_timer m_accept_timer{m_io};
    boost::asio::steady_timer m_idle_timer{m_io};
    boost::asio::steady_timer m_drain_timer{m_io};
    std::unordered_set<std::shared_ptr<session>> m_sessions;
    base::time_point m_last_stale_check;
    std::function<void(drain_result)> m_on_drained;
    bool m_draining = false;
    std::thread m_thread;
};

} // namespace lovagebeam::callers
