#include "lovagebeam/peers/peer_network.h"

#include "network_core.h"

#include <sodium.h>

#include <array>
#include <utility>

namespace lovagebeam::peers {
namespace {

constexpr std::size_t min_secret_bytes = 16;

absl::Status invalid(std::string_view reason)
{
    return base::make_error(base::error_code::invalid_settings, reason);
}

bool is_address(const std::string& text)
{
    boost::system::error_code ec;
    boost::asio::ip::make_address(text, ec);
    return !ec;
}

absl::Status check(const peer_limits& limits)
{
    for (const auto time : {limits.ping_interval, limits.dial_timeout, limits.initial_backoff,
                            limits.max_backoff, limits.receive_timeout, limits.stop_timeout}) {
        if (time.count() <= 0) {
            return invalid("every timeout, interval and backoff of the network must be positive");
        }
    }
    if (limits.max_queued_messages == 0 || limits.max_queued_bytes < max_message_bytes ||
        limits.max_accepted_connections == 0) {
        return invalid("the network's limits must allow a queued message of the largest size and "
                       "an accepted connection");
    }
    return absl::OkStatus();
}

} // namespace

std::string_view name_of(channel which)
{
    constexpr std::array<std::string_view, channel_count> names{"consensus", "routing", "snapshot"};
    return names.at(static_cast<std::size_t>(which));
}

std::string_view name_of(connection_state state)
{
    constexpr std::array<std::string_view, 4> names{"disconnected", "connecting", "connected",
                                                    "silent"};
    return names.at(static_cast<std::size_t>(state));
}

class peer_network::impl {
public:
    explicit impl(network_settings settings) : m_core{std::move(settings)} {}

    [[nodiscard]] network_core& core() { return m_core; }

private:
    network_core m_core;
};

peer_network::peer_network(std::shared_ptr<impl> state) : m_impl{std::move(state)} {}

peer_network::~peer_network()
{
    stop();
}

absl::Status peer_network::start()
{
    return m_impl->core().start();
}

void peer_network::stop()
{
    m_impl->core().stop();
}

std::uint16_t peer_network::port() const
{
    return m_impl->core().port();
}

void peer_network::update_peers(std::vector<peer_address> peers)
{
    m_impl->core().update_peers(std::move(peers));
}

absl::Status peer_network::send(const base::node_id& peer, channel which, std::string bytes)
{
    return m_impl->core().send(peer, which, std::move(bytes));
}

connection_state peer_network::state_of(const base::node_id& peer) const
{
    const auto link = m_impl->core().find(peer);
    return link ? link->record().state() : connection_state::disconnected;
}

absl::Status peer_network::last_error_of(const base::node_id& peer) const
{
    const auto link = m_impl->core().find(peer);
    return link ? link->record().error() : absl::OkStatus();
}

channel_counters peer_network::counters_of(const base::node_id& peer, channel which) const
{
    const auto link = m_impl->core().find(peer);
    return link ? link->record().counters(which) : channel_counters{};
}

network_counters peer_network::counters() const
{
    const live_counters& live = m_impl->core().counters();
    return {.dials = live.dials,
            .dial_failures = live.dial_failures,
            .silent_connections = live.silent_connections,
            .handshakes_accepted = live.handshakes_accepted,
            .handshakes_refused = live.handshakes_refused,
            .addresses_refused = live.addresses_refused,
            .wire_bytes_in = live.wire_bytes_in,
            .wire_bytes_out = live.wire_bytes_out};
}

peer_network_builder& peer_network_builder::id(base::node_id id)
{
    m_id = std::move(id);
    return *this;
}

peer_network_builder& peer_network_builder::listen(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

peer_network_builder& peer_network_builder::peers(std::vector<peer_address> peers)
{
    m_peers = std::move(peers);
    return *this;
}

peer_network_builder& peer_network_builder::secret(std::string secret)
{
    m_secret = std::move(secret);
    return *this;
}

peer_network_builder& peer_network_builder::handler(peer_handler& handler)
{
    m_handler = &handler;
    return *this;
}

peer_network_builder& peer_network_builder::limits(const peer_limits& limits)
{
    m_limits = limits;
    return *this;
}

peer_network_builder& peer_network_builder::seed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

absl::StatusOr<std::unique_ptr<peer_network>> peer_network_builder::build() const
{
    if (m_id.empty() || m_handler == nullptr) {
        return invalid("the network has no id or no handler");
    }
    if (m_secret.size() < min_secret_bytes) {
        return invalid("the cluster secret has fewer than 16 bytes");
    }
    if (!is_address(m_address)) {
        return invalid("not an IP address to listen on: " + m_address);
    }
    for (const auto& peer : m_peers) {
        if (peer.id.empty() || !is_address(peer.address) || peer.port == 0) {
            return invalid("peer " + peer.id.str() + " has no valid id, address and port");
        }
    }
    if (const absl::Status status = check(m_limits); !status.ok()) {
        return status;
    }
    if (sodium_init() < 0) {
        return base::make_error(base::error_code::internal_error, "libsodium failed to initialise");
    }
    network_settings settings{
        .id = m_id,
        .listen = {boost::asio::ip::make_address(m_address), m_port},
        .peers = m_peers,
        .secret = m_secret,
        .handler = m_handler,
        .limits = m_limits,
        .seed = m_seed,
    };
    return std::unique_ptr<peer_network>{
        new peer_network{std::make_shared<peer_network::impl>(std::move(settings))}};
}

} // namespace lovagebeam::peers
