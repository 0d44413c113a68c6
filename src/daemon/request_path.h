#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/routing/router.h"
#include "lovagebeam/targets/http_client.h"
#include "lovagebeam/targets/protocol.h"
#include "lovagebeam/telemetry/metrics.h"

#include "decision_loop.h"
#include "ports.h"
#include "replication.h"
#include "state_limits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace lovagebeam::daemon {

/// Connects the router to callers, peers, targets and the replicated state. Not thread-safe; used
/// on the decisions thread only.
class request_path {
public:
    struct dependencies {
        base::node_id self;
        std::uint64_t run = 0;
        replication* log = nullptr;
        peer_sender* sender = nullptr;
        targets::http_client* client = nullptr;
        decision_loop* loop = nullptr;
        telemetry::metrics_registry* metrics = nullptr;
    };

    explicit request_path(const dependencies& deps);

    /// Runs `request` and answers `reply` with the outcome. Overwrites `request.caller`.
    void submit(base::time_point now, routing::caller_request request, callers::reply reply);

    /// Answers `reply` with the state or result of an earlier request.
    void query(base::time_point now, const base::team_id& team, const base::idempotency_key& key,
               callers::reply reply);

    void on_announcement(base::time_point now, const targets::target_announcement& message);
    void on_peer(base::time_point now, const base::node_id& from, std::string bytes);
    void on_peer_lost(base::time_point now, const base::node_id& peer);
    void on_epoch(base::time_point now, bool is_self_joined);
    void on_configuration(base::time_point now);
    void on_confirmed(base::time_point now, base::time_point request_sent_at);
    void tick(base::time_point now);

    /// Refuses new work and calls `drained` once no request is running or waiting on this host.
    void shut_down(base::time_point now, std::function<void()> drained);

    [[nodiscard]] routing::router_stats stats() const { return m_router.stats(); }

private:
    struct waiting_caller {
        callers::reply reply;
        routing::work_class priority = routing::work_class::interactive;
        base::time_point arrived_at;
    };

    void step(base::time_point now, routing::event event);
    void execute(base::time_point now, routing::answer_caller& effect);
    void execute(base::time_point now, routing::answer_query& effect);
    void execute(base::time_point now, routing::send_peer& effect);
    void execute(base::time_point now, routing::start_attempt& effect);
    void execute(base::time_point now, routing::fence_target& effect);
    void execute(base::time_point now, routing::query_attempt& effect);
    void execute(base::time_point now, routing::cancel_attempt& effect);
    void execute(base::time_point now, routing::commit_intent& effect);
    void execute(base::time_point now, routing::end_intent& effect);
    void execute(base::time_point now, routing::drained& effect);
    void record_metrics(base::time_point now, const waiting_caller& caller,
                        routing::outcome outcome);

    base::node_id m_self;
    replication& m_log;
    peer_sender& m_sender;
    targets::http_client& m_client;
    decision_loop& m_loop;
    telemetry::metrics_registry& m_metrics;
    state_limits_source m_limits;
    routing::router m_router;
    std::uint64_t m_last_caller = 0;
    std::map<routing::caller_id, waiting_caller> m_callers;
    /// Targets whose proposed record has no result yet.
    std::set<base::target_id> m_target_proposals;
    std::function<void()> m_on_drained;
};

} // namespace lovagebeam::daemon
