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

/// Receives the state changes of a connection. Implemented by the pool of its endpoint.
class connection_owner {
public:
    virtual ~connection_owner() = default;

    virtual void on_call_done(const call_ptr& call, http_result result) = 0;
    virtual void on_idle(const std::shared_ptr<connection>& which) = 0;
    virtual void on_closed(const std::shared_ptr<connection>& which) = 0;
    /// Changes the memory of all responses that are being read. Returns whether it is within the
    /// limit.
    virtual bool change_response_memory(std::size_t before, std::size_t now) = 0;
};

/// A connection to an endpoint that carries one call at a time. Used on the client's thread.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::io_context& io, connection_owner& owner,
               const http_client_limits& limits);

    /// Connects and sends the first call.
    void open(const boost::asio::ip::tcp::endpoint& where, call_ptr first);

    /// Sends a call on an idle connection. Returns false, and closes, when the server has closed
    /// the connection or sent unexpected bytes; the call then isn't sent.
    bool reuse(const call_ptr& call);

    /// Ends the current call with `outcome` and closes the connection.
    void abort(http_outcome outcome, std::string_view detail);

    /// Shuts down the sending side, and closes once the server has closed too or after
    /// `http_client_limits::close_timeout`.
    void close_gracefully();

    /// Resets the connection. The current call ends as `cancelled`.
    void close_now();

    [[nodiscard]] bool idle() const { return m_phase == phase::idle; }

private:
    enum class phase { connecting, busy, idle, closing, closed };
    using message_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    void on_connected(boost::system::error_code ec);
    void send();
    void read();
    void read_more();
    /// Counts the memory of the response. Returns false if there is no room for it.
    bool charge(std::size_t bytes);
    void on_read(boost::system::error_code ec);
    void try_complete();
    void succeed();
    void fail(boost::system::error_code ec);
    call_ptr take_call();
    [[nodiscard]] http_outcome classify(boost::system::error_code ec) const;
    [[nodiscard]] bool maybe_sent() const;
    [[nodiscard]] bool is_open_without_input();
    void watch_for_input();
    void become_idle();
    void discard_input();
    void close_socket(bool reset);

    connection_owner& m_owner;
    const http_client_limits& m_limits;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< Time limit of the connecting, idle or closing phase.
    boost::beast::flat_buffer m_buffer;
    std::optional<request> m_request;
    std::optional<message_parser> m_parser;
    call_ptr m_call;
    std::array<char, 1024> m_discard{};
    std::size_t m_written = 0;
    std::size_t m_charged = 0; ///< memory of the response, as its owner counts it
    boost::system::error_code m_read_error;
    std::uint64_t m_idle_sequence = 0;
    phase m_phase = phase::connecting;
    bool m_reused = false;
    bool m_connection_refused = false;
    bool m_closed_by_peer = false;
    bool m_write_started = false;
    bool m_write_done = false;
    bool m_read_done = false;
    bool m_watching = false;
};

} // namespace lovagebeam::targets
