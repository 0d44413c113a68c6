#include "session.h"

#include "http_convert.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace lovagebeam::callers {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Closing a socket with unread bytes resets the connection, which can destroy a response in flight.
// So the remaining input is read and discarded for this time.
constexpr std::chrono::milliseconds linger_time{2'000};

constexpr std::size_t first_read_bytes = 4096;

// A larger buffer, grown by a large request, is freed between requests.
constexpr std::size_t max_retained_buffer_bytes = 2 * first_read_bytes;

// The buffer holds what the parser needs at once: a header, or the line before a chunk with its
// extensions, or all trailers. Beast limits only the first of them.
constexpr std::size_t buffer_reserve_bytes = std::size_t{16} * 1024;

// Beast allocates each field separately. Rounded up, with what the allocator adds.
constexpr std::size_t field_overhead_bytes = 128;

constexpr std::string_view refusal_retry_seconds = "1";

std::size_t memory_of_fields(const beast_request& message)
{
    std::size_t bytes = 0;
    for (const auto& field : message) {
        bytes += field_overhead_bytes + field.name_string().size() + field.value().size();
    }
    return bytes;
}

http_response no_memory_response()
{
    auto response = error_response(503, base::error_code::queue_full,
                                   "the server has no memory for the request");
    response.headers.push_back({"Retry-After", std::string{refusal_retry_seconds}});
    return response;
}

} // namespace

session::session(std::shared_ptr<server_core> core, asio::ip::tcp::socket socket)
    : m_core{std::move(core)}, m_socket{std::move(socket)}, m_timer{m_core->io()},
      m_buffer{m_core->limits().max_header_bytes + buffer_reserve_bytes},
      m_waiting_since{std::chrono::steady_clock::now()}
{
    beast::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay{true}, ec);
    const auto remote = m_socket.remote_endpoint(ec);
    if (!ec) {
        m_remote_address = remote.address().to_string();
    }
}

void session::start_timer(std::chrono::milliseconds limit)
{
    m_timed_out = false;
    ++m_timer_sequence;
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [self = weak_from_this(), sequence = m_timer_sequence](beast::error_code ec) {
            const auto found = self.lock();
            if (ec || !found || found->m_timer_sequence != sequence) {
                return;
            }
            found->m_timed_out = true;
            beast::error_code ignored;
            found->m_socket.cancel(ignored);
        });
}

void session::cancel_timer()
{
    ++m_timer_sequence;
    m_timer.cancel();
}

void session::start()
{
    await_request();
}

void session::refuse()
{
    write(error_response(503, base::error_code::queue_full,
                         "the server has its maximum number of connections"),
          false);
}

bool session::has_request() const
{
    return m_phase == phase::reading || m_phase == phase::handling || m_phase == phase::writing;
}

// Waits for the first byte of a request separately, since the idle timeout ends and the request
// timeout starts with it.
void session::await_request()
{
    m_phase = phase::idle;
    m_waiting_since = std::chrono::steady_clock::now();
    if (m_buffer.size() > 0) {
        read_header();
        return;
    }
    start_timer(m_core->draining() ? m_core->limits().drain_idle_timeout
                                   : m_core->limits().idle_timeout);
    m_socket.async_read_some(m_buffer.prepare(first_read_bytes),
                             [self = shared_from_this()](beast::error_code ec, std::size_t count) {
                                 if (self->m_phase == phase::closed) {
                                     return;
                                 }
                                 self->m_buffer.commit(count);
                                 if (count == 0 || ec) {
                                     self->close();
                                     return;
                                 }
                                 self->read_header();
                             });
}

void session::read_header()
{
    m_phase = phase::reading;
    m_waiting_since = std::chrono::steady_clock::now();
    m_refused = false;
    m_field_bytes = 0;
    m_keep_alive = true;
    m_head_request = false;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_core->limits().max_header_bytes));
    m_parser->body_limit(m_core->limits().max_body_bytes);
    start_timer(m_core->limits().request_timeout);
    read_header_part();
}

