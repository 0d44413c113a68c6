#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/base/types.h"

#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lovagebeam::targets {

struct http_header {
    std::string name;
    std::string value;
};

/// Where a target or worker listens: an IPv4 or IPv6 address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend bool operator<(const endpoint& left, const endpoint& right)
    {
        return std::tie(left.address, left.port) < std::tie(right.address, right.port);
    }
};

/// The outcome of a call. Only `answered` has a response, which is then complete.
enum class http_outcome {
    answered,
    connect_failed,   ///< The connect failed, or a reused connection before a byte was written.
    timed_out,        ///< The deadline passed: waiting, connecting, writing or reading.
    reset,            ///< The connection failed before the first byte of a response.
    truncated,        ///< The response was malformed, or the connection ended during it.
    queue_full,       ///< All connections were busy and the queue of the endpoint was full.
    answer_too_large, ///< The response exceeds the limits.
    cancelled,        ///< The endpoint was closed or the client stopped.
    invalid_call,     ///< The address, method, path or a header can't be sent.
};

/// Returns the stable name of `outcome`, for example "connect_failed".
std::string_view name_of(http_outcome outcome);

struct http_call {
    endpoint to;
    std::string method;               ///< "GET", "POST", "PUT" or "DELETE".
    std::string path;                 ///< Path and query; starts with a slash.
    std::vector<http_header> headers; ///< Without Host, Content-Length and Connection.
    std::string body;
    base::time_point deadline; ///< The whole call ends before this time or as `timed_out`.
    /// Doesn't wait behind other calls: opens a connection beyond the limit if all are busy.
    bool is_urgent = false;
};

struct http_result {
    http_outcome outcome = http_outcome::cancelled;
    /// Whether a byte of the request may have reached the server. When false, the call had no
    /// effect there.
    bool maybe_sent = false;
    bool reused_connection = false;  ///< The connection had carried an earlier call.
    bool connection_refused = false; ///< The connect failed with ECONNREFUSED.
    bool closed_by_peer = false;     ///< The server closed the connection, without a reset.
    unsigned status = 0;
    std::vector<http_header> headers;
    std::string body;
    std::string detail; ///< Description of the failure for logs; empty when answered.

    [[nodiscard]] bool answered() const { return outcome == http_outcome::answered; }

    /// Returns the value of the first header with this name, ignoring case, or nothing.
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const;

    /// Returns ok when answered, otherwise a status with the matching error code.
    [[nodiscard]] absl::Status to_status() const;
};

/// Called exactly once for each call, on the client's thread. Must not block.
using http_callback = std::function<void(http_result)>;

struct http_client_limits {
    /// A connection counts from before the connect until the close is complete.
    std::size_t max_connections_per_endpoint = 20;
    /// Calls to one endpoint that wait for a connection.
    std::size_t max_queued_calls_per_endpoint = 1'024;
    std::size_t max_response_header_bytes = std::size_t{16} * 1024;
    /// Less than the 4 MiB of a peer message, which carries the response to the entry host.
    std::size_t max_response_body_bytes = std::size_t{2} * 1024 * 1024;
    /// Response bodies that are being read, all together, without the first 64 KiB of each. Beyond
    /// it, calls end as `answer_too_large`.
    std::size_t max_response_memory_bytes = std::size_t{64} * 1024 * 1024;
    std::chrono::milliseconds connect_timeout{1'000};
    /// Idle connections are closed after this time instead of being probed.
    std::chrono::milliseconds idle_timeout{5'000};
    /// A closing connection that the server hasn't closed after this time is reset.
    std::chrono::milliseconds close_timeout{250};
};

struct http_client_counters {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t connections_opened = 0; ///< Connects started.
    std::uint64_t connections_open = 0;   ///< Counted as in `max_connections_per_endpoint`.
    std::uint64_t connections_reused = 0; ///< Calls that used an idle connection.
    std::uint64_t bytes_in = 0;           ///< Response bodies.
    std::uint64_t bytes_out = 0;          ///< Request bodies.
};

/// An asynchronous HTTP/1.1 client with one thread of its own. A call is sent at most once; nothing
/// is retried here. The functions may be called from any thread.
class http_client {
public:
    explicit http_client(const http_client_limits& limits = {});

    /// Stops the client.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts the thread. Calls that are made before wait for it.
    void start();

    /// Ends every call as `cancelled`, closes the connections and ends the thread. Idempotent. Must
    /// not be called from a callback. Later calls end as `cancelled` on the calling thread.
    void stop();

    void send(http_call call, http_callback callback);

    /// Ends queued and in-flight calls to `where` as `cancelled` and closes its connections. Used
    /// when a target is lost or fenced. Later calls open new connections.
    void close_endpoint(const endpoint& where);

    [[nodiscard]] http_client_counters counters() const;

    /// Returns the number of connections to `where`, counted as in `max_connections_per_endpoint`.
    [[nodiscard]] std::size_t connections_to(const endpoint& where) const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace lovagebeam::targets
