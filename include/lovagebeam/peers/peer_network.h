#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/base/types.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::peers {

/// Independent message streams to a peer. Messages of one channel aren't blocked by another
/// channel's.
enum class channel { consensus, routing, snapshot };

inline constexpr std::size_t channel_count = 3;

std::string_view name_of(channel which);

/// Largest message, in bytes.
inline constexpr std::size_t max_message_bytes = std::size_t{4} * 1024 * 1024;

/// State of the connection that this node dials to a peer and sends on.
enum class connection_state {
    disconnected, ///< No connection; a new attempt follows after a backoff.
    connecting,   ///< First attempt, or an attempt after a backoff, is under way.
    connected,
    silent, ///< PINGs go unanswered and a replacement connection is being dialled.
};

std::string_view name_of(connection_state state);

struct peer_address {
    base::node_id id;
    std::string address; ///< IPv4 or IPv6.
    std::uint16_t port = 0;

    friend bool operator==(const peer_address&, const peer_address&) = default;
};

/// Receives messages and connection state changes. Called on the network's thread; must not block
/// and must not call `stop`.
class peer_handler {
public:
    virtual ~peer_handler() = default;

    virtual void on_message(const base::node_id& from, channel which, std::string bytes) = 0;

    /// Reports that the connection that this node dials to `peer` changed to `state`. Messages that
    /// `send` accepted before a change to `disconnected`, or before `silent` is followed by
    /// `connected`, may be lost.
    virtual void on_state(const base::node_id& peer, connection_state state) = 0;
};

struct peer_limits {
    /// Bound of each channel's queue to one peer, in messages and in bytes.
    std::size_t max_queued_messages = 8'192;
    std::size_t max_queued_bytes = std::size_t{32} * 1024 * 1024;
    std::chrono::milliseconds ping_interval{250};
    /// Time limit for the connect and the handshake together.
    std::chrono::milliseconds dial_timeout{1'000};
    /// Exponential backoff with full jitter between failed attempts: the upper bound of the delay
    /// doubles from `initial_backoff` to `max_backoff`.
    std::chrono::milliseconds initial_backoff{50};
    std::chrono::milliseconds max_backoff{1'000};
    /// An accepted connection on which nothing is received for this time is closed.
    std::chrono::milliseconds receive_timeout{5'000};
    /// Time limit for `stop`, after which the remaining connections are closed.
    std::chrono::milliseconds stop_timeout{2'000};
    /// Limit of accepted connections, including those before the handshake.
    std::size_t max_accepted_connections = 1'024;
};

struct channel_counters {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0; ///< Passed to the connection in full.
    std::uint64_t bytes_in = 0;     ///< Message bytes, without length prefixes.
    std::uint64_t bytes_out = 0;
    std::uint64_t dropped = 0; ///< Accepted by `send`, then discarded when the connection was lost.
    std::uint64_t refused = 0; ///< Refused by `send`.
};

struct network_counters {
    std::uint64_t dials = 0;
    std::uint64_t dial_failures = 0;
    std::uint64_t silent_connections = 0;  ///< Connections that stopped answering PINGs.
    std::uint64_t handshakes_accepted = 0; ///< One for each stream.
    std::uint64_t handshakes_refused = 0;
    std::uint64_t addresses_refused = 0; ///< Connections from unconfigured addresses.
    std::uint64_t wire_bytes_in = 0;     ///< All bytes read from sockets.
    std::uint64_t wire_bytes_out = 0;
};

/// Exchanges messages between the processes over HTTP/2 connections, on one thread of its own.
/// Messages of one channel arrive in order on one connection; a replaced connection may still
/// deliver messages after the first ones of its replacement. No message is delivered twice. The
/// functions may be called from any thread, `stop` from any but the network's.
class peer_network {
public:
    /// Stops the network.
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Listens, starts the thread and dials the peers. Fails with `connect_failed` when the address
    /// can't be used.
    absl::Status start();

    /// Refuses further messages, sends the queued ones, sends GOAWAY and closes the connections
    /// within `peer_limits::stop_timeout`. Ends the thread. Idempotent.
    void stop();

    /// Returns the bound port, also when the settings asked for port 0. Valid after `start`.
    [[nodiscard]] std::uint16_t port() const;

    /// Replaces the list of peers. Connections to peers that were removed from the list or changed
    /// their address are closed. This node's own id is ignored.
    void update_peers(std::vector<peer_address> peers);

    /// Queues a message. Errors: `not_connected` (also for unknown peers), `queue_full`,
    /// `message_too_large`, `shutting_down`. A refused message isn't sent; an accepted one is lost
    /// if the connection is lost. While the state is `silent`, messages are accepted and wait for
    /// the replacement connection.
    absl::Status send(const base::node_id& peer, channel which, std::string bytes);

    /// Returns `disconnected` for an unknown peer.
    [[nodiscard]] connection_state state_of(const base::node_id& peer) const;

    /// Returns why the last attempt to reach `peer` failed, or ok.
    [[nodiscard]] absl::Status last_error_of(const base::node_id& peer) const;

    [[nodiscard]] channel_counters counters_of(const base::node_id& peer, channel which) const;
    [[nodiscard]] network_counters counters() const;

private:
    friend class peer_network_builder;
    class impl;
    explicit peer_network(std::shared_ptr<impl> state);

    std::shared_ptr<impl> m_impl;
};

/// Builds a `peer_network`. Id, secret and handler are required.
class peer_network_builder {
public:
    peer_network_builder& id(base::node_id id);
    /// An IPv4 or IPv6 address, from which this node also dials unless it is unspecified (0.0.0.0);
    /// port 0 takes any free port. Default: 127.0.0.1, port 0.
    peer_network_builder& listen(std::string address, std::uint16_t port);
    peer_network_builder& peers(std::vector<peer_address> peers);
    /// The cluster secret: at least 16 bytes.
    peer_network_builder& secret(std::string secret);
    /// Must outlive the network.
    peer_network_builder& handler(peer_handler& handler);
    peer_network_builder& limits(const peer_limits& limits);
    /// Seeds the jitter of the backoff.
    peer_network_builder& seed(std::uint64_t seed);

    /// Fails with `invalid_settings` when something is missing or invalid.
    [[nodiscard]] absl::StatusOr<std::unique_ptr<peer_network>> build() const;

private:
    base::node_id m_id;
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    std::vector<peer_address> m_peers;
    std::string m_secret;
    peer_handler* m_handler = nullptr;
    peer_limits m_limits;
    std::uint64_t m_seed = 1;
};

} // namespace lovagebeam::peers
