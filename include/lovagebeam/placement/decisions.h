#pragma once

#include "lovagebeam/placement/types.h"

#include <vector>

namespace lovagebeam::placement {

/// A placement to commit, for all of `tasks` or none. The daemon commits it and reports
/// `decision_committed` or `decision_failed`; several decisions may share one commit. Workers must
/// not be notified before that: the commands for them are returned for `decision_committed`.
struct placement_decision {
    decision_id id;
    std::vector<placed_task> tasks;
    reason why = reason::placed_best_fit;
};

enum class command_kind { start, checkpoint, throttle, unthrottle, stop };

std::string_view name_of(command_kind kind);

/// A command for a worker. Workers treat commands with the same task and kind as the same command.
struct worker_command {
    command_kind kind = command_kind::start;
    base::task_id task;
    base::job_id job; ///< empty for a task that belongs to no known job
    std::uint32_t index = 0;
    base::worker_id worker;
    resources size;         ///< size to enforce; for start, throttle and unthrottle
    base::duration lease{}; ///< for start
    /// True if an earlier attempt saved a checkpoint to resume from.
    bool from_checkpoint = false;
    reason why = reason::placed_best_fit;
};

/// The state of a job changed. `refused` answers a `job_accepted`; completed, failed, cancelled,
/// not_run and unknown are final, and the scheduler forgets such a job except for its explanation.
/// `failed` comes as soon as one task fails for good; other tasks of the job are then being stopped
/// and their placements stay until they end.
struct job_update {
    base::job_id job;
    job_state state = job_state::waiting;
    reason why = reason::waiting_for_capacity;
    std::string detail; ///< human-readable; contains the values involved
};

/// A change of a worker's health state: quarantine, probation or restoration.
struct worker_update {
    base::worker_id worker;
    reason why = reason::host_quarantined;
};

/// A placement that ended without a report from its worker, or one of work that may not be repeated
/// whose outcome is unknown. The daemon removes it from the replicated state; with
/// `ended_outcome_unknown` it records the outcome of the task as unknown, so that no later leader
/// places it again.
struct placement_released {
    base::task_id task;
    reason why = reason::ended_lost_with_worker;
};

/// All decisions that result from one event.
struct decisions {
    std::vector<placement_decision> placements;
    std::vector<worker_command> commands;
    std::vector<job_update> jobs;
    std::vector<worker_update> workers;
    std::vector<placement_released> released;

    [[nodiscard]] bool empty() const
    {
        return placements.empty() && commands.empty() && jobs.empty() && workers.empty() &&
               released.empty();
    }
};

} // namespace lovagebeam::placement
