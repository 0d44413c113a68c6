#include "lovagebeam/targets/http_client.h"

#include "endpoint_pool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace lovagebeam::targets {
namespace {

namespace asio = boost::asio;

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, [](char c) {
        return c > 0x20 && c < 0x7f &&
               std::string_view{"()<>@,;:\\\"/[]?={}"}.find(c) == std::string_view::npos;
    });
}

bool is_path(std::string_view text)
{
    return text.starts_with('/') &&
           std::ranges::all_of(text, [](char c) { return c > 0x20 && c < 0x7f; });
}

bool is_value(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) {
        const auto value = static_cast<unsigned char>(c);
        return value == '\t' || (value >= 0x20 && value != 0x7f);
    });
}

// Prevents header injection and request smuggling: a line break in the path or a header would let a
// caller's text add headers or a second request.
bool can_be_sent(const http_call& call)
{
    constexpr std::array<std::string_view, 4> methods{"GET", "POST", "PUT", "DELETE"};
    return std::ranges::find(methods, call.method) != methods.end() && is_path(call.path) &&
           std::ranges::all_of(call.headers, [](const http_header& header) {
               return is_token(header.name) && is_value(header.value);
           });
}

http_result make_result(http_outcome outcome, std::string_view detail)
{
    http_result result;
    result.outcome = outcome;
    result.detail = detail;
    return result;
}

} // namespace

class http_client::impl : public pool_owner {
public:
    explicit impl(const http_client_limits& limits) : m_limits{limits} {}

    void start();
    void stop();
    void send(http_call call, http_callback callback);
    void close_endpoint(const endpoint& where);
    [[nodiscard]] http_client_counters counters() const;
    [[nodiscard]] std::size_t connections_to(const endpoint& where) const;

    void on_pool_call_done(const call_ptr& call, http_result result) override;
    void on_connections_changed(const endpoint& where, std::size_t open, bool opened) override;
    void on_connection_reused() override { ++m_reused; }
    bool change_response_memory(std::size_t before, std::size_t now) override
    {
        m_response_memory += now;
        m_response_memory -= before;
        return m_response_memory <= m_limits.max_response_memory_bytes;
    }

private:
    void begin(const call_ptr& call);
    endpoint_pool* pool_of(const endpoint& where);
    void remove_unused(const endpoint& where);
    void shut_down();

    http_client_limits m_limits;
    asio::io_context m_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_io.get_executor()};
    std::map<endpoint, std::unique_ptr<endpoint_pool>> m_pools;
    std::size_t m_response_memory = 0; ///< Used on the client's thread.
    std::thread m_thread;

    mutable std::mutex m_mutex;
    std::map<endpoint, std::size_t> m_open; ///< Guarded by m_mutex.
    bool m_stopped = false;                 ///< Guarded by m_mutex.

    std::atomic<std::uint64_t> m_calls{0};
    std::atomic<std::uint64_t> m_answered{0};
    std::atomic<std::uint64_t> m_failed{0};
    std::atomic<std::uint64_t> m_opened{0};
    std::atomic<std::uint64_t> m_reused{0};
    std::atomic<std::uint64_t> m_bytes_in{0};
    std::atomic<std::uint64_t> m_bytes_out{0};
};

void http_client::impl::start()
{
    if (!m_thread.joinable()) {
        m_thread = std::thread{[this] { m_io.run(); }};
    }
}

