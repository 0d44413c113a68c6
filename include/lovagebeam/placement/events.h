#pragma once

#include "lovagebeam/placement/types.h"

#include <variant>
#include <vector>

namespace lovagebeam::placement {

/// A worker announced itself. `running` lists the tasks that it holds; the leases of these tasks
/// are renewed from `now`. The worker renews them from the time at which it sent the announcement,
/// so they expire at the worker first. Tasks that have ended are reported by `task_ended` before
/// this event.
struct worker_seen {
    base::worker_id worker;
    base::failure_domain domain;
    rack_id rack;
    resources capacity;
    std::vector<task_report> running;
};

/// Contact with a worker is lost, or it announced that it leaves. Its tasks keep their capacity
/// until they are reported as ended or their leases plus drift have passed.
struct worker_lost {
    base::worker_id worker;
};

/// A worker gets no new work while `draining`; its services are replaced first and then stopped,
/// other repeatable tasks that can checkpoint do so and move.
struct worker_draining {
    base::worker_id worker;
    bool draining = true;
};

/// A job was submitted. The scheduler answers with a `job_update` when it refuses the job. Has no
/// effect for a job that is already known.
struct job_accepted {
    job_spec spec;
};

/// A task ended. Reports about unknown or already ended tasks have no effect. A failed task whose
/// peak memory reached its booked size is assumed to have run out of memory: it is placed again
/// with more, if it may be repeated.
struct task_ended {
    base::task_id task;
    task_outcome outcome = task_outcome::completed;
    /// Time that the task ran, if it ran.
    std::optional<base::duration> run_time;
    /// Highest use over the run, where the worker knows it.
    std::optional<resources> peak;
};

/// The lease of a task expired on the local clock. Its capacity is released after the drift bound,
/// unless its worker reports the task as running before.
struct lease_expired {
    base::task_id task;
};

/// A delayed report of what a running task uses. Where it uses more than was booked, the booking
/// grows as far as its worker and its team's upper limit allow.
struct usage_reported {
    base::task_id task;
    resources used;
};

/// A worker confirmed that a task runs with at most `size` from now on.
struct task_throttled {
    base::task_id task;
    resources size;
};

/// A caller cancelled a job. Idempotent.
struct cancel_job {
    base::job_id job;
};

/// The decision is in the replicated state.
struct decision_committed {
    decision_id decision;
};

/// The decision will never be in the replicated state. The scheduler undoes it.
struct decision_failed {
    decision_id decision;
};

/// Share or upper limit of a team changed. A team without settings has share 1 and no limit.
struct team_changed {
    base::team_id team;
    team_settings settings;
};

/// Time has passed. Expected every 100 ms or more often.
struct tick {};

using event = std::variant<tick, worker_seen, worker_lost, worker_draining, job_accepted,
                           task_ended, lease_expired, usage_reported, task_throttled, cancel_job,
                           decision_committed, decision_failed, team_changed>;

} // namespace lovagebeam::placement
