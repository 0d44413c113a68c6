#include "http2_link.h"

#include "lovagebeam/base/errors.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lovagebeam::peers {
namespace {

namespace asio = boost::asio;

constexpr std::size_t input_bytes = std::size_t{64} * 1024;

// Bytes that were passed to the kernel can't be reordered any more. These bounds keep the bytes
// between nghttp2 and the wire few, so that a consensus message waits for at most this much of a
// snapshot.
constexpr std::size_t output_bytes = std::size_t{64} * 1024;
constexpr int unsent_bytes = 64 * 1024;

// Both windows bound the memory for a peer. A stream's window covers a round trip of 3 ms at more
// than 300 MB/s.
constexpr std::uint32_t stream_window_bytes = 1024 * 1024;
constexpr std::int32_t connection_window_bytes = 4 * 1024 * 1024;

constexpr std::uint32_t max_streams = 8;
constexpr std::uint32_t max_header_bytes = 4096;

constexpr std::chrono::seconds linger_time{1};

struct callbacks_deleter {
    void operator()(nghttp2_session_callbacks* callbacks) const
    {
        nghttp2_session_callbacks_del(callbacks);
    }
};

} // namespace

/// Callbacks with the signatures that nghttp2 requires.
struct session_callbacks {
    static http2_link& link(void* user_data) { return *static_cast<http2_link*>(user_data); }

    static std::string_view view(const std::uint8_t* data, std::size_t size)
    {
        return {reinterpret_cast<const char*>(data), size};
    }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size, const std::uint8_t* value,
                         std::size_t value_size, std::uint8_t /*flags*/, void* user_data)
    {
        link(user_data).on_header(frame->hd.stream_id, view(name, name_size),
                                  view(value, value_size));
        return 0;
    }

    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user_data)
    {
        http2_link& self = link(user_data);
        const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        switch (frame->hd.type) {
        case NGHTTP2_HEADERS:
            self.on_headers_end(frame->hd.stream_id);
            if (ends) {
                self.on_end(frame->hd.stream_id);
            }
            break;
        case NGHTTP2_DATA:
            if (ends) {
                self.on_end(frame->hd.stream_id);
            }
            break;
        case NGHTTP2_PING:
            if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
                self.on_ping_ack();
            }
            break;
        case NGHTTP2_GOAWAY:
            self.on_goaway();
            break;
        default:
            break;
        }
        return 0;
    }

    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t stream,
                       const std::uint8_t* data, std::size_t size, void* user_data)
    {
        link(user_data).on_data(stream, view(data, size));
        return 0;
    }

    static int on_stream_close(nghttp2_session* /*session*/, std::int32_t stream,
                               std::uint32_t /*code*/, void* user_data)
    {
        link(user_data).on_stream_closed(stream);
        return 0;
    }

    static ssize_t read(nghttp2_session* /*session*/, std::int32_t stream, std::uint8_t* buffer,
                        std::size_t size, std::uint32_t* flags, nghttp2_data_source* source,
                        void* /*user_data*/)
    {
        bool end = false;
        const std::size_t count =
            link(source->ptr).produce_data(stream, reinterpret_cast<char*>(buffer), size, end);
        if (end) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(count);
        }
        return count == 0 ? ssize_t{NGHTTP2_ERR_DEFERRED} : static_cast<ssize_t>(count);
    }

    static session_ptr make_session(http2_link& owner, http2_link::role side)
    {
        nghttp2_session_callbacks* raw_callbacks = nullptr;
        nghttp2_session_callbacks_new(&raw_callbacks);
        const std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter> callbacks{
            raw_callbacks};
        nghttp2_session_callbacks_set_on_header_callback(raw_callbacks, on_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(raw_callbacks, on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw_callbacks, on_data);
        nghttp2_session_callbacks_set_on_stream_close_callback(raw_callbacks, on_stream_close);
        nghttp2_session* session = nullptr;
        if (side == http2_link::role::client) {
            nghttp2_session_client_new(&session, raw_callbacks, &owner);
        }
        else {
            nghttp2_session_server_new(&session, raw_callbacks, &owner);
        }
        return session_ptr{session};
    }
};