// The thread ends once the handlers of the cancelled operations have run, so that none of them
// refers to a destroyed pool.
void http_client::impl::stop()
{
    {
        const std::lock_guard lock{m_mutex};
        if (std::exchange(m_stopped, true)) {
            return;
        }
        asio::post(m_io, [this] { shut_down(); });
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
    else {
        m_io.run();
    }
}

void http_client::impl::shut_down()
{
    for (const auto& [where, pool] : m_pools) {
        pool->close_all();
    }
    m_work.reset();
}

void http_client::impl::send(http_call call, http_callback callback)
{
    ++m_calls;
    const auto pending = std::make_shared<pending_call>(m_io, std::move(call), std::move(callback));
    {
        const std::lock_guard lock{m_mutex};
        if (!m_stopped) {
            asio::post(m_io, [this, pending] { begin(pending); });
            return;
        }
    }
    ++m_failed;
    pending->callback(make_result(http_outcome::cancelled, "the client has stopped"));
}

void http_client::impl::begin(const call_ptr& call)
{
    if (!can_be_sent(call->call)) {
        on_pool_call_done(call, make_result(http_outcome::invalid_call,
                                            "the method, path or a header can't be sent"));
        return;
    }
    if (call->call.deadline <= std::chrono::steady_clock::now()) {
        on_pool_call_done(call, make_result(http_outcome::timed_out,
                                            "the deadline passed before the call was sent"));
        return;
    }
    endpoint_pool* const pool = pool_of(call->call.to);
    if (pool == nullptr) {
        on_pool_call_done(
            call, make_result(http_outcome::invalid_call, "the address isn't an IP address"));
        return;
    }
    m_bytes_out += call->call.body.size();
    call->deadline.expires_at(call->call.deadline);
    call->deadline.async_wait(
        [pool, weak = std::weak_ptr{call}](const boost::system::error_code& ec) {
            const auto found = weak.lock();
            if (!ec && found && found->callback) {
                pool->expire(found);
            }
        });
    pool->add(call);
}

endpoint_pool* http_client::impl::pool_of(const endpoint& where)
{
    auto& pool = m_pools[where];
    if (!pool) {
        boost::system::error_code ec;
        const auto address = asio::ip::make_address(where.address, ec);
        if (ec || where.port == 0) {
            m_pools.erase(where);
            return nullptr;
        }
        pool = std::make_unique<endpoint_pool>(
            m_io, *this, where, asio::ip::tcp::endpoint{address, where.port}, m_limits);
    }
    return pool.get();
}

void http_client::impl::on_pool_call_done(const call_ptr& call, http_result result)
{
    call->deadline.cancel();
    ++(result.answered() ? m_answered : m_failed);
    m_bytes_in += result.body.size();
    if (const auto callback = std::exchange(call->callback, nullptr)) {
        callback(std::move(result));
    }
}

void http_client::impl::on_connections_changed(const endpoint& where, std::size_t open, bool opened)
{
    if (opened) {
        ++m_opened;
    }
    {
        const std::lock_guard lock{m_mutex};
        if (open == 0) {
            m_open.erase(where);
        }
        else {
            m_open[where] = open;
        }
    }
    if (open == 0) {
        // Frees is_unused pools, since targets join and leave. This is posted because the pool is
        // the caller of this function.
        asio::post(m_io, [this, where] { remove_unused(where); });
    }
}

void http_client::impl::remove_unused(const endpoint& where)
{
    const auto found = m_pools.find(where);
    if (found != m_pools.end() && found->second->is_unused()) {
        m_pools.erase(found);
    }
}

void http_client::impl::close_endpoint(const endpoint& where)
{
    const std::lock_guard lock{m_mutex};
    if (m_stopped) {
        return;
    }
    asio::post(m_io, [this, where] {
        const auto found = m_pools.find(where);
        if (found != m_pools.end()) {
            found->second->close_all();
        }
    });
}

http_client_counters http_client::impl::counters() const
{
    http_client_counters result{.calls = m_calls,
                                .answered = m_answered,
                                .failed = m_failed,
                                .connections_opened = m_opened,
                                .connections_open = 0,
                                .connections_reused = m_reused,
                                .bytes_in = m_bytes_in,
                                .bytes_out = m_bytes_out};
    const std::lock_guard lock{m_mutex};
    for (const auto& [where, open] : m_open) {
        result.connections_open += open;
    }
    return result;
}

std::size_t http_client::impl::connections_to(const endpoint& where) const
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_open.find(where);
    return found == m_open.end() ? 0 : found->second;
}

http_client::http_client(const http_client_limits& limits) : m_impl{std::make_shared<impl>(limits)}
{
}

http_client::~http_client()
{
    stop();
}

void http_client::start()
{
    m_impl->start();
}

void http_client::stop()
{
    m_impl->stop();
}

void http_client::send(http_call call, http_callback callback)
{
    m_impl->send(std::move(call), std::move(callback));
}

void http_client::close_endpoint(const endpoint& where)
{
    m_impl->close_endpoint(where);
}

http_client_counters http_client::counters() const
{
    return m_impl->counters();
}

std::size_t http_client::connections_to(const endpoint& where) const
{
    return m_impl->connections_to(where);
}

} // namespace lovagebeam::targets
