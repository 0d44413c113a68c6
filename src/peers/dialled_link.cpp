#include "dialled_link.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace lovagebeam::peers {
namespace {

namespace asio = boost::asio;
using base::error_code;
using base::make_error;

constexpr unsigned unanswered_pings_until_silent = 2;

} // namespace

dialled_link::dialled_link(asio::io_context& io, std::shared_ptr<peer_record> record,
                           const authenticator& keys, dialled_owner& owner,
                           const peer_limits& limits, live_counters& counters)
    : http2_link{io, asio::ip::tcp::socket{io}, role::client, counters}, m_record{std::move(
                                                                             record)},
      m_keys{keys}, m_owner{owner}, m_limits{limits}, m_timer{io}, m_ping_timer{io}
{
    for (std::size_t i = 0; i < m_streams.size(); ++i) {
        m_streams.at(i).which = static_cast<channel>(i);
    }
}

void dialled_link::dial(const asio::ip::tcp::endpoint& remote, const asio::ip::address& local)
{
    ++counters().dials;
    const auto self = std::static_pointer_cast<dialled_link>(shared_from_this());
    m_timer.expires_after(m_limits.dial_timeout);
    m_timer.async_wait([self](boost::system::error_code ec) {
        if (!ec && !self->ready()) {
            self->close(make_error(error_code::timed_out,
                                   "the connect and handshake took longer than the dial timeout"));
        }
    });
    boost::system::error_code ec;
    socket().open(remote.protocol(), ec);
    // The peer checks the source address. On a host with several addresses, the kernel may choose
    // another one than the configured address.
    if (!ec && !local.is_unspecified() && local.is_v4() == remote.address().is_v4()) {
        socket().bind({local, 0}, ec);
    }
    if (ec) {
        asio::post(io(), [self, ec] { self->on_connected(ec); });
        return;
    }
    socket().async_connect(
        remote, [self](boost::system::error_code result) { self->on_connected(result); });
}

void dialled_link::on_connected(boost::system::error_code ec)
{
    if (closed()) {
        return;
    }
    if (ec) {
        close(make_error(error_code::connect_failed, ec.message()));
        return;
    }
    open_streams();
    start_session();
}

void dialled_link::open_streams()
{
    for (channel_stream& each : m_streams) {
        const hello greeting = m_keys.make_hello(m_record->id(), base::wall_now());
        const std::string path = "/lovagebeam/peer/v1/" + std::string{name_of(each.which)};
        const std::array fields{
            make_field(":method", "POST"),
            make_field(":scheme", "http"),
            make_field(":authority", m_record->id().str()),
            make_field(":path", path),
            make_field(node_header, greeting.node),
            make_field(time_header, greeting.time_ms),
            make_field(nonce_header, greeting.nonce),
            make_field(mac_header, greeting.mac),
        };
        const nghttp2_data_provider provider = make_provider();
        each.stream = nghttp2_submit_request(session(), nullptr, fields.data(), fields.size(),
                                             &provider, nullptr);
    }
}

void dialled_link::on_header(std::int32_t, std::string_view name, std::string_view value)
{
    if (name == ":status") {
        m_status = value;
    }
    else if (name == error_header) {
        m_refusal = value;
    }
}

void dialled_link::on_headers_end(std::int32_t)
{
    if (m_status != "200") {
        schedule_close(make_error(error_code::unauthenticated,
                                  "the peer refused the handshake: " + m_refusal));
        return;
    }
    ++m_accepted_streams;
    if (m_accepted_streams == channel_count) {
        m_timer.cancel();
        schedule_ping();
        m_owner.on_ready(std::static_pointer_cast<dialled_link>(shared_from_this()));
    }
}

void dialled_link::on_stream_closed(std::int32_t stream)
{
    channel_stream* const found = stream_of(stream);
    if (found == nullptr) {
        return;
    }
    found->open = false;
    if (m_mode != mode::draining && m_mode != mode::retiring) {
        schedule_close(make_error(error_code::connection_reset, "the peer closed a stream"));
        return;
    }
    if (std::ranges::none_of(m_streams, &channel_stream::open)) {
        finish();
    }
}

void dialled_link::on_goaway()
{
    if (ready() && m_mode != mode::draining && m_mode != mode::retiring) {
        m_owner.on_peer_closing(std::static_pointer_cast<dialled_link>(shared_from_this()));
    }
}

