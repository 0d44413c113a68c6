#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/placement/scheduler.h"
#include "lovagebeam/telemetry/metrics.h"
#include "lovagebeam/workers/worker_client.h"

#include "decision_loop.h"
#include "replication.h"
#include "task_ids.h"

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::daemon {

/// Runs the scheduler while this host is the leader: passes it events from the replicated state and
/// the workers' announcements, commits its placements, and sends only committed placements to
/// workers. Not thread-safe; used on the decisions thread only.
class task_control {
public:
    struct dependencies {
        replication* log = nullptr;
        targets::http_client* client = nullptr;
        decision_loop* loop = nullptr;
        telemetry::metrics_registry* metrics = nullptr;
    };

    explicit task_control(const dependencies& deps);

    void tick(base::time_point now);
    /// Commits the placements decided since the last call, batched into one command.
    void flush(base::time_point now);

    void on_applied(base::time_point now, const state::command& command,
                    const state::apply_result& result);

    /// Handles a worker's announcement and returns the encoded answer with the renewed leases.
    absl::StatusOr<std::string> on_announcement(base::time_point now, const std::string& text);

    /// Returns the scheduler's explanation of a job's state as JSON, or `not_found`.
    [[nodiscard]] absl::StatusOr<std::string> explain_job(const std::string& id) const;

    /// Returns the booked resources and shares of all teams as JSON.
    [[nodiscard]] std::string list_team_use() const;

private:
    struct known_worker {
        targets::endpoint where;
        base::time_point last_contact;
        bool is_lost = false;
    };

    void start(base::time_point now);
    void step(base::time_point now, const placement::event& input);
    void execute(base::time_point now, const placement::worker_command& command);
    void start_task(base::time_point now, const placement::worker_command& command,
                    const targets::endpoint& where);
    void on_start_result(base::time_point now, const base::task_id& task,
                         const workers::worker_result& result);
    void on_job_update(base::time_point now, const placement::job_update& update);
    void on_released(base::time_point now, const placement::placement_released& released);
    void on_placed(base::time_point now, const std::vector<placement::placement_decision>& decided,
                   const absl::StatusOr<state::apply_result>& result);
    void handle_task_end(base::time_point now, const base::task_id& task, workers::task_state ended,
                         const std::string& output);
    void commit_end(base::time_point now, const base::task_id& task,
                    proto::state::TaskOutcome outcome, const std::string& output,
                    placement::task_outcome report);
    void record_worker(base::time_point now, const workers::worker_announcement& message);
    void update_scheduler_worker(base::time_point now, const workers::worker_announcement& message);
    void detect_lost_workers(base::time_point now);
    void update_scheduler_teams(base::time_point now);
    void publish_metrics();
    [[nodiscard]] placement::recovered_state load_state(base::time_point now) const;
    [[nodiscard]] bool is_repeatable(const placement_ref& ref) const;

    replication& m_log;
    workers::worker_client m_workers_client;
    decision_loop& m_loop;
    telemetry::metrics_registry& m_metrics;
    std::optional<placement::scheduler> m_scheduler;
    std::uint64_t m_term = 0;
    std::map<base::worker_id, known_worker> m_workers;
    std::set<base::worker_id> m_worker_proposals;
    std::set<base::task_id> m_pending_ends;
    std::vector<placement::placement_decision> m_uncommitted;
};

} // namespace lovagebeam::daemon
