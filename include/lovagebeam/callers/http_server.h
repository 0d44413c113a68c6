#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/base/types.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::callers {

struct http_header {
    std::string name;
    std::string value;
};

/// A complete request. A request that is malformed, too large or incomplete never reaches the
/// handler.
struct http_request {
    std::string method;               ///< As sent, for example "POST".
    std::string target;               ///< Path and query as sent.
    std::vector<http_header> headers; ///< In the order sent; names as sent.
    std::string body;
    std::string remote_address; ///< Peer address of the connection, without port.
    base::time_point received_at;

    /// Returns the value of the first header with this name, ignoring case, or nothing.
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const;

    /// Returns the part of `target` before the query.
    [[nodiscard]] std::string_view path() const;

    /// Returns the part of `target` after the first question mark; empty without one.
    [[nodiscard]] std::string_view query() const;
};

struct http_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<http_header> headers; ///< Without Content-Length, Content-Type and Connection.
    std::string body;
};

/// Returns a response with the body `{"error":{"code","message","outcome"}}`. `outcome` is
/// "not_run", "unknown" or "completed".
http_response error_response(unsigned status, base::error_code code, std::string_view message,
                             std::string_view outcome = "not_run");

/// A handle for the response to one request. Copies refer to the same request. The first `send` of
/// any copy responds; later ones do nothing. It may be called from any thread, also after the
/// server has stopped. When the last copy is destroyed without a response, the caller gets status
/// 500 with outcome "unknown".
class reply {
public:
    class shared_state;

    explicit reply(std::shared_ptr<shared_state> state) : m_state{std::move(state)} {}

    /// Sends `response` and returns true, or returns false when a response was sent before. Does
    /// not block. Doesn't report whether the caller has disconnected.
    bool send(http_response response) const;

    bool operator()(http_response response) const { return send(std::move(response)); }

private:
    std::shared_ptr<shared_state> m_state;
};

/// Called on the server's thread with each complete request. Must not block.
using request_handler = std::function<void(http_request, reply)>;

struct http_server_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// Time limit from the first byte of a request to its last; also for writing a response.
    std::chrono::milliseconds request_timeout{10'000};
    /// A connection without a request is closed after this time.
    std::chrono::milliseconds idle_timeout{60'000};
    /// When as many are open, those that have waited for a complete request for over two seconds
    /// are closed. A further connection gets status 503.
    std::size_t max_connections = 10'000;
    std::size_t max_requests_in_progress = 4'096;
    /// Memory of all requests together, from their first byte until the response is written. Beyond
    /// it, the requests that have been incomplete for the longest time get status 503, or the new
    /// one if all others are complete.
    std::size_t max_request_memory_bytes = std::size_t{32} * 1024 * 1024;
    /// Idle connections are closed this long after a drain has started, so that requests that are
    /// already on their way are still served.
    std::chrono::milliseconds drain_idle_timeout{200};
};

struct http_server_counters {
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_refused = 0; ///< Exceeded `max_connections`.
    std::uint64_t connections_open = 0;
    std::uint64_t requests = 0; ///< Passed to the handler.
    std::uint64_t requests_in_progress = 0;
    /// Exceeded `max_requests_in_progress` or `max_request_memory_bytes`.
    std::uint64_t requests_refused = 0;
    std::uint64_t request_memory_bytes = 0;
    std::uint64_t requests_rejected = 0; ///< Malformed, too large or too slow.
    std::uint64_t responses = 0;         ///< Completely written responses to requests.
};

struct drain_result {
    bool complete = false;              ///< Every request in flight got its response in time.
    std::uint64_t requests_aborted = 0; ///< Requests without a response at the time limit.
};

/// An HTTP/1.1 server with one thread of its own. Each connection has at most one request in
/// progress; pipelined requests wait in the connection.
/// The functions may be called from any thread but the server's own.
class http_server {
public:
    /// Stops the server.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens and starts the thread. Fails with `connect_failed` when the address can't be used.
    absl::Status start();

    /// Returns the bound port, also when the settings asked for port 0. Valid after `start`.
    [[nodiscard]] std::uint16_t port() const;

    /// Stops accepting connections, responds to the requests in flight with `Connection: close` and
    /// closes idle connections. Calls `done` once on the server's thread, when no connection is
    /// left or when `limit` has passed and the remaining ones are closed. `stop` must still be
    /// called.
    void drain(std::chrono::milliseconds limit, std::function<void(drain_result)> done);

    /// Closes every connection at once and ends the thread. Idempotent.
    void stop();

    [[nodiscard]] http_server_counters counters() const;

private:
    friend class http_server_builder;
    class impl;
    explicit http_server(std::unique_ptr<impl> state);

    std::unique_ptr<impl> m_impl;
};

/// Builds an `http_server`. The handler is required.
class http_server_builder {
public:
    /// An IPv4 or IPv6 address; port 0 takes any free port. Default: 127.0.0.1, port 0.
    http_server_builder& listen(std::string address, std::uint16_t port);
    http_server_builder& handler(request_handler handler);
    http_server_builder& limits(const http_server_limits& limits);

    /// Fails with `invalid_settings` when the handler is missing, the address isn't an IP address
    /// or a limit isn't positive.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<http_server>> build() const;

private:
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    request_handler m_handler;
    http_server_limits m_limits;
};

} // namespace lovagebeam::callers
