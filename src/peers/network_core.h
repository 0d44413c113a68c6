#pragma once

#include "lovagebeam/peers/peer_network.h"

#include "accepted_link.h"
#include "handshake.h"
#include "peer_link.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <shared_mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lovagebeam::peers {

/// The validated settings of the builder.
struct network_settings {
    base::node_id id;
    boost::asio::ip::tcp::endpoint listen;
    std::vector<peer_address> peers;
    std::string secret;
    peer_handler* handler = nullptr;
    peer_limits limits;
    std::uint64_t seed = 1;
};

/// Owns the network's thread, listening socket and connections.
class network_core : public accepted_owner {
public:
    explicit network_core(network_settings settings);
    ~network_core() override;
    network_core(const network_core&) = delete;
    network_core& operator=(const network_core&) = delete;

    /// The functions from `start` to `counters` are called by other threads.
    absl::Status start();
    void stop();
    void update_peers(std::vector<peer_address> peers);
    absl::Status send(const base::node_id& peer, channel which, std::string bytes);
    [[nodiscard]] std::shared_ptr<peer_link> find(const base::node_id& peer) const;
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] const live_counters& counters() const { return m_counters; }

    absl::StatusOr<std::shared_ptr<peer_record>>
    authenticate(const hello& received, const boost::asio::ip::address& address) override;
    void on_message(peer_record& from, channel which, std::string bytes) override;
    void on_accepted_closed(const std::shared_ptr<accepted_link>& link) override;

private:
    void accept_next();
    void add_connection(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] bool is_configured(const boost::asio::ip::address& address) const;
    void apply_peers(const std::vector<peer_address>& peers);
    void remove_unlisted(const std::vector<peer_address>& peers);
    void close_link(const std::shared_ptr<peer_link>& link);
    void begin_stop();
    void force_stop();
    void check_stopped();

    network_settings m_settings;
    authenticator m_keys;
    base::random_source m_random;
    live_counters m_counters;
    std::atomic<std::uint16_t> m_port{0};

    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::ip::tcp::acceptor m_acceptor{m_io};
    boost::asio::steady_timer m_accept_timer{m_io};
    boost::asio::steady_timer m_stop_timer{m_io};
    peer_link::link_context m_context;
    std::unordered_set<std::shared_ptr<accepted_link>> m_accepted;
    std::unordered_set<std::shared_ptr<peer_link>> m_closing_links; ///< Of removed peers.
    bool m_stopping = false;
    std::thread m_thread;

    mutable std::shared_mutex m_directory_mutex;
    std::unordered_map<base::node_id, std::shared_ptr<peer_link>>
        m_directory; ///< Modified on the network's thread only.
};

} // namespace lovagebeam::peers