nghttp2_nv make_field(std::string_view name, std::string_view value)
{
    // nghttp2 copies both unless a flag is set; its struct lacks const.
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

http2_link::http2_link(asio::io_context& io, asio::ip::tcp::socket socket, role side,
                       live_counters& counters)
    : m_io{io}, m_socket{std::move(socket)}, m_linger_timer{io}, m_counters{counters},
      m_session{session_callbacks::make_session(*this, side)}, m_last_read{
                                                                   std::chrono::steady_clock::now()}
{
}

http2_link::~http2_link() = default;

nghttp2_data_provider http2_link::make_provider()
{
    nghttp2_data_provider provider;
    provider.source.ptr = this;
    provider.read_callback = session_callbacks::read;
    return provider;
}

void http2_link::start_session()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes,
                 sizeof unsent_bytes);
    m_last_read = std::chrono::steady_clock::now();
    m_input.resize(input_bytes);
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, max_header_bytes},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    };
    nghttp2_submit_settings(session(), NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session(), NGHTTP2_FLAG_NONE, 0, connection_window_bytes);
    read_more();
    flush();
}

void http2_link::read_more()
{
    m_socket.async_read_some(
        asio::buffer(m_input),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t count) {
            self->on_read(ec, count);
        });
}

void http2_link::on_read(boost::system::error_code ec, std::size_t count)
{
    if (m_closed) {
        return;
    }
    if (ec) {
        close(m_output_ended ? absl::OkStatus()
                             : base::make_error(base::error_code::connection_reset, ec.message()));
        return;
    }
    m_counters.wire_bytes_in += count;
    m_last_read = std::chrono::steady_clock::now();
    if (!m_output_ended) {
        m_reading = true;
        const ssize_t taken = nghttp2_session_mem_recv(
            session(), reinterpret_cast<const std::uint8_t*>(m_input.data()), count);
        m_reading = false;
        if (!m_failure.ok()) {
            close(m_failure);
        }
        else if (taken < 0) {
            close(base::make_error(base::error_code::connection_reset,
                                   nghttp2_strerror(static_cast<int>(taken))));
        }
    }
    if (!m_closed) {
        flush();
    }
    if (!m_closed) {
        read_more();
    }
}

void http2_link::collect_output()
{
    m_output.clear();
    while (m_output.size() < output_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t count = nghttp2_session_mem_send(session(), &data);
        if (count <= 0) {
            return;
        }
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(count));
    }
}

void http2_link::flush()
{
    if (m_closed || m_reading || m_writing || m_output_ended) {
        return;
    }
    collect_output();
    if (m_output.empty()) {
        if (nghttp2_session_want_read(session()) == 0 &&
            nghttp2_session_want_write(session()) == 0) {
            end_output();
        }
        return;
    }
    m_writing = true;
    asio::async_write(
        m_socket, asio::buffer(m_output),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t count) {
            self->m_writing = false;
            self->m_counters.wire_bytes_out += count;
            if (self->m_closed) {
                return;
            }
            if (ec) {
                self->close(base::make_error(base::error_code::connection_reset, ec.message()));
                return;
            }
            self->flush();
        });
}

// Keeps the socket open for reading until the other end closes, which shows that it has read
// everything.
void http2_link::end_output()
{
    m_output_ended = true;
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_linger_timer.expires_after(linger_time);
    m_linger_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec) {
            self->close(absl::OkStatus());
        }
    });
}

void http2_link::schedule_close(absl::Status why)
{
    if (m_failure.ok()) {
        m_failure = std::move(why);
    }
}

void http2_link::finish()
{
    nghttp2_session_terminate_session(session(), NGHTTP2_NO_ERROR);
    flush();
}

void http2_link::close(const absl::Status& why)
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    m_linger_timer.cancel();
    m_socket.close(ignored);
    on_closed(why);
}

} // namespace lovagebeam::peers
