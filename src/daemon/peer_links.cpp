#include "peer_links.h"

#include "lovagebeam/telemetry/log.h"

#include <utility>
#include <vector>

namespace lovagebeam::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

std::vector<peers::peer_address> other_hosts(const settings::daemon_settings& settings)
{
    std::vector<peers::peer_address> result;
    for (const auto& member : settings.members) {
        if (member.node != settings.node) {
            result.push_back({member.node, member.peers.address, member.peers.port});
        }
    }
    return result;
}

} // namespace

peer_links::peer_links(const settings::daemon_settings& settings, std::string secret,
                       std::uint64_t seed, decision_loop& loop,
                       telemetry::metrics_registry& metrics)
    : m_loop{loop}, m_dropped{metrics.counter_named("lovagebeam_peer_messages_dropped_total")},
      m_unsent{metrics.counter_named("lovagebeam_peer_messages_unsent_total")},
      m_network{peers::peer_network_builder{}
                    .id(settings.node)
                    .listen(settings.self().peers.address, settings.self().peers.port)
                    .peers(other_hosts(settings))
                    .secret(std::move(secret))
                    .handler(*this)
                    .seed(seed)
                    .build()}
{
}

absl::Status peer_links::start(receivers to)
{
    m_receivers = std::move(to);
    return m_network.ok() ? (*m_network)->start() : m_network.status();
}

void peer_links::stop()
{
    if (m_network.ok()) {
        (*m_network)->stop();
    }
}

void peer_links::send(const base::node_id& to, peers::channel which, std::string bytes)
{
    if (!(*m_network)->send(to, which, std::move(bytes)).ok()) {
        m_unsent.add(1);
    }
}

void peer_links::update_peers(std::vector<peers::peer_address> peers)
{
    if (m_network.ok()) {
        (*m_network)->update_peers(std::move(peers));
    }
}

bool peer_links::is_connected(const base::node_id& peer) const
{
    return m_network.ok() && (*m_network)->state_of(peer) == peers::connection_state::connected;
}

peers::network_counters peer_links::counters() const
{
    return m_network.ok() ? (*m_network)->counters() : peers::network_counters{};
}

void peer_links::on_message(const base::node_id& from, peers::channel which, std::string bytes)
{
    if (which == peers::channel::routing) {
        if (!m_loop.try_post([this, from, bytes = std::move(bytes)](base::time_point now) mutable {
                m_receivers.routing(now, from, std::move(bytes));
            })) {
            m_dropped.add(1);
        }
        return;
    }
    auto message = std::make_shared<proto::ClusterMessage>();
    if (!message->ParseFromString(bytes)) {
        log_event{severity::warning, "peer_message_malformed"}.with("peer", from.str()).write();
        return;
    }
    if (!m_loop.try_post([this, from, message](base::time_point now) {
            m_receivers.cluster(now, from, *message);
        })) {
        m_dropped.add(1);
    }
}

void peer_links::on_state(const base::node_id& peer, peers::connection_state state)
{
    log_event{severity::info, "peer_connection"}
        .with("peer", peer.str())
        .with("state", peers::name_of(state))
        .write();
    if (state == peers::connection_state::disconnected) {
        m_loop.post_completion([this, peer](base::time_point now) { m_receivers.lost(now, peer); });
    }
}

} // namespace lovagebeam::daemon
