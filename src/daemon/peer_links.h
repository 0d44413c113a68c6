#pragma once

#include "lovagebeam/peers/peer_network.h"
#include "lovagebeam/settings/daemon_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include "cluster.pb.h"
#include "decision_loop.h"
#include "ports.h"

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovagebeam::daemon {

/// Connects the peer network to the decisions thread. Incoming messages are dropped, as if lost by
/// the network, when the queue of the decision loop doesn't accept new work.
class peer_links : public peer_sender, private peers::peer_handler {
public:
    struct receivers {
        /// All receivers are called on the decisions thread.
        std::function<void(base::time_point, const base::node_id&, proto::ClusterMessage&)> cluster;
        std::function<void(base::time_point, const base::node_id&, std::string)> routing;
        /// Called when the connection to a host was lost and reconnecting failed as well.
        std::function<void(base::time_point, const base::node_id&)> lost;
    };

    peer_links(const settings::daemon_settings& settings, std::string secret, std::uint64_t seed,
               decision_loop& loop, telemetry::metrics_registry& metrics);

    /// Starts to listen and to connect to the other hosts.
    absl::Status start(receivers to);
    void stop();

    void send(const base::node_id& to, peers::channel which, std::string bytes) override;

    /// Replaces the set of hosts that this one connects to and accepts connections from.
    void update_peers(std::vector<peers::peer_address> peers);

    [[nodiscard]] bool is_connected(const base::node_id& peer) const override;

    [[nodiscard]] peers::network_counters counters() const;

private:
    void on_message(const base::node_id& from, peers::channel which, std::string bytes) override;
    void on_state(const base::node_id& peer, peers::connection_state state) override;

    decision_loop& m_loop;
    telemetry::counter& m_dropped;
    telemetry::counter& m_unsent;
    receivers m_receivers;
    absl::StatusOr<std::unique_ptr<peers::peer_network>> m_network;
};

} // namespace lovagebeam::daemon
