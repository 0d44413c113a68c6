#pragma once

#include "lovagebeam/daemon/host.h"
#include "lovagebeam/state/keys.h"
#include "lovagebeam/targets/http_client.h"
#include "lovagebeam/telemetry/metrics.h"

#include "caller_api.h"
#include "decision_loop.h"
#include "housekeeping.h"
#include "leader_calls.h"
#include "log_storage.h"
#include "membership.h"
#include "operator_api.h"
#include "peer_links.h"
#include "replication.h"
#include "request_path.h"
#include "task_control.h"

#include <atomic>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace lovagebeam::daemon {

/// The components of a host. The members declared after the loop are used on the decisions thread
/// only.
class host::implementation : private state_listener {
public:
    struct secrets {
        std::string cluster;
        std::string operator_credential;
    };

    implementation(settings::daemon_settings settings, secrets loaded_secrets, std::uint64_t run,
                   std::unique_ptr<storage::file_system> files, opened_log log);
    ~implementation() override;

    absl::Status start();
    absl::Status stop();

private:
    void on_applied(base::time_point now, const state::command& command,
                    const state::apply_result& result) override;
    void on_state_replaced(base::time_point now) override;
    void on_role_changed(base::time_point now, const consensus::role_change& change) override;

    void tick(base::time_point now);
    void after_batch(base::time_point now);
    void on_cluster(base::time_point now, const base::node_id& from,
                    proto::ClusterMessage& message);
    void on_request(callers::http_request request, const callers::reply& reply);
    void handle(base::time_point now, callers::http_request& request, const callers::reply& reply);
    void handle_health(base::time_point now, const callers::http_request& request,
                       const callers::reply& reply);
    void install_epoch(base::time_point now);
    void start_shutdown(base::time_point now, std::promise<void>& drained);
    [[nodiscard]] std::string readiness_problem(base::time_point now) const;
    [[nodiscard]] leader_calls::answer serve_leader_call(base::time_point now,
                                                         proto::LeaderMethod method,
                                                         const std::string& argument);
    void publish_metrics(base::time_point now);

    settings::daemon_settings m_settings;
    std::uint64_t m_run;
    std::unique_ptr<storage::file_system> m_files;
    telemetry::metrics_registry m_metrics;
    decision_loop m_loop;
    targets::http_client m_client;
    peer_links m_links;
    std::unique_ptr<log_writer> m_writer;
    replication m_log;
    state::key_verifier m_keys;
    request_path m_path;
    task_control m_tasks;
    leader_calls m_leader;
    membership m_membership;
    housekeeping m_housekeeping;
    caller_api m_caller_api;
    operator_api m_operator_api;
    std::unique_ptr<callers::http_server> m_server;
    std::thread m_decisions;
    std::atomic<bool> m_is_stopping = false;
    base::time_point m_last_publish;
};

} // namespace lovagebeam::daemon
