#pragma once

#include "lovagebeam/placement/decisions.h"
#include "lovagebeam/placement/events.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lovagebeam::placement {

/// Settings of the scheduler. All have defaults that fit both users.
struct scheduler_settings {
    /// Time that a task may run without renewal.
    base::duration task_lease = std::chrono::seconds{10};
    /// Upper bound on the time from issuing a start command to its receipt. The daemon doesn't send
    /// the command later.
    base::duration start_transit = std::chrono::seconds{1};
    /// Bound on the drift between two monotonic clocks, as a fraction of the elapsed time.
    double clock_drift = 0.01;
    /// Fraction of each worker's processors that only urgent work may use.
    double urgent_headroom = 0.02;
    /// Time that a checkpoint for urgent work may take before the task is throttled or stopped.
    base::duration checkpoint_timeout = std::chrono::milliseconds{500};
    /// Time that a gang waits for tasks on its reserved workers to end by themselves before
    /// capacity is reclaimed from all teams.
    base::duration gang_wait_timeout = std::chrono::minutes{5};
    /// Time that a team below its share waits before capacity is reclaimed for it. Also the time
    /// before a reservation reclaims capacity from teams at or above the share of its team.
    base::duration share_wait_timeout = std::chrono::seconds{2};
    /// Number of reports for one command of one team before its declared sizes are corrected.
    std::uint32_t correction_samples = 32;
    /// Distinct jobs that fail on one worker before it is quarantined, and distinct workers on
    /// which one job fails before the scheduler gives it up.
    std::uint32_t quarantine_jobs = 3;
    std::uint32_t give_up_workers = 3;
    base::duration quarantine_time = std::chrono::seconds{30};
    /// Largest fraction of a failure domain's workers in quarantine at once.
    double quarantine_fraction = 0.3;
    /// Rate at which tasks are replaced after the outage of a rack or failure domain.
    std::uint32_t replacements_per_second = 200;
};

/// A job that the replicated state holds and that is not final.
struct recovered_job {
    job_spec spec;
    /// Tasks that completed, by index.
    std::vector<std::uint32_t> completed;
    /// Tasks whose outcome is unknown, by index, as reported by `placement_released`.
    std::vector<std::uint32_t> unknown;
    /// Tasks that ended as checkpointed and have not completed since, by index.
    std::vector<std::uint32_t> checkpointed;
    bool cancelled = false;
    /// False only if no placement of the job was ever committed. A cancelled job that was never
    /// placed ends as not run.
    bool was_placed = true;
};

/// What the replicated state holds when a new leader starts.
struct recovered_state {
    std::vector<std::pair<base::team_id, team_settings>> teams;
    std::vector<recovered_job> jobs;
    std::vector<placed_task> placements;
    /// Task ids end in an attempt number at or above this one. Must be higher than that of every
    /// earlier leader, for example the term.
    std::uint64_t generation = 0;
};

/// State and progress of a job and the reason for its state.
struct explanation {
    base::job_id job;
    job_state state = job_state::waiting;
    reason why = reason::waiting_for_capacity;
    std::string detail;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t completed = 0;
    /// The latest events of the job, oldest first, at most 8.
    struct entry {
        base::time_point when;
        reason why = reason::waiting_for_capacity;
        base::worker_id worker; ///< empty where none is involved
    };
    std::vector<entry> history;
};

/// Capacity and use of one worker.
struct worker_view {
    base::worker_id worker;
    resources capacity;
    resources booked;
    std::uint32_t tasks = 0;
    bool usable = false; ///< may get new work
};

/// Settings and use of one team.
struct team_view {
    base::team_id team;
    team_settings settings;
    resources booked;
    double dominant_share = 0; ///< largest fraction of the fleet's capacity of any kind, in [0, 1]
    std::uint32_t waiting = 0; ///< waiting tasks
};

/// Totals over the fleet.
struct fleet_view {
    std::uint32_t workers = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    resources capacity;
    resources booked;
};

/// Decides which worker runs which task. A decision module: no I/O, no threads, no clock. Not
/// thread-safe. Aborts the process with a message when an event would make it book more on a worker
/// than the worker has or more for a team than its upper limit, since continuing would
/// violate a guarantee.
class scheduler {
public:
    scheduler(scheduler&&) noexcept;
    scheduler& operator=(scheduler&&) noexcept;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    ~scheduler();

    /// Processes one event that happened at `now` and returns the resulting decisions. `now` must
    /// not decrease. Every placement must be answered by `decision_committed` or `decision_failed`.
    decisions step(base::time_point now, const event& input);

    /// Returns the state of a job and the reason for it, or nothing for an unknown job. The
    /// explanations of the latest 10,000 final jobs are retained.
    [[nodiscard]] std::optional<explanation> explain(const base::job_id& job) const;

    [[nodiscard]] std::optional<worker_view> worker(const base::worker_id& worker) const;
    [[nodiscard]] std::optional<team_view> team(const base::team_id& team) const;
    [[nodiscard]] std::vector<team_view> teams() const;
    [[nodiscard]] fleet_view fleet() const;

private:
    friend class scheduler_builder;
    class implementation;
    explicit scheduler(std::unique_ptr<implementation> self);

    std::unique_ptr<implementation> m_self;
};

/// Builds a scheduler. All parts are optional.
class scheduler_builder {
public:
    scheduler_builder& settings(const scheduler_settings& settings);
    /// Starts from the contents of the replicated state. The leases of the recovered placements are
    /// renewed from the `now` given to `build`, since the earlier leader may have renewed them
    /// until then.
    scheduler_builder& recovered(recovered_state state);

    /// Fails with `invalid_settings` for settings out of range.
    [[nodiscard]] absl::StatusOr<scheduler> build(base::time_point now);

private:
    scheduler_settings m_settings;
    recovered_state m_recovered;
};

} // namespace lovagebeam::placement
