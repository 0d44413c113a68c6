#include "accepted_link.h"

#include "lovagebeam/base/errors.h"

#include <array>
#include <utility>

namespace lovagebeam::peers {
namespace {

using base::error_code;
using base::make_error;

constexpr std::string_view path_prefix = "/lovagebeam/peer/v1/";

// Number of checks for received data within one receive timeout.
constexpr int receive_checks_per_timeout = 4;

std::optional<channel> channel_of(std::string_view path)
{
    for (std::size_t i = 0; i < channel_count; ++i) {
        const auto which = static_cast<channel>(i);
        if (path == std::string{path_prefix} + std::string{name_of(which)}) {
            return which;
        }
    }
    return std::nullopt;
}

} // namespace

accepted_link::accepted_link(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                             boost::asio::ip::address remote, accepted_owner& owner,
                             const peer_limits& limits, live_counters& counters)
    : http2_link{io, std::move(socket), role::server, counters}, m_remote{std::move(remote)},
      m_owner{owner}, m_limits{limits}, m_timer{io}, m_started{std::chrono::steady_clock::now()}
{
}

void accepted_link::start()
{
    start_receive_check();
    start_session();
}

void accepted_link::send_shutdown_notice()
{
    nghttp2_submit_shutdown_notice(session());
    flush();
}

// The dialling side sends PINGs regularly, so a connection on which nothing arrives is lost.
void accepted_link::start_receive_check()
{
    m_timer.expires_after(m_limits.receive_timeout / receive_checks_per_timeout);
    m_timer.async_wait([self = std::static_pointer_cast<accepted_link>(shared_from_this())](
                           boost::system::error_code ec) {
        if (ec || self->closed()) {
            return;
        }
        if (self->receive_timed_out()) {
            self->close(make_error(error_code::connection_silent,
                                   "nothing was received within the receive timeout"));
            return;
        }
        self->start_receive_check();
    });
}

// Unread bytes count as received: after this process was paused, bytes that arrived in the meantime
// are still in the socket's buffer.
bool accepted_link::receive_timed_out()
{
    boost::system::error_code ec;
    const bool has_peer = m_peer && !m_refused;
    if (has_peer && socket().available(ec) > 0) {
        return false;
    }
    const auto since = has_peer ? last_read() : m_started;
    return std::chrono::steady_clock::now() - since >= m_limits.receive_timeout;
}

void accepted_link::on_header(std::int32_t stream, std::string_view name, std::string_view value)
{
    incoming_stream& target = m_streams[stream];
    if (name == ":path") {
        target.path = value;
    }
    else if (name == node_header) {
        target.received_hello.node = value;
    }
    else if (name == time_header) {
        target.received_hello.time_ms = value;
    }
    else if (name == nonce_header) {
        target.received_hello.nonce = value;
    }
    else if (name == mac_header) {
        target.received_hello.mac = value;
    }
}

void accepted_link::on_headers_end(std::int32_t stream)
{
    incoming_stream& target = m_streams[stream];
    if (target.which) {
        schedule_close(make_error(error_code::invalid_request, "a stream has trailers"));
        return;
    }
    send_handshake_result(stream, accept_stream(target));
}

absl::Status accepted_link::accept_stream(incoming_stream& stream)
{
    const auto which = channel_of(stream.path);
    if (!which) {
        return make_error(error_code::not_found, "unknown path");
    }
    auto sender = m_owner.authenticate(stream.received_hello, m_remote);
    if (!sender.ok()) {
        return sender.status();
    }
    if (m_peer && m_peer != *sender) {
        return make_error(error_code::unauthenticated, "another node on the same connection");
    }
    m_peer = *std::move(sender);
    stream.which = which;
    return absl::OkStatus();
}

void accepted_link::send_handshake_result(std::int32_t stream, const absl::Status& result)
{
    if (result.ok()) {
        ++counters().handshakes_accepted;
        const std::array fields{make_field(":status", "200")};
        const nghttp2_data_provider provider = make_provider();
        nghttp2_submit_response(session(), stream, fields.data(), fields.size(), &provider);
        return;
    }
    ++counters().handshakes_refused;
    const std::string reason{result.message()};
    const std::array fields{make_field(":status", "403"), make_field(error_header, reason)};
    nghttp2_submit_response(session(), stream, fields.data(), fields.size(), nullptr);
    // nghttp2_session_terminate_session would discard the response that carries the reason.
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session()), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    m_refused = true;
}

void accepted_link::on_data(std::int32_t stream, std::string_view bytes)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || !found->second.which) {
        schedule_close(make_error(error_code::unauthenticated, "data before the handshake"));
        return;
    }
    const channel which = *found->second.which;
    const absl::Status status =
        found->second.decoder.push(bytes, [this, which](std::string message) {
            m_peer->count_in(which, message.size());
            m_owner.on_message(*m_peer, which, std::move(message));
        });
    if (!status.ok()) {
        schedule_close(status);
    }
}

void accepted_link::on_end(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found != m_streams.end()) {
        found->second.ended = true;
        resume(stream);
    }
}

// The response has no body; its stream ends when the request ends.
std::size_t accepted_link::produce_data(std::int32_t stream, char*, std::size_t, bool& end)
{
    const auto found = m_streams.find(stream);
    end = found == m_streams.end() || found->second.ended;
    return 0;
}

void accepted_link::on_closed(const absl::Status&)
{
    m_timer.cancel();
    m_owner.on_accepted_closed(std::static_pointer_cast<accepted_link>(shared_from_this()));
}

} // namespace lovagebeam::peers
