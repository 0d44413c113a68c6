#pragma once

#include "contenders.h"

#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::bench {

/// What one contender reached on one workload.
struct run_result {
    std::string name;
    std::map<placement::job_kind, std::vector<double>> waits; ///< first start of each task, in ms
    std::vector<double> urgent_busy_waits; ///< urgent, while at least 95% is booked, in ms
    std::vector<double> step_us;           ///< wall time of each step
    std::set<std::string> missed;          ///< jobs that ended after their deadline or not at all
    std::size_t with_deadline = 0;
    double packed = 0;      ///< booked/capacity while tasks wait
    double packed_used = 0; ///< used/booked while tasks wait
    double share_error = 0; ///< largest over 60 s windows, as a part of the fleet
    double share_error_mean = 0;
    std::size_t share_windows = 0; ///< windows with a full fleet throughout
    double lost_core_seconds = 0;
    double used_core_seconds = 0;
    std::size_t commands = 0;
    std::size_t preemptions = 0;
    std::map<placement::reason, std::size_t> reasons; ///< of commands other than start
    std::size_t completed_tasks = 0;
};

/// Runs a contender against workers that really use what the workload says, with a commit latency,
/// failures of workers and waves of cancellations. The same for every contender.
class cell_run {
public:
    cell_run(const workload& work, std::uint64_t seed, base::duration length);

    run_result run(contender& with);

private:
    enum class what { arrival, end, announce, tick, commit, down, up, cancel_wave, sample };
    struct item {
        time_point when;
        std::uint64_t sequence = 0;
        what kind = what::tick;
        std::size_t index = 0;
        std::string task;
        friend bool operator>(const item& left, const item& right)
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
        time_point ends{};
        placement::task_outcome outcome = placement::task_outcome::completed;
    };
    struct job_progress {
        std::uint32_t placed_first = 0;
        std::uint32_t completed = 0;
        std::vector<bool> seen;
        std::vector<base::duration> done; ///< progress saved by checkpoint
        bool cancelled = false;
        bool final = false;
    };

    void schedule(time_point when, what kind, std::size_t index = 0, std::string task = {});
    void give(const placement::event& input);
    void take(const placement::decisions& from);
    void note_placed(const placement::placement_decision& decision);
    void apply(const placement::worker_command& command);
    void start(const placement::worker_command& command);
    void end(const std::string& task);
    void announce(std::size_t worker);
    void take_down(std::size_t worker);
    void cancel_wave();
    void sample();
    void sample_shares(const std::map<std::string, double>& booked);
    void handle(const item& next);
    void finish();

    const workload& m_work;
    base::random_source m_random;
    base::duration m_length;
    contender* m_with = nullptr;
    run_result m_result;
    time_point m_now{};
    std::uint64_t m_next = 0;
    std::priority_queue<item, std::vector<item>, std::greater<>> m_items;
    std::map<std::string, running_task> m_running;
    std::map<std::string, placement::placed_task> m_booked; ///< from the decision to the end
    std::map<std::string, std::size_t> m_job_by_id;
    std::map<std::string, std::size_t> m_worker_by_id;
    std::vector<job_progress> m_progress;
    std::vector<bool> m_down;
    std::map<std::string, std::vector<double>> m_window; ///< differences of the last 60 s, by team
    std::size_t m_full_seconds = 0;
    std::size_t m_busy_samples = 0;
    double m_booked_part = 0;
};

} // namespace lovagebeam::bench