// Header and body are read in parts, so that the memory of the request is counted while it arrives.
// The parser isn't eager: it would go on reading, without a look at memory and time, as long as the
// bytes that have arrived end within a chunk's header.
void session::read_header_part()
{
    if (!charge()) {
        return;
    }
    if (m_parser->is_header_done()) {
        on_header({});
        return;
    }
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](beast::error_code ec, std::size_t) {
                              if (ec || self->m_phase == phase::closed) {
                                  self->on_header(ec);
                                  return;
                              }
                              self->read_header_part();
                          });
}

void session::on_header(beast::error_code ec)
{
    if (m_phase == phase::closed) {
        return;
    }
    if (ec) {
        reject(ec);
        return;
    }
    const auto& header = m_parser->get();
    m_field_bytes = memory_of_fields(header);
    m_keep_alive = header.keep_alive();
    m_head_request = header.method() == http::verb::head;
    if (auto refused = check_header(header, m_parser->content_length(), m_parser->chunked(),
                                    m_core->limits().max_body_bytes)) {
        reject(std::move(*refused));
        return;
    }
    if (!m_parser->is_done() && beast::iequals(header[http::field::expect], "100-continue")) {
        send_continue();
        return;
    }
    read_body();
}

void session::send_continue()
{
    static const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(interim),
                      [self = shared_from_this()](beast::error_code ec, std::size_t) {
                          if (self->m_phase == phase::closed) {
                              return;
                          }
                          if (ec) {
                              self->close();
                              return;
                          }
                          self->read_body();
                      });
}

void session::read_body()
{
    if (!charge()) {
        return;
    }
    if (m_parser->is_done()) {
        on_body({});
        return;
    }
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          [self = shared_from_this()](beast::error_code ec, std::size_t) {
                              if (ec || self->m_phase == phase::closed) {
                                  self->on_body(ec);
                                  return;
                              }
                              self->read_body();
                          });
}

bool session::charge()
{
    // The timer and `refuse_incomplete` cancel the pending read, which may have completed already.
    if (m_timed_out) {
        reject(beast::error_code{beast::error::timeout});
        return false;
    }
    if (m_refused) {
        reject(no_memory_response());
        return false;
    }
    const auto bytes = m_buffer.capacity() + m_field_bytes + m_parser->get().body().size();
    const auto before = std::exchange(m_charged, bytes);
    if (m_core->charge(*this, before, bytes)) {
        return true;
    }
    ++m_core->counters().requests_refused;
    reject(no_memory_response());
    return false;
}

void session::release_memory()
{
    m_core->release(std::exchange(m_charged, 0));
}

void session::refuse_incomplete()
{
    m_refused = true;
    release_memory();
    ++m_core->counters().requests_refused;
    beast::error_code ignored;
    m_socket.cancel(ignored);
}

void session::on_body(beast::error_code ec)
{
    if (m_phase == phase::closed) {
        return;
    }
    if (ec) {
        reject(ec);
        return;
    }
    // The session has no time limit for the response: the handler applies its own deadline.
    cancel_timer();
    dispatch();
}

void session::dispatch()
{
    m_phase = phase::handling;
    auto& counters = m_core->counters();
    if (counters.requests_in_progress >= m_core->limits().max_requests_in_progress) {
        ++counters.requests_refused;
        write(error_response(503, base::error_code::queue_full,
                             "the server has its maximum number of requests in progress"),
              m_keep_alive);
        return;
    }
    ++counters.requests;
    ++counters.requests_in_progress;
    m_counted_in_progress = true;
    ++m_sequence;
    reply answer{std::make_shared<reply::shared_state>(m_core, weak_from_this(), m_sequence)};
    m_core->handle(take_request(), std::move(answer));
}

http_request session::take_request()
{
    auto message = m_parser->release();
    m_parser.reset();
    if (m_buffer.capacity() > max_retained_buffer_bytes) {
        m_buffer.shrink_to_fit();
    }
    http_request request = convert_request(std::move(message));
    request.remote_address = m_remote_address;
    request.received_at = std::chrono::steady_clock::now();
    return request;
}