void dialled_link::wake()
{
    if (m_mode != mode::active) {
        return;
    }
    for (const channel_stream& each : m_streams) {
        if (m_record->has_messages(each.which)) {
            resume(each.stream);
        }
    }
    flush();
}

void dialled_link::activate()
{
    m_mode = mode::active;
    wake();
}

void dialled_link::drain(std::chrono::milliseconds limit)
{
    end_streams(mode::draining, limit);
}

void dialled_link::retire(std::chrono::milliseconds limit)
{
    end_streams(mode::retiring, limit);
}

void dialled_link::end_streams(mode how, std::chrono::milliseconds limit)
{
    if (closed()) {
        return;
    }
    if (!ready()) {
        close(make_error(error_code::cancelled, "closed before the handshake was complete"));
        return;
    }
    m_mode = how;
    m_timer.expires_after(limit);
    m_timer.async_wait([self = std::static_pointer_cast<dialled_link>(shared_from_this())](
                           boost::system::error_code ec) {
        if (!ec) {
            self->close(make_error(error_code::connection_silent,
                                   "the connection didn't close within the time limit"));
        }
    });
    for (const channel_stream& each : m_streams) {
        resume(each.stream);
    }
    flush();
}

void dialled_link::schedule_ping()
{
    m_ping_timer.expires_after(m_limits.ping_interval);
    m_ping_timer.async_wait([self = std::static_pointer_cast<dialled_link>(shared_from_this())](
                                boost::system::error_code ec) {
        if (!ec && !self->closed()) {
            self->on_ping_due();
        }
    });
}

void dialled_link::on_ping_due()
{
    if (m_unanswered_pings >= unanswered_pings_until_silent && !std::exchange(m_silent, true)) {
        ++counters().silent_connections;
        m_owner.on_silent(std::static_pointer_cast<dialled_link>(shared_from_this()));
    }
    if (closed()) {
        return;
    }
    // Further PINGs to a silent peer would only fill the queue of outgoing frames.
    if (!m_silent) {
        ++m_unanswered_pings;
        nghttp2_submit_ping(session(), NGHTTP2_FLAG_NONE, nullptr);
        flush();
        schedule_ping();
    }
}

dialled_link::channel_stream* dialled_link::stream_of(std::int32_t stream)
{
    auto* const found = std::ranges::find(m_streams, stream, &channel_stream::stream);
    return found == m_streams.end() ? nullptr : found;
}

bool dialled_link::load_message(channel_stream& from)
{
    if (from.message) {
        return true;
    }
    if (m_mode != mode::active && m_mode != mode::draining) {
        return false;
    }
    from.message = m_record->pop(from.which);
    if (!from.message) {
        return false;
    }
    from.prefix = make_length_prefix(from.message->size());
    from.offset = 0;
    return true;
}

std::size_t dialled_link::copy_fragment(channel_stream& from, char* buffer, std::size_t size)
{
    std::size_t copied = 0;
    if (from.offset < from.prefix.size()) {
        copied = std::min(size, from.prefix.size() - from.offset);
        std::copy_n(from.prefix.begin() + static_cast<std::ptrdiff_t>(from.offset), copied, buffer);
        from.offset += copied;
    }
    if (from.offset >= from.prefix.size()) {
        const std::size_t begin = from.offset - from.prefix.size();
        const std::size_t count = std::min(size - copied, from.message->size() - begin);
        std::copy_n(from.message->data() + begin, count, buffer + copied);
        from.offset += count;
        copied += count;
        if (from.offset == from.prefix.size() + from.message->size()) {
            m_record->count_out(from.which, from.message->size());
            from.message.reset();
        }
    }
    return copied;
}

std::size_t dialled_link::produce_data(std::int32_t stream, char* buffer, std::size_t size,
                                       bool& end)
{
    channel_stream* const from = stream_of(stream);
    if (from == nullptr) {
        return 0;
    }
    std::size_t copied = 0;
    while (copied < size && load_message(*from)) {
        copied += copy_fragment(*from, buffer + copied, size - copied);
    }
    end = copied == 0 && (m_mode == mode::draining || m_mode == mode::retiring);
    return copied;
}

void dialled_link::on_closed(const absl::Status& why)
{
    m_timer.cancel();
    m_ping_timer.cancel();
    for (const channel_stream& each : m_streams) {
        if (each.message) {
            m_record->count_dropped(each.which);
        }
    }
    m_owner.on_dialled_closed(std::static_pointer_cast<dialled_link>(shared_from_this()), why);
}

} // namespace lovagebeam::peers
