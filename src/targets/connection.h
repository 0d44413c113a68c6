#pragma once

#include "lovagebeam/targets/http_client.h"

#include "pending_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string_view>

namespace lovagebeam::targets {

/// What a connection reports to its endpoint's pool.
class connection_owner {
public:
    virtual ~connection_owner() = default;

    virtual void on_call_done(const call_ptr& call, http_result result) = 0;
    virtual void on_idle(const std::shared_ptr<connection>& which) = 0;
    virtual void on_closed(const std::shared_ptr<connection>& which) = 0;
};

/// One connection to an endpoint, which carries one call at a time. Used on the client's thread.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::io_context& io, connection_owner& owner,
               const http_client_limits& limits);

    /// Connects and sends the first call.
    void open(const boost::asio::ip::tcp::endpoint& where, call_ptr first);

    /// Sends a call on an idle connection. Returns false, without taking the call, when the other
    /// end has closed the connection.
    bool reuse(const call_ptr& call);

    /// Ends the call that is being carried with `outcome` and closes the connection.
    void abort(http_outcome outcome, std::string_view detail);

    /// Closes the connection once the other end has closed too, or after the limit's time.
    void close_gracefully();

    /// Resets the connection. A call that is being carried ends as `cancelled`.
    void close_now();

    [[nodiscard]] bool idle() const { return m_phase == phase::idle; }

private:
    enum class phase { connecting, busy, idle, closing, closed };
    using message_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    void on_connected(boost::system::error_code ec);
    void send();
    void read();
    void on_read(boost::system::error_code ec);
    void settle();
    void succeed();
    void fail(boost::system::error_code ec);
    call_ptr take_call();
    [[nodiscard]] http_outcome classify(boost::system::error_code ec) const;
    [[nodiscard]] bool maybe_sent() const;
    [[nodiscard]] bool quiet();
    void watch_idle();
    void become_idle();
    void discard_rest();
    void close_socket(bool reset);

    connection_owner& m_owner;
    const http_client_limits& m_limits;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< Limits connecting, idling or closing.
    boost::beast::flat_buffer m_buffer;
    std::optional<request> m_request;
    std::optional<message_parser> m_parser;
    call_ptr m_call;
    std::array<char, 1024> m_discard{};
    std::size_t m_written = 0;
    boost::system::error_code m_read_error;
    std::uint64_t m_idle_sequence = 0;
    phase m_phase = phase::connecting;
    bool m_reused = false;
    bool m_is_refused = false;
    bool m_write_begun = false;
    bool m_write_done = false;
    bool m_read_done = false;
    bool m_watching = false;
};

} // namespace lovagebeam::targets
