#pragma once

#include "lovagebeam/base/random_source.h"

#include "dialled_link.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace lovagebeam::peers {

/// Maintains a dialled connection to one peer: dials again after failures, replaces a silent
/// connection, and closes gracefully. Used on the network's thread.
class peer_link : public dialled_owner, public std::enable_shared_from_this<peer_link> {
public:
    /// Objects and settings shared by all links of a network.
    struct link_context {
        boost::asio::io_context& io;
        const authenticator& keys;
        const peer_limits& limits;
        live_counters& counters;
        base::random_source& random;
        boost::asio::ip::address local;
        std::function<void(const base::node_id&, connection_state)> report;
    };

    /// `context` must outlive this object.
    peer_link(link_context& context, std::shared_ptr<peer_record> record,
              boost::asio::ip::tcp::endpoint remote);

    void start();

    /// Sends newly queued messages.
    void wake();

    /// Sends the queued messages, sends GOAWAY and closes within `limit`; doesn't dial again.
    void stop(std::chrono::milliseconds limit);

    /// Closes everything at once and doesn't dial again.
    void close_now();

    /// Returns whether no connection is left.
    [[nodiscard]] bool ended() const { return m_links.empty(); }

    [[nodiscard]] peer_record& record() { return *m_record; }
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& remote() const { return m_remote; }

    void on_ready(const std::shared_ptr<dialled_link>& link) override;
    void on_silent(const std::shared_ptr<dialled_link>& link) override;
    void on_peer_closing(const std::shared_ptr<dialled_link>& link) override;
    void on_dialled_closed(const std::shared_ptr<dialled_link>& link,
                           const absl::Status& why) override;

    /// Called when the last connection has closed after `stop` or `close_now`.
    std::function<void()> on_ended;

private:
    void dial();
    void schedule_dial();
    void handle_connection_loss(const absl::Status& why);
    void set_state(connection_state state);

    link_context& m_context;
    std::shared_ptr<peer_record> m_record;
    boost::asio::ip::tcp::endpoint m_remote;
    boost::asio::steady_timer m_backoff;
    std::shared_ptr<dialled_link> m_active;                    ///< Sends the messages.
    std::shared_ptr<dialled_link> m_pending;                   ///< Is being dialled.
    std::unordered_set<std::shared_ptr<dialled_link>> m_links; ///< All, including closing ones.
    unsigned m_failures = 0;
    bool m_stopping = false;
};

} // namespace lovagebeam::peers