void session::reject(beast::error_code ec)
{
    if (m_refused && ec == asio::error::operation_aborted) {
        reject(no_memory_response());
        return;
    }
    if (m_timed_out && ec == asio::error::operation_aborted) {
        ec = beast::error::timeout;
    }
    if (auto response = describe_read_error(ec, m_core->limits())) {
        reject(std::move(*response));
        return;
    }
    close();
}

// After a request that couldn't be read, the start of the next request is unknown, so the
// connection is closed.
void session::reject(http_response response)
{
    ++m_core->counters().requests_rejected;
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    release_memory();
    write(std::move(response), false);
}

void session::respond(std::uint64_t sequence, http_response response)
{
    if (m_phase != phase::handling || sequence != m_sequence) {
        return;
    }
    write(std::move(response), m_keep_alive);
}

void session::write(http_response response, bool keep_open)
{
    const bool is_response_to_request = m_phase == phase::handling;
    m_phase = phase::writing;
    keep_open = keep_open && !m_core->draining();
    auto message = std::make_shared<http::response<http::string_body>>(
        convert_response(std::move(response), keep_open, m_head_request));
    start_timer(m_core->limits().request_timeout);
    http::async_write(m_socket, *message,
                      [self = shared_from_this(), message, keep_open,
                       is_response_to_request](beast::error_code ec, std::size_t) {
                          if (self->m_phase == phase::closed) {
                              return;
                          }
                          if (ec) {
                              self->close();
                              return;
                          }
                          if (is_response_to_request) {
                              ++self->m_core->counters().responses;
                          }
                          self->on_written(keep_open);
                      });
}

void session::on_written(bool keep_open)
{
    release_memory();
    if (std::exchange(m_counted_in_progress, false)) {
        --m_core->counters().requests_in_progress;
    }
    if (keep_open) {
        await_request();
        return;
    }
    linger();
}

void session::linger()
{
    m_phase = phase::lingering;
    beast::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) {
        close();
        return;
    }
    start_timer(linger_time);
    discard_input();
}

void session::discard_input()
{
    m_socket.async_read_some(asio::buffer(m_discard),
                             [self = shared_from_this()](beast::error_code ec, std::size_t) {
                                 if (self->m_phase == phase::closed) {
                                     return;
                                 }
                                 if (ec || self->m_timed_out) {
                                     self->close();
                                     return;
                                 }
                                 self->discard_input();
                             });
}

// A request whose bytes have arrived but haven't been read yet is still served.
void session::close_if_idle()
{
    if (m_phase != phase::idle) {
        return;
    }
    beast::error_code ec;
    if (m_socket.available(ec) > 0 && !ec) {
        return;
    }
    m_socket.cancel(ec);
}

void session::close_now()
{
    m_phase = phase::closed;
    release_memory();
    if (std::exchange(m_counted_in_progress, false)) {
        --m_core->counters().requests_in_progress;
    }
    cancel_timer();
    beast::error_code ignored;
    m_socket.close(ignored);
}

void session::close()
{
    close_now();
    m_core->remove(shared_from_this());
}

reply::shared_state::shared_state(std::shared_ptr<server_core> core, std::weak_ptr<session> target,
                                  std::uint64_t sequence)
    : m_core{std::move(core)}, m_target{std::move(target)}, m_sequence{sequence}
{
}

reply::shared_state::~shared_state()
{
    send(error_response(500, base::error_code::internal_error,
                        "the request ended without an answer", "unknown"));
}

bool reply::shared_state::send(http_response response)
{
    if (m_answered.exchange(true)) {
        return false;
    }
    // The posted function must not hold a reference to the core: the core owns the io_context,
    // which still owns this function if the server stops first.
    asio::post(m_core->io(), [target = m_target, sequence = m_sequence,
                              response = std::move(response)]() mutable {
        if (const auto found = target.lock()) {
            found->respond(sequence, std::move(response));
        }
    });
    return true;
}

bool reply::send(http_response response) const
{
    return m_state->send(std::move(response));
}

} // namespace lovagebeam::callers
