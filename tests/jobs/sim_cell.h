#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/jobs/coordinator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lovagebeam::jobs::test {

using namespace std::chrono_literals;

/// Simulates a worker with the behavior that the published protocol describes: fencing, attempts,
/// leases on its own clock, numbered ends, gangs and late orders.
struct sim_worker {
    struct run {
        base::time_point began;
        base::time_point ends; ///< when it is listed as ended, unless it waits
        /// When its own work is done; a gang member then waits at 100% for the others.
        base::time_point work_ends;
        end_kind how = end_kind::done;
        bool waits = false; ///< for the other members of its gang to start
        bool hangs = false;
        bool takes_checkpoints = false; ///< every half second
        std::string checkpoint;         ///< that it was started from
        std::optional<base::time_point> stops;

        /// Progress in percent.
        [[nodiscard]] std::uint32_t percent(base::time_point now) const;
        [[nodiscard]] std::string last_checkpoint(base::time_point now) const;
    };
    worker_info info;
    base::time_point started; ///< its clock is 0 then
    double clock_speed = 1;
    double speed = 1; ///< of its tasks
    /// Until then its tasks take `cold_factor` times as long.
    base::time_point cold_until;
    std::uint64_t fence = 0;
    worker_time lease{};
    std::map<run_key, run> runs;
    std::map<task_key, std::uint32_t> ended_attempts; ///< highest attempt that was stopped or ended
    struct listed_end {
        finished_row row;
        base::time_point at;
    };
    std::vector<listed_end> ends;
    std::uint64_t last_end = 0;
    base::time_point last_lease_expiry;
    /// Until `shrunk_until`, starts may still fill the capacity that it had before it shrank.
    size earlier_capacity;
    base::time_point shrunk_until;
    bool is_up = true;
    bool is_partitioned = false;
    /// While partitioned, connections are reset and new ones refused.
    bool is_cut_by_resets = false;
    bool fails_all = false;
    bool hangs = false;
    bool ignores_stops = false;

    [[nodiscard]] worker_time clock(base::time_point now) const;
};

struct sim_settings {
    std::uint32_t workers = 8;
    std::uint32_t domains = 0; ///< failure domains d0, d1, ... of the workers in turn; 0: no names
    double lose_request = 0;   ///< probability for each order, like those below
    double lose_answer = 0;
    double apply_late = 0;           ///< a start or stop is carried out seconds later
    double apply_hold_late = 0;      ///< a hold is carried out seconds later
    base::duration least_delay = 2s; ///< of late orders
    base::duration longest_delay = 12s;
    double fail_run = 0;               ///< the task itself fails
    double work_factor = 1;            ///< of the duration of tasks that aren't in a gang
    bool with_advice = false;          ///< workers refuse starts without a ticket
    std::uint32_t agents = 4;          ///< hosts that call the advice service
    std::uint32_t allowed_of_four = 3; ///< how many of four workers the advice service allows
    base::duration commit_time = 12ms;
    double urgent_headroom = planner_settings{}.urgent_headroom;
};

/// Drives one coordinator at a time against simulated workers, with a ledger whose commits take
/// time, and checks the invariants after each start and end.
class sim_cell {
public:
    sim_cell(std::uint64_t seed, sim_settings settings);

    base::time_point now;
    base::random_source random;
    sim_settings settings;
    ledger records;
    std::unique_ptr<coordinator> leader;
    base::time_point leading_since; ///< start of the present leader
    std::map<base::worker_id, sim_worker> workers;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t alone_ends = 0;
    /// Whether faults are injected, so that members of gangs may wait in vain.
    bool has_faults = false;
    /// Tasks that end the process of each worker that starts them, and how long after the start.
    std::map<task_key, base::duration> crashing_tasks;
    std::uint64_t withheld_starts = 0;
    std::map<std::string, std::uint64_t> logged_events;
    /// How many times as long as estimated a task runs at speed 1, instead of a random factor.
    std::map<task_key, double> lengths;
    std::uint64_t stalled = 0;                     ///< lines about stalled runs and gangs
    std::uint64_t quarantined = 0;                 ///< lines about workers
    std::uint64_t crashes = 0;                     ///< caused by `crashing_tasks`
    std::uint64_t direct_holds = 0;                ///< holds that no other process may pass on
    std::set<run_key> preempted_runs;              ///< by all leaders
    std::map<task_key, std::uint32_t> preemptions; ///< number of `preempted_runs` of each task
    double lost_core_seconds = 0;                  ///< by them
    std::map<task_key, base::time_point> first_starts;
    std::map<task_key, std::string> last_started_from; ///< checkpoint

