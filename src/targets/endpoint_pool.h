#pragma once

#include "connection.h"
#include "pending_call.h"

#include <deque>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

namespace lovagebeam::targets {

/// Receives the results of calls and the connection counts of a pool. Implemented by the client.
class pool_owner {
public:
    virtual ~pool_owner() = default;

    virtual void on_pool_call_done(const call_ptr& call, http_result result) = 0;
    virtual void on_connections_changed(const endpoint& where, std::size_t open, bool opened) = 0;
    virtual void on_connection_reused() = 0;
    virtual bool change_response_memory(std::size_t before, std::size_t now) = 0;
};

/// The connections to one endpoint and the calls that wait for a connection. Used on the client's
/// thread.
class endpoint_pool : public connection_owner {
public:
    endpoint_pool(boost::asio::io_context& io, pool_owner& owner, endpoint where,
                  boost::asio::ip::tcp::endpoint address, const http_client_limits& limits);

    /// Sends a call on a connection, queues it, or ends it as `queue_full`.
    void add(const call_ptr& call);

    /// Ends a call of this pool as `timed_out` after its deadline.
    void expire(const call_ptr& call);

    /// Ends every call as `cancelled` and resets every connection.
    void close_all();

    [[nodiscard]] bool is_unused() const { return m_connections.empty() && m_queue.empty(); }

    void on_call_done(const call_ptr& call, http_result result) override;
    void on_idle(const std::shared_ptr<connection>& which) override;
    void on_closed(const std::shared_ptr<connection>& which) override;
    bool change_response_memory(std::size_t before, std::size_t now) override
    {
        return m_owner.change_response_memory(before, now);
    }

private:
    void process_queue();
    [[nodiscard]] bool assign_connection(const call_ptr& call);
    void close_idle();

    boost::asio::io_context& m_io;
    pool_owner& m_owner;
    endpoint m_where;
    boost::asio::ip::tcp::endpoint m_address;
    const http_client_limits& m_limits;
    std::unordered_set<std::shared_ptr<connection>> m_connections;
    std::vector<std::shared_ptr<connection>> m_idle; ///< The most recently used connection is last.
    std::deque<call_ptr> m_queue;
    bool m_closing = false;
    bool m_processing_queue = false;
};

} // namespace lovagebeam::targets
