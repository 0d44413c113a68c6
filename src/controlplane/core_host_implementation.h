#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/controlplane/core_host.h"
#include "lovagebeam/jobs/coordinator.h"
#include "lovagebeam/storage/file_system.h"
#include "lovagebeam/targets/http_client.h"

#include "caller_service.h"
#include "core_group.h"
#include "core_metrics.h"
#include "decision_loop.h"
#include "fleet_clock.h"
#include "load_report.h"
#include "log_storage.h"
#include "peer_links.h"
#include "replication.h"
#include "worker_relay.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace lovagebeam::controlplane {

/// Implements a core process. The members declared after the loop are used on the decisions thread
/// only.
class core_host_implementation final : public core_host, private daemon::state_listener {
public:
    core_host_implementation(dependencies deps, const settings::daemon_settings& log_settings,
                             std::uint64_t run, std::unique_ptr<storage::file_system> files,
                             daemon::opened_log log);
    ~core_host_implementation() override;

    absl::Status start() override;
    void stop() override;

    void report_worker(worker_report report, control_done done) override;
    void remove_worker(base::worker_id id, base::wall_time started_at, control_done done) override;
    void put_catalog(std::string document, control_done done) override;
    void get_catalog(control_done done) override;
    void set_evacuation(evacuation_order order, control_done done) override;
    void list_evacuations(control_done done) override;

private:
    using commit_outcome = caller_service::commit_outcome;
    using commit_done = std::function<void(commit_outcome)>;

    // state_listener
    void on_applied(base::time_point now, const state::command& command,
                    const state::apply_result& result) override;
    void on_state_replaced(base::time_point now) override;
    void on_role_changed(base::time_point now, const consensus::role_change& change) override;

    void tick(base::time_point now);
    void after_batch(base::time_point now);
    void on_request(callers::http_request request, const callers::reply& reply);
    void serve(base::time_point now, const callers::http_request& request,
               const callers::reply& reply);
    void serve_caller(base::time_point now, const callers::http_request& request,
                      const callers::reply& reply);
    void serve_sync(base::time_point now, const std::string& body, const callers::reply& reply);
    void serve_hello(base::time_point now, const std::string& body, const callers::reply& reply);

    [[nodiscard]] const jobs::ledger& records() const { return m_log.state().job_ledger(); }
    void commit(base::time_point now, proto::jobs::Batch batch, commit_done done);
    void commit(base::time_point now, proto::jobs::Operation operation, commit_done done);
    [[nodiscard]] control_answer make_not_leader_answer(base::time_point now) const;

    [[nodiscard]] bool is_already_replicated(base::time_point now,
                                             const worker_report& report) const;
    void handle_report(base::time_point now, const worker_report& report, const control_done& done);
    void handle_catalog(base::time_point now, const std::string& document,
                        const control_done& done);
    void handle_evacuation(base::time_point now, const evacuation_order& order,
                           const control_done& done);
    /// What a committed order has led to.
    [[nodiscard]] control_answer result_of(const evacuation_order& order) const;
    [[nodiscard]] control_answer make_evacuation_list(base::time_point now) const;
    void serve_evacuations(base::time_point now, const callers::http_request& request,
                           const callers::reply& reply);
    void load_catalog();
    void write_load_report(base::time_point now);
    /// The time of day that decisions use.
    [[nodiscard]] base::wall_time wall(base::time_point now);
    void update_relays();
    /// Keeps the addresses of the known core processes in the replicated state. Leader only.
    void record_cores(base::time_point now);
    void start_leading(base::time_point now);
    void stop_leading();
    void execute_decisions(base::time_point now);
    void send(base::time_point now, const jobs::start_order& order);
    void send(base::time_point now, const jobs::stop_order& order);
    void send(base::time_point now, const jobs::hold_order& order);
    void send(const jobs::advice_order& order);
    void commit_batch(base::time_point now, std::uint64_t id, const proto::jobs::Batch& batch);
    /// Runs `work` on the decisions thread if the coordinator of `generation` still exists.
    void post_to_coordinator(std::uint64_t generation,
                             std::function<void(base::time_point, jobs::coordinator&)> work);

    settings::process_settings m_settings;
    const document_codec& m_codec;
    telemetry::metrics_registry& m_metrics;
    core_metrics m_core_metrics;
    load_report m_load;
    base::time_point m_last_metrics_update;
    base::time_point m_last_relay_update;
    base::time_point m_last_cores_record;
    base::time_point m_last_relay_flush;
    std::unique_ptr<storage::file_system> m_files;
    daemon::decision_loop m_loop;
    targets::http_client m_client;
    daemon::peer_links m_links;
    std::unique_ptr<daemon::log_writer> m_writer;
    daemon::replication m_log;
    core_group m_group;
    fleet_clock m_clock;
    worker_relay m_worker_port;
    caller_service m_callers;
    std::unique_ptr<callers::http_server> m_server;
    std::thread m_decisions;
    std::atomic<bool> m_is_stopped = false;

    std::unique_ptr<jobs::coordinator> m_coordinator;
    std::uint64_t m_generation = 0;   ///< number of coordinators that this process created
    jobs::fencing_token m_last_token; ///< of the coordinators that this process created
    consensus::term m_term;
    std::shared_ptr<const jobs::catalog> m_catalog;
    /// Last sequence number of each worker instance; reports with lower numbers are ignored.
    std::map<std::pair<base::worker_id, base::wall_time>, std::uint64_t> m_last_sequences;
};

} // namespace lovagebeam::controlplane