    [[nodiscard]] base::wall_time wall() const;
    void add_worker(const std::string& id);
    /// Commits an order to evacuate a failure domain, or the withdrawal of that order.
    void order_evacuation(const std::string& domain, bool is_evacuated);
    /// Ends the worker's process and starts it again up to 1.5 s later, with the same id or a new
    /// one.
    void restart_worker(const base::worker_id& id, bool same_id);
    /// Replaces the worker's process by another one with the same id at once. Its first heartbeat
    /// is committed after `report_delay`.
    void replace_worker(const base::worker_id& id, base::duration report_delay);
    /// Commits a heartbeat of the worker that says that it drains.
    void drain_worker(const base::worker_id& id);
    /// Changes the processors of a worker. Its next heartbeat is committed up to 1.5 s later.
    void change_capacity(const base::worker_id& id, std::int64_t millicores);
    /// The worker is slow for this time, which its heartbeats tell the leader each 1.5 s.
    void chill_worker(const base::worker_id& id, base::duration time);
    void submit(const job_spec& submitted);
    void cancel(job_number id);
    /// Replaces the leader. Batches that the former one has proposed may or may not be committed.
    void change_leader();
    /// Puts a configuration in force.
    void change_config(std::shared_ptr<catalog> next);
    void run_for(base::duration time);
    /// Checks that each failed job has a task that failed as often as it may, or under which two
    /// workers crashed.
    void check_failed_jobs();
    /// Checks that no task was started after an acknowledged end that rules it out. Call it at the
    /// end, because ends may be acknowledged after the start.
    void check_acknowledged_ends();
    /// Whether a task of the job, which has one step, was ever placed.
    [[nodiscard]] bool was_placed(job_number id) const;
    /// Whether every job has ended.
    [[nodiscard]] bool all_jobs_ended() const;
    std::shared_ptr<catalog> config;

private:
    struct due_action {
        base::time_point when;
        std::uint64_t number = 0;
        bool operator<(const due_action& other) const
        {
            return std::tie(when, number) < std::tie(other.when, other.number);
        }
    };
    using action = std::function<void()>;

    void schedule(base::time_point when, action what);
    void report_worker(const worker_info& info);
    void report_cold(const base::worker_id& id);
    void start_next_instance(const base::worker_id& id, bool same_id, base::duration report_delay);
    void step();
    void start_leader();
    void collect();
    void commit(std::uint64_t id, const proto::jobs::Batch& batch);
    void send(const start_order& order);
    void send(const stop_order& order);
    void send(const hold_order& order);
    void send(const advice_order& order);
    /// Delivers an order to its worker and the answer back, with the faults of the settings.
    void deliver(const worker_address& to, const std::function<void(sim_worker*)>& carry_out,
                 const std::function<void(bool)>& answer);
    /// Carries out an order that reached a worker, or a process that passes orders on, after a
    /// delay, whatever process of the worker runs then.
    void deliver_late(const worker_address& to, const std::function<void(sim_worker&)>& carry_out);
    void extend_lease(sim_worker& worker, worker_time deadline) const;
    sim_worker::run make_run(const sim_worker& worker, const start_order& order);
    start_outcome carry_out(sim_worker& worker, const start_order& order);
    hold_outcome carry_out(sim_worker& worker, const hold_order& order, hold_answer& out);
    struct waiting_hold {
        hold_order order;
        base::wall_time instance; ///< start of the worker instance that it reached
        base::time_point sent;
        base::time_point until;
        std::uint64_t generation = 0;
        bool is_connected = false; ///< to the process of the worker
    };
    void answer_hold(const waiting_hold& hold);
    void end(sim_worker& worker, const run_key& run, end_kind how);
    void advance(sim_worker& worker);
    void check_gang(const run_key& run);
    /// How long the task's own work takes on the worker from now on.
    [[nodiscard]] base::duration work_time(const sim_worker& worker, const task_key& task,
                                           double length) const;
    void check_start(const sim_worker& worker, const run_key& run);
    void check_crash_budget(const run_key& run);
    void crash_worker(const base::worker_id& id, const run_key& run);
    void add_violation(const std::string& rule, const run_key& run, const std::string& detail);
    [[nodiscard]] base::duration delay();
    /// Time since the start of the simulation.
    [[nodiscard]] std::int64_t milliseconds_since_begin(base::time_point when) const;

    base::time_point m_begin;
    std::map<due_action, action> m_actions;
    std::uint64_t m_last_action = 0;
    std::uint64_t m_term = 0;
    std::uint64_t m_generation = 0;
    base::time_point m_next_tick;
    struct acknowledged_end {
        std::uint32_t attempt = 0;
        base::time_point at;
        end_kind how = end_kind::done;
    };
    void record_acknowledged_end(const sim_worker& worker, const sim_worker::listed_end& end);
    std::map<task_key, std::vector<acknowledged_end>> m_acknowledged_ends;
    std::map<task_key, std::vector<std::pair<std::uint32_t, base::time_point>>> m_starts;
    std::map<job_number, base::time_point> m_cancelled;
    struct crash_count {
        std::uint32_t workers = 0;            ///< that crashed under the task
        std::uint32_t starts_after_third = 0; ///< crash
    };
    std::map<task_key, crash_count> m_crash_counts;
    std::map<task_key, std::uint32_t> m_lost_workers; ///< that had a run of the task
    std::set<base::worker_id> m_used_ids;
};

/// A job with one step; its id is `id`.
job_spec simple_job(std::uint64_t id, std::uint32_t tasks, std::int64_t millicores);

} // namespace lovagebeam::jobs::test
