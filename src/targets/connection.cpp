#include "connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace lovagebeam::targets {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// The kernel detects a host that disappeared without closing after about 4 s, also when the
// deadline of the call is minutes away.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;
constexpr int user_timeout_ms = 4'000;

constexpr unsigned http_1_1 = 11;
constexpr unsigned first_final_status = 200;
constexpr std::size_t max_retained_buffer_bytes = std::size_t{16} * 1024;

// The buffer holds what the parser needs at once: a header, or the line before a chunk with its
// extensions, or all trailers. Beast limits only the first of them.
constexpr std::size_t buffer_reserve_bytes = std::size_t{16} * 1024;

// A response up to this size is read although others take all memory.
constexpr std::size_t uncounted_response_bytes = std::size_t{64} * 1024;

http::request<http::string_body> make_request(pending_call& pending)
{
    http_call& call = pending.call;
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(call.method);
    message.target(call.path);
    const bool is_v6 = call.to.address.find(':') != std::string::npos;
    const std::string host = is_v6 ? "[" + call.to.address + "]" : call.to.address;
    message.set(http::field::host, host + ":" + std::to_string(call.to.port));
    for (const auto& header : call.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = std::move(call.body);
    if (!message.body().empty() || call.method == "POST" || call.method == "PUT") {
        message.content_length(message.body().size());
    }
    return message;
}

void set_options(asio::ip::tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    const int handle = socket.native_handle();
    const auto set = [handle](int option, int value) {
        ::setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_KEEPIDLE, keepalive_idle_s);
    set(TCP_KEEPINTVL, keepalive_interval_s);
    set(TCP_KEEPCNT, keepalive_probes);
    set(TCP_USER_TIMEOUT, user_timeout_ms);
}

} // namespace

connection::connection(asio::io_context& io, connection_owner& owner,
                       const http_client_limits& limits)
    : m_owner{owner}, m_limits{limits}, m_socket{io}, m_timer{io},
      m_buffer{limits.max_response_header_bytes + buffer_reserve_bytes}
{
}

void connection::open(const asio::ip::tcp::endpoint& where, call_ptr first)
{
    m_call = std::move(first);
    m_call->active_connection = this;
    m_timer.expires_after(m_limits.connect_timeout);
    m_timer.async_wait([self = shared_from_this()](error_code ec) {
        if (!ec && self->m_phase == phase::connecting) {
            self->abort(http_outcome::connect_failed, "no connection within the connect timeout");
        }
    });
    m_socket.async_connect(where,
                           [self = shared_from_this()](error_code ec) { self->on_connected(ec); });
}

void connection::on_connected(error_code ec)
{
    if (m_phase != phase::connecting) {
        return;
    }
    m_timer.cancel();
    if (ec) {
        m_connection_refused = ec == asio::error::connection_refused;
        abort(http_outcome::connect_failed, ec.message());
        return;
    }
    set_options(m_socket);
    send();
}

bool connection::reuse(const call_ptr& call)
{
    if (!is_open_without_input()) {
        close_gracefully();
        return false;
    }
    ++m_idle_sequence;
    m_timer.cancel();
    m_reused = true;
    m_call = call;
    m_call->active_connection = this;
    send();
    return true;
}

// Reads the response while the request is still being written: a server that refuses a request
// because of its header may respond and close before it has read the body.
void connection::send()
{
    m_phase = phase::busy;
    m_written = 0;
    m_write_started = true;
    m_write_done = false;
    m_read_done = false;
    m_read_error = {};
    m_request.emplace(make_request(*m_call));
    http::async_write(m_socket, *m_request,
                      [self = shared_from_this()](error_code ec, std::size_t count) {
                          self->m_written = count;
                          self->m_write_done = true;
                          if (self->m_phase != phase::busy) {
                              return;
                          }
                          if (ec && count == 0 && !self->m_read_done) {
                              self->m_read_done = true;
                              self->m_read_error = ec;
                          }
                          self->try_complete();
                      });
    read();
}

void connection::read()
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.max_response_header_bytes));
    m_parser->body_limit(m_limits.max_response_body_bytes);
    read_more();
}

// Reads in parts, so that the memory of the response is counted while it arrives. The parser isn't
// eager: it would go on reading as long as the bytes that have arrived end within a chunk's header.
void connection::read_more()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](error_code ec, std::size_t) {
                              if (ec || self->m_phase != phase::busy || self->m_parser->is_done()) {
                                  self->on_read(ec);
                                  return;
                              }
                              if (!self->charge(self->m_parser->get().body().size())) {
                                  self->on_read(http::error::body_limit);
                                  return;
                              }
                              self->read_more();
                          });
}

bool connection::charge(std::size_t bytes)
{
    const auto counted = bytes - std::min(bytes, uncounted_response_bytes);
    return m_owner.change_response_memory(std::exchange(m_charged, counted), counted);
}

void connection::on_read(error_code ec)
{
    if (m_phase != phase::busy || m_read_done) {
        return;
    }
    const unsigned status = ec ? 0 : m_parser->get().result_int();
    if (!ec && status < first_final_status && status != 101) {
        read();
        return;
    }
    m_read_done = true;
    m_read_error = ec;
    try_complete();
}

void connection::try_complete()
{
    if (!m_read_done) {
        return;
    }
    if (!m_read_error) {
        succeed();
        return;
    }
    // `maybe_sent` depends on the number of bytes written, so the write has to complete first.
    if (!m_write_done) {
        error_code ignored;
        m_socket.cancel(ignored);
        return;
    }
    fail(m_read_error);
}

