#pragma once

#include "policies.h"

#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::bench {

/// Results of one policy on one workload.
struct run_result {
    std::string name;
    std::map<placement::job_kind, std::vector<double>>
        waits;                              ///< until a task is first placed, in ms
    std::vector<double> urgent_busy_waits;  ///< of urgent jobs while at least 95% is booked, in ms
    std::vector<double> step_us;            ///< wall time of each step
    std::set<std::string> missed_deadlines; ///< jobs that ended late or not at all
    std::size_t jobs_with_deadline = 0;
    double booked_ratio = 0;    ///< booked/capacity, mean while jobs arrive
    double used_ratio = 0;      ///< used/booked, mean while jobs arrive
    double max_share_error = 0; ///< largest of all 60 s windows, as a fraction of the fleet
    double share_error_sum = 0;
    std::size_t share_windows = 0; ///< number of windows in which the fleet was always full
    double lost_core_seconds = 0;
    double used_core_seconds = 0;
    std::size_t commands = 0;
    std::size_t preemptions = 0;
    std::map<placement::reason, std::size_t> reasons; ///< of commands other than start
    std::size_t completed_tasks = 0;
};

/// Simulates a cluster that a policy schedules. Tasks use the actual resources of the workload.
/// Commit latency, worker failures and waves of cancellations are the same for every policy.
class cluster_simulation {
public:
    cluster_simulation(const workload& work, std::uint64_t seed, base::duration length);

    run_result run(scheduling_policy& policy);

private:
    enum class event_kind {
        arrival,
        task_end,
        announcement,
        tick,
        commit,
        worker_failure,
        worker_recovery,
        cancel_wave,
        sample
    };
    struct scheduled_event {
        time_point when;
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::tick;
        std::size_t index = 0;
        std::string task;
        friend bool operator>(const scheduled_event& left, const scheduled_event& right)
        {
            return left.when != right.when ? left.when > right.when
                                           : left.sequence > right.sequence;
        }
    };
    struct running_task {
        std::size_t job = 0;
        std::uint32_t index = 0;
        std::size_t worker = 0;
        placement::resources booked;
        time_point started{};
        time_point ends_at{};
        placement::task_outcome outcome = placement::task_outcome::completed;
    };
    struct job_progress {
        std::uint32_t placed_tasks = 0; ///< tasks that were placed at least once
        std::uint32_t completed = 0;
        std::vector<bool> was_placed;             ///< by task
        std::vector<base::duration> checkpointed; ///< run time saved by checkpoints, by task
        bool cancelled = false;
        bool ended = false;
    };

    void schedule(time_point when, event_kind kind, std::size_t index = 0, std::string task = {});
    void deliver(const placement::event& input);
    void apply_decisions(const placement::decisions& from);
    void record_placements(const placement::placement_decision& decision);
    void execute(const placement::worker_command& command);
    void start_task(const placement::worker_command& command);
    void end_task(const std::string& task);
    void announce(std::size_t worker);
    void fail_worker(std::size_t worker);
    void cancel_wave();
    void sample_utilization();
    void sample_shares(const std::map<std::string, double>& booked);
    void handle(const scheduled_event& next);
    void finish();

    const workload& m_work;
    base::random_source m_random;
    base::duration m_length;
    scheduling_policy* m_policy = nullptr;
    run_result m_result;
    time_point m_now{};
    std::uint64_t m_next_sequence = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>, std::greater<>> m_events;
    std::map<std::string, running_task> m_running;
    std::map<std::string, placement::placed_task> m_booked; ///< from the decision to the end
    std::map<std::string, std::size_t> m_job_by_id;
    std::map<std::string, std::size_t> m_worker_by_id;
    std::vector<job_progress> m_progress;
    std::vector<bool> m_down;
    std::map<std::string, std::vector<double>>
        m_share_differences;        ///< booked minus fair, each second, by team
    std::size_t m_full_seconds = 0; ///< for which the fleet has been full
    std::size_t m_busy_samples = 0;
    double m_booked_ratio = 0;
};

} // namespace lovagebeam::bench
