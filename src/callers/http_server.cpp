#include "lovagebeam/callers/http_server.h"

#include "server_core.h"

#include <boost/asio/ip/address.hpp>

#include <utility>

namespace lovagebeam::callers {

class http_server::impl {
public:
    explicit impl(std::shared_ptr<server_core> shared) : m_core{std::move(shared)} {}

    [[nodiscard]] server_core& core() const { return *m_core; }

private:
    std::shared_ptr<server_core> m_core;
};

http_server::http_server(std::unique_ptr<impl> state) : m_impl{std::move(state)} {}

http_server::~http_server()
{
    stop();
}

absl::Status http_server::start()
{
    return m_impl->core().start();
}

std::uint16_t http_server::port() const
{
    return m_impl->core().port();
}

void http_server::drain(std::chrono::milliseconds limit, std::function<void(drain_result)> done)
{
    m_impl->core().drain(limit, std::move(done));
}

void http_server::stop()
{
    m_impl->core().stop();
}

http_server_counters http_server::counters() const
{
    const live_counters& live = m_impl->core().counters();
    return {.connections_accepted = live.connections_accepted,
            .connections_refused = live.connections_refused,
            .connections_open = live.connections_open,
            .requests = live.requests,
            .requests_in_progress = live.requests_in_progress,
            .requests_refused = live.requests_refused,
            .request_memory_bytes = live.request_memory_bytes,
            .requests_rejected = live.requests_rejected,
            .responses = live.responses};
}

http_server_builder& http_server_builder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

http_server_builder& http_server_builder::handler(request_handler handler)
{
    m_handler = std::move(handler);
    return *this;
}

http_server_builder& http_server_builder::limits(const http_server_limits& limits)
{
    m_limits = limits;
    return *this;
}

absl::StatusOr<std::unique_ptr<http_server>> http_server_builder::build() const
{
    using base::error_code;
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(m_address, ec);
    if (ec) {
        return base::make_error(error_code::invalid_settings,
                                "not an IP address to listen on: " + m_address);
    }
    if (!m_handler) {
        return base::make_error(error_code::invalid_settings, "the server has no handler");
    }
    if (m_limits.max_header_bytes == 0 || m_limits.max_body_bytes == 0 ||
        m_limits.max_connections == 0 || m_limits.max_requests_in_progress == 0 ||
        m_limits.max_request_memory_bytes == 0 || m_limits.request_timeout.count() <= 0 ||
        m_limits.idle_timeout.count() <= 0 || m_limits.drain_idle_timeout.count() < 0) {
        return base::make_error(error_code::invalid_settings,
                                "the server's limits must be positive");
    }
    auto core = std::make_shared<server_core>(boost::asio::ip::tcp::endpoint{address, m_port},
                                              m_handler, m_limits);
    return std::unique_ptr<http_server>{
        new http_server{std::make_unique<http_server::impl>(std::move(core))}};
}

} // namespace lovagebeam::callers