void connection::succeed()
{
    // A body without a length that ends with the connection can't be told from a truncated one.
    if (m_parser->need_eof() && m_parser->get().result_int() != 204 &&
        m_parser->get().result_int() != 304 && !m_parser->chunked() &&
        !m_parser->content_length()) {
        abort(http_outcome::truncated, "the response has neither a Content-Length nor chunks");
        return;
    }
    const bool keep = m_write_done && m_parser->keep_alive() && m_buffer.size() == 0;
    auto message = m_parser->release();
    http_result result;
    result.outcome = http_outcome::answered;
    result.maybe_sent = true;
    result.reused_connection = m_reused;
    result.status = message.result_int();
    for (const auto& field : message) {
        result.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    result.body = std::move(message.body());
    // The call is removed first, since an idle connection may get the next call at once.
    const auto call = take_call();
    if (keep) {
        become_idle();
    }
    else {
        close_gracefully();
    }
    m_owner.on_call_done(call, std::move(result));
}

http_outcome connection::classify(error_code ec) const
{
    if (!maybe_sent()) {
        return http_outcome::connect_failed;
    }
    if (ec == http::error::header_limit || ec == http::error::body_limit ||
        ec == http::error::buffer_overflow) {
        return http_outcome::answer_too_large;
    }
    return m_parser->got_some() || m_buffer.size() > 0 ? http_outcome::truncated
                                                       : http_outcome::reset;
}

void connection::fail(error_code ec)
{
    m_closed_by_peer = ec == http::error::end_of_stream || ec == asio::error::eof;
    abort(classify(ec), ec.message());
}

bool connection::maybe_sent() const
{
    return m_write_started && (!m_write_done || m_written > 0);
}

void connection::abort(http_outcome outcome, std::string_view detail)
{
    const auto self = shared_from_this();
    http_result result;
    result.outcome = outcome;
    result.maybe_sent = maybe_sent();
    result.reused_connection = m_reused;
    result.connection_refused = m_connection_refused;
    result.closed_by_peer = m_closed_by_peer;
    result.detail = detail;
    const auto call = take_call();
    if (m_phase == phase::connecting) {
        close_socket(true);
    }
    else {
        close_gracefully();
    }
    if (call) {
        m_owner.on_call_done(call, std::move(result));
    }
}

call_ptr connection::take_call()
{
    charge(0);
    m_write_started = false;
    if (m_call) {
        m_call->active_connection = nullptr;
    }
    return std::exchange(m_call, nullptr);
}

void connection::become_idle()
{
    m_phase = phase::idle;
    m_request.reset();
    m_parser.reset();
    if (m_buffer.capacity() > max_retained_buffer_bytes) {
        m_buffer.shrink_to_fit();
    }
    m_timer.expires_after(m_limits.idle_timeout);
    m_timer.async_wait([self = shared_from_this(), sequence = ++m_idle_sequence](error_code ec) {
        if (!ec && self->m_phase == phase::idle && self->m_idle_sequence == sequence) {
            self->close_gracefully();
        }
    });
    watch_for_input();
    m_owner.on_idle(shared_from_this());
}

// Returns whether the connection is open with nothing to read.
bool connection::is_open_without_input()
{
    char byte = 0;
    const auto count =
        ::recv(m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// A single wait stays pending across calls: cancelling it for each call would cost more than
// ignoring its completion.
void connection::watch_for_input()
{
    if (std::exchange(m_watching, true)) {
        return;
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](error_code ec) {
                            self->m_watching = false;
                            if (self->m_phase != phase::idle) {
                                return;
                            }
                            if (!ec && self->is_open_without_input()) {
                                self->watch_for_input();
                                return;
                            }
                            self->close_gracefully();
                        });
}

void connection::close_gracefully()
{
    if (m_phase == phase::closing || m_phase == phase::closed) {
        return;
    }
    m_phase = phase::closing;
    error_code ec;
    m_socket.cancel(ec);
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) {
        close_socket(true);
        return;
    }
    m_timer.expires_after(m_limits.close_timeout);
    m_timer.async_wait([self = shared_from_this()](error_code waited) {
        if (!waited) {
            self->close_socket(true);
        }
    });
    discard_input();
}

void connection::discard_input()
{
    m_socket.async_read_some(asio::buffer(m_discard),
                             [self = shared_from_this()](error_code ec, std::size_t) {
                                 if (self->m_phase != phase::closing) {
                                     return;
                                 }
                                 if (ec) {
                                     self->close_socket(false);
                                     return;
                                 }
                                 self->discard_input();
                             });
}

void connection::close_now()
{
    const auto self = shared_from_this();
    http_result result;
    result.outcome = http_outcome::cancelled;
    result.maybe_sent = maybe_sent();
    result.reused_connection = m_reused;
    result.detail = "the endpoint was closed";
    const auto call = take_call();
    close_socket(true);
    if (call) {
        m_owner.on_call_done(call, std::move(result));
    }
}

// A reset also frees the connection at the other end, which otherwise may stay open forever when
// the path between the hosts drops packets.
void connection::close_socket(bool reset)
{
    if (m_phase == phase::closed) {
        return;
    }
    m_phase = phase::closed;
    error_code ignored;
    m_timer.cancel();
    if (reset) {
        m_socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    m_socket.close(ignored);
    m_owner.on_closed(shared_from_this());
}

} // namespace lovagebeam::targets
