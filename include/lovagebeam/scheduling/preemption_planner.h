#pragma once

#include "lovagebeam/base/types.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lovagebeam::scheduling {

struct preemption_settings {
    /// Largest fraction of a pool's processors under preemption at a time. The rest goes on, so
    /// that a burst of urgent work can't end all batch work of a pool at once.
    double max_fraction = 0.25;
    /// A task that was preempted this often isn't preempted again, so that it ends.
    std::uint32_t max_preemptions = 2;
    /// A run that hasn't ended this long after the order to stop it no longer counts as room on the
    /// way: its worker may be cut off. Five times what a worker takes to stop a run.
    base::duration stop_timeout = std::chrono::seconds{1};
};

/// Chooses the runs to stop so that urgent tasks find room, and records which runs are being
/// stopped and how often each task was preempted. No I/O and no clock. Not thread-safe.
///
/// The records are lost with the leader. The next one knows at once what it passes to `assume` (an
/// upper bound from the replicated attempts), and learns nothing else: a run that the former leader
/// ordered to stop counts as running until its end is listed.
class preemption_planner {
public:
    /// An amount of each resource.
    struct amount {
        std::int64_t millicores = 0;
        std::int64_t memory_mb = 0;
        std::int64_t accelerators = 0;

        amount& operator+=(const amount& other);
        amount& operator-=(const amount& other);
        friend amount operator+(amount left, const amount& right) { return left += right; }
        friend amount operator-(amount left, const amount& right) { return left -= right; }
        friend bool operator==(const amount&, const amount&) = default;

        [[nodiscard]] bool fits_in(const amount& limit) const;
    };
    struct task_id {
        std::uint64_t job = 0;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;

        friend auto operator<=>(const task_id&, const task_id&) = default;
    };
    struct run_id {
        task_id task;
        std::uint32_t attempt = 0;

        friend auto operator<=>(const run_id&, const run_id&) = default;
    };
    struct run {
        run_id id;
        base::worker_id worker;
        amount size; ///< what its end frees on the worker
    };
    /// What can only be stopped together: one run, or all runs of a gang.
    struct victim {
        std::vector<run> runs;
        bool is_gang = false;
        bool is_long_running = false;
        bool is_expired = false; ///< its job can no longer earn anything
        std::uint32_t priority = 0;
        double lost_work = 0; ///< core-seconds since the last checkpoint, of all runs
        /// Value that its job loses by the stop, in units of the value of a job that is in time.
        double loss = 0;
    };
    /// A worker that the urgent tasks may use.
    struct worker {
        base::worker_id id;
        amount free;                 ///< without room on the way; negative if more is booked
        std::uint32_t max_tasks = 0; ///< of the need that it may get
        /// The victims with a run on this worker, in any order. Must not be nullptr.
        const std::vector<const victim*>* victims = nullptr;
    };
    /// Tasks with the same requirements that found no room.
    struct need {
        std::string pool;
        std::int64_t pool_millicores = 0; ///< capacity of the pool
        std::uint32_t priority = 0;       ///< only runs with a larger number are stopped
        amount size;                      ///< of each task
        std::uint32_t tasks = 1;
        bool is_whole = false; ///< room for some of the tasks is of no use
        double worth = 0;      ///< of one task, in the unit of `victim::loss`
    };
    struct plan {
        std::vector<base::worker_id> rooms; ///< one for each task that gets room
        std::vector<const victim*> stops;
    };

    explicit preemption_planner(preemption_settings settings) : m_settings{settings} {}

    /// Plans room for as many tasks of the need as possible, with as little loss as possible.
    /// Changes nothing. Its cost is proportional to the number of tasks and of victims on
    /// `workers`, so pass a bounded number of them.
    [[nodiscard]] plan make_plan(base::time_point now, const need& wanted,
                                 const std::vector<worker>& workers) const;

    /// Records that all runs of the victim have been ordered to stop.
    void on_stop_ordered(base::time_point now, const std::string& pool, const victim& stopped);
    /// Returns whether the run was preempted.
    bool on_run_ended(const run_id& ended);

    /// Records that a task may have been preempted this often, under earlier leaders too.
    void assume(const task_id& task, std::uint32_t times);
    /// Forgets how often the tasks of the job were preempted.
    void forget(std::uint64_t job);

    [[nodiscard]] std::uint32_t times_preempted(const task_id& task) const;
    [[nodiscard]] bool is_stopping(const run_id& which) const { return m_stopping.contains(which); }
    /// Room that runs being stopped will free on the worker. Overdue stops don't count.
    [[nodiscard]] amount on_the_way(base::time_point now, const base::worker_id& on) const;
    /// Whether a run on the worker should have ended by now.
    [[nodiscard]] bool is_overdue(base::time_point now, const base::worker_id& on) const;
    /// The workers of the runs of `stopping`.
    [[nodiscard]] std::vector<base::worker_id> stopping_workers() const;
    /// The runs that have been ordered to stop and haven't ended.
    [[nodiscard]] std::vector<run_id> stopping() const;

private:
    struct stop {
        base::worker_id worker;
        amount size;
        std::string pool;
        base::time_point ordered;
    };
    /// Cost of a set of stops; less is better.
    struct cost;
    class attempt;

    [[nodiscard]] bool may_stop(const need& wanted, const victim& which) const;
    [[nodiscard]] bool is_overdue(base::time_point now, const stop& which) const
    {
        return now - which.ordered >= m_settings.stop_timeout;
    }
    /// Processors of the pool that are being freed.
    [[nodiscard]] std::int64_t under_preemption(base::time_point now,
                                                const std::string& pool) const;

    preemption_settings m_settings;
    std::map<run_id, stop> m_stopping;
    std::map<base::worker_id, std::vector<run_id>> m_stopping_on;
    std::map<task_id, std::uint32_t> m_counts;
};

} // namespace lovagebeam::scheduling
