#pragma once

#include "lovagebeam/controlplane/ports.h"

#include "controlplane.pb.h"
#include "decision_loop.h"
#include "ports.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::controlplane {

/// Distributes the leader's calls to workers over the other core processes, whose processors are
/// idle. All calls to one worker go through the same process, except direct holds. An order that is
/// lost on the way has an unknown outcome, like one whose answer from the worker is lost. With few
/// workers the leader calls them itself. Not thread-safe; used on the decisions thread only, where
/// the callbacks of relayed orders also run.
class worker_relay final : public worker_port {
public:
    /// The arguments must outlive this object.
    worker_relay(worker_port& workers, daemon::peer_sender& links, daemon::decision_loop& loop);

    /// Sets the core processes that may relay calls, without this one.
    void set_cores(std::vector<std::string> cores);
    void set_worker_count(std::size_t count) { m_worker_count = count; }

    void start(const jobs::start_order& order,
               std::function<void(jobs::start_outcome)> done) override;
    void stop(const jobs::stop_order& order, std::function<void(bool)> done) override;
    void hold(const jobs::hold_order& order,
              std::function<void(jobs::hold_outcome, jobs::hold_answer)> done) override;

    /// Handles a message from another core process: orders to execute, or outcomes.
    void on_message(base::time_point now, const base::node_id& from, std::string_view bytes);
    /// Expires the orders that got no outcome before their deadline.
    void tick(base::time_point now);
    /// Sends the messages that were queued since the last call.
    void flush();

    /// Number of relayed orders without an outcome.
    [[nodiscard]] std::size_t pending_count() const { return m_pending.size(); }
    /// Number of core processes that get no orders because they lost one.
    [[nodiscard]] std::size_t suspended_count() const;

private:
    using outcome = proto::controlplane::RelayOutcome;
    struct pending_order {
        std::string relay;
        base::time_point deadline;
        /// Called with nullptr when the outcome is unknown.
        std::function<void(const outcome*)> done;
        std::string_view kind; ///< of the order, for the log
        std::string worker;
    };

    /// Returns the process that calls `worker`; empty for this one.
    [[nodiscard]] std::string relay_for(const base::worker_id& worker) const;
    void forward(const std::string& relay, proto::controlplane::RelayOrder order,
                 std::chrono::milliseconds timeout, std::function<void(const outcome*)> done);
    void execute(const base::node_id& from, const proto::controlplane::RelayOrder& order);
    void answer(const base::node_id& to, outcome result);

    worker_port& m_workers;
    daemon::peer_sender& m_links;
    daemon::decision_loop& m_loop;
    std::vector<std::string> m_cores;
    std::map<std::string, base::time_point>
        m_suspended_until; ///< relays that recently lost an order
    std::size_t m_worker_count = 0;
    std::map<std::uint64_t, pending_order> m_pending;
    std::uint64_t m_last_id = 0;
    base::time_point m_now;
    std::map<std::string, proto::controlplane::RelayMessage> m_outgoing;
};

} // namespace lovagebeam::controlplane
