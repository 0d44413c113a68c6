#pragma once

#include "lovagebeam/base/random_source.h"

#include "dialled_link.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_set>

namespace lovagebeam::peers {

/// Keeps a dialled connection to one peer: dials again after failures, replaces a silent connection
/// by a fresh one, and ends it gracefully. Used on the network's thread.
class peer_link : public dialled_owner, public std::enable_shared_from_this<peer_link> {
public:
    struct surroundings {
        boost::asio::io_context& io;
        const authenticator& keys;
        const peer_limits& limits;
        live_counters& counters;
        base::random_source& random;
        boost::asio::ip::address local;
        std::function<void(const base::node_id&, connection_state)> report;
    };

    /// `around` must outlive this object.
    peer_link(surroundings& around, std::shared_ptr<peer_record> record,
              boost::asio::ip::tcp::endpoint remote);

    void start();

    /// Sends what has come into the queues.
    void wake();

    /// Sends the rest of the queues, says GOAWAY and closes; doesn't dial again.
    void stop(std::chrono::milliseconds limit);

    /// Closes everything at once and doesn't dial again.
    void close_now();

    /// Whether no connection is left.
    [[nodiscard]] bool ended() const { return m_links.empty(); }

    [[nodiscard]] peer_record& record() { return *m_record; }
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& remote() const { return m_remote; }

    void on_ready(const std::shared_ptr<dialled_link>& link) override;
    void on_silent(const std::shared_ptr<dialled_link>& link) override;
    void on_leaving(const std::shared_ptr<dialled_link>& link) override;
    void on_dialled_closed(const std::shared_ptr<dialled_link>& link,
                           const absl::Status& why) override;

    /// Called when the last connection has closed after `stop` or `close_now`.
    std::function<void()> on_ended;

private:
    void dial();
    void dial_later();
    void lose(const absl::Status& why);
    void set_state(connection_state state);

    surroundings& m_around;
    std::shared_ptr<peer_record> m_record;
    boost::asio::ip::tcp::endpoint m_remote;
    boost::asio::steady_timer m_backoff;
    std::shared_ptr<dialled_link> m_active;                    ///< Messages are sent on it.
    std::shared_ptr<dialled_link> m_fresh;                     ///< Being dialled.
    std::unordered_set<std::shared_ptr<dialled_link>> m_links; ///< All, also those that are ending.
    unsigned m_failures = 0;
    bool m_stopping = false;
};

} // namespace lovagebeam::peers
