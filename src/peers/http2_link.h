#pragma once

#include "lovagebeam/peers/peer_network.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagebeam::peers {

/// Counters that any thread may read while the network's thread changes them.
struct live_counters {
    std::atomic<std::uint64_t> dials{0};
    std::atomic<std::uint64_t> dial_failures{0};
    std::atomic<std::uint64_t> silent_connections{0};
    std::atomic<std::uint64_t> handshakes_accepted{0};
    std::atomic<std::uint64_t> handshakes_refused{0};
    std::atomic<std::uint64_t> addresses_refused{0};
    std::atomic<std::uint64_t> wire_bytes_in{0};
    std::atomic<std::uint64_t> wire_bytes_out{0};
};

struct session_deleter {
    void operator()(nghttp2_session* session) const { nghttp2_session_del(session); }
};

using session_ptr = std::unique_ptr<nghttp2_session, session_deleter>;

/// An HTTP/2 session on a socket. nghttp2 calls the `on_` functions while it processes received
/// bytes; they may submit frames, which are sent afterwards. Used on the network's thread.
class http2_link : public std::enable_shared_from_this<http2_link> {
public:
    enum class role { client, server };

    http2_link(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, role side,
               live_counters& counters);
    virtual ~http2_link();
    http2_link(const http2_link&) = delete;
    http2_link& operator=(const http2_link&) = delete;

    /// Closes the socket at once and calls `on_closed`. Does nothing when already closed.
    void close(const absl::Status& why);

    [[nodiscard]] bool closed() const { return m_closed; }

protected:
    virtual void on_header(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void on_headers_end(std::int32_t stream) = 0;
    virtual void on_data(std::int32_t stream, std::string_view bytes) = 0;
    virtual void on_end(std::int32_t stream) = 0;
    virtual void on_stream_closed(std::int32_t stream) = 0;
    virtual void on_ping_ack() = 0;
    virtual void on_goaway() = 0;

    /// Writes the next bytes of a stream into `buffer` and returns their number, or 0 to wait for
    /// `resume`. Sets `end` with the last bytes of the stream.
    virtual std::size_t produce_data(std::int32_t stream, char* buffer, std::size_t size,
                                     bool& end) = 0;

    /// Called when the socket has been closed. Not called by nghttp2.
    virtual void on_closed(const absl::Status& why) = 0;

    /// Sends the HTTP/2 settings and starts reading.
    void start_session();

    /// Sends the pending output of nghttp2. Does nothing while nghttp2 processes received bytes,
    /// which is always followed by a flush.
    void flush();

    /// Closes the connection with the given reason once nghttp2 has returned. For use in callbacks
    /// of nghttp2.
    void schedule_close(absl::Status why);

    /// Sends GOAWAY and closes once both sides have sent everything.
    void finish();

    void resume(std::int32_t stream) { nghttp2_session_resume_data(session(), stream); }

    /// Returns a data provider that reads the body of a request or response from `produce_data`.
    nghttp2_data_provider make_provider();

    [[nodiscard]] nghttp2_session* session() const { return m_session.get(); }
    [[nodiscard]] boost::asio::io_context& io() const { return m_io; }
    [[nodiscard]] boost::asio::ip::tcp::socket& socket() { return m_socket; }
    [[nodiscard]] live_counters& counters() const { return m_counters; }
    [[nodiscard]] std::chrono::steady_clock::time_point last_read() const { return m_last_read; }

private:
    friend struct session_callbacks;

    void read_more();
    void on_read(boost::system::error_code ec, std::size_t count);
    void collect_output();
    void end_output();

    boost::asio::io_context& m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_linger_timer;
    live_counters& m_counters;
    session_ptr m_session;
    std::vector<char> m_input;
    std::string m_output;
    std::chrono::steady_clock::time_point m_last_read;
    absl::Status m_failure;
    bool m_reading = false;
    bool m_writing = false;
    bool m_output_ended = false;
    bool m_closed = false;
};

/// Makes a header field of an HTTP/2 message. The views must stay valid until it is submitted.
nghttp2_nv make_field(std::string_view name, std::string_view value);

} // namespace lovagebeam::peers
