#pragma once

#include "lovagebeam/controlplane/ports.h"

#include "controlplane.pb.h"
#include "decision_loop.h"
#include "peer_links.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::controlplane {

/// Spreads the leader's calls to workers over the other core processes, whose processors are idle.
/// Each worker's calls go through one of them. An order that is lost on the way has an unknown
/// outcome, as one whose answer the worker lost. With few workers the leader calls them itself.
/// Not thread-safe; lives on the decisions thread, where it also calls back.
class worker_relay final : public worker_port {
public:
    /// All of them must outlive this object.
    worker_relay(worker_port& workers, daemon::peer_links& links, daemon::decision_loop& loop);

    /// The core processes that may make calls, without this one.
    void set_cores(std::vector<std::string> cores);
    void set_worker_count(std::size_t count) { m_worker_count = count; }

    void start(const jobs::start_order& order,
               std::function<void(jobs::start_outcome)> done) override;
    void stop(const jobs::stop_order& order, std::function<void(bool)> done) override;
    void hold(const jobs::hold_order& order,
              std::function<void(jobs::hold_outcome, jobs::hold_answer)> done) override;

    /// A message of another core process: orders to carry out, or outcomes.
    void on_message(base::time_point now, const base::node_id& from, std::string_view bytes);
    /// Gives up orders without an outcome.
    void tick(base::time_point now);
    /// Sends what came together since the last call.
    void flush();

private:
    using outcome = proto::controlplane::RelayOutcome;
    struct pending_order {
        std::string relay;
        base::time_point deadline;
        /// Gets nothing when the outcome isn't known.
        std::function<void(const outcome*)> done;
        std::string_view kind; ///< of the order, for the log
        std::string worker;
    };

    /// The process that calls `worker`, or an empty text for this one.
    [[nodiscard]] std::string relay_for(const base::worker_id& worker) const;
    void pass(const std::string& relay, proto::controlplane::RelayOrder order,
              std::chrono::milliseconds patience, std::function<void(const outcome*)> done);
    void carry_out(const base::node_id& from, const proto::controlplane::RelayOrder& order);
    void answer(const base::node_id& to, outcome result);

    worker_port& m_workers;
    daemon::peer_links& m_links;
    daemon::decision_loop& m_loop;
    std::vector<std::string> m_cores;
    std::map<std::string, base::time_point> m_suspended; ///< relays that lost an order lately
    std::size_t m_worker_count = 0;
    std::map<std::uint64_t, pending_order> m_pending;
    std::uint64_t m_last_id = 0;
    base::time_point m_now;
    std::map<std::string, proto::controlplane::RelayMessage> m_outgoing;
};

} // namespace lovagebeam::controlplane
