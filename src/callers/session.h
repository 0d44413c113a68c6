#pragma once

#include "lovagebeam/callers/http_server.h"

#include "server_core.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>

namespace lovagebeam::callers {

/// A connection of a caller. Reads a request, passes it to the handler and writes the response
/// before it reads the next request. Lives while the core lists it or an operation of its socket is
/// pending. Used on the server's thread only.
class session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<server_core> core, boost::asio::ip::tcp::socket socket);

    void start();

    /// Sends status 503 without reading a request, and closes.
    void refuse();

    /// Sends the response to request number `sequence`; does nothing when that request is no longer
    /// in progress.
    void respond(std::uint64_t sequence, http_response response);

    void close_if_idle();
    void close_now();
    /// Closes the socket and removes the session from its core.
    void close();

    /// Whether the session waits for a request or for the rest of one.
    [[nodiscard]] bool is_incomplete() const
    {
        return m_phase == phase::idle || m_phase == phase::reading;
    }
    /// Since when it is incomplete.
    [[nodiscard]] base::time_point waiting_since() const { return m_waiting_since; }
    /// The memory of its request, as the core counts it.
    [[nodiscard]] std::size_t charged_bytes() const { return m_charged; }
    /// Refuses the request that is being read, to make room for others.
    void refuse_incomplete();

    /// Returns whether a request has started to arrive and its response isn't completely written.
    [[nodiscard]] bool has_request() const;

private:
    enum class phase { idle, reading, handling, writing, lingering, closed };
    using message_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    /// Cancels the socket's operations after `limit`, unless `cancel_timer` or `start_timer` is
    /// called first. Beast's tcp_stream would close the socket instead, so that a response with
    /// status 408 couldn't be sent.
    void start_timer(std::chrono::milliseconds limit);
    void cancel_timer();

    void await_request();
    void read_header();
    void on_header(boost::beast::error_code ec);
    void send_continue();
    void read_body();
    void read_header_part();
    /// Counts the memory of the request. Refuses it and returns false if there is no room, or if
    /// its time or its memory was taken away meanwhile.
    bool charge();
    void release_memory();
    void on_body(boost::beast::error_code ec);
    void dispatch();
    [[nodiscard]] http_request take_request();
    void reject(boost::beast::error_code ec);
    void reject(http_response response);
    void write(http_response response, bool keep_open);
    void on_written(bool keep_open);
    void linger();
    void discard_input();

    std::shared_ptr<server_core> m_core;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<message_parser> m_parser;
    std::string m_remote_address;
    std::array<char, 1024> m_discard{};
    std::uint64_t m_sequence = 0;
    phase m_phase = phase::idle;
    bool m_keep_alive = true;
    bool m_head_request = false;
    std::uint64_t m_timer_sequence = 0;
    bool m_timed_out = false;
    bool m_refused = false; ///< Another request needs the memory of this incomplete one.
    base::time_point m_waiting_since;
    std::size_t m_field_bytes = 0; ///< memory of the header's fields
    std::size_t m_charged = 0;
    bool m_counted_in_progress = false; ///< Included in `requests_in_progress`.
};

/// The state shared by all copies of a reply.
class reply::shared_state {
public:
    shared_state(std::shared_ptr<server_core> core, std::weak_ptr<session> target,
                 std::uint64_t sequence);
    ~shared_state();
    shared_state(const shared_state&) = delete;
    shared_state& operator=(const shared_state&) = delete;

    bool send(http_response response);

private:
    std::shared_ptr<server_core> m_core;
    std::weak_ptr<session> m_target;
    std::uint64_t m_sequence;
    std::atomic<bool> m_answered{false};
};

} // namespace lovagebeam::callers
