#pragma once

#include "lovagebeam/jobs/coordinator.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lovagebeam::jobs {

/// What the coordinator knows about urgent steps without room. Lost with the leader; the next one
/// looks for room anew.
struct coordinator::preemption {
    using victim = scheduling::preemption_planner::victim;

    struct need {
        base::time_point next_plan; ///< when runs may be stopped for it
        base::time_point until;     ///< when `rooms` are given back
        base::time_point looked_at; ///< when the step was planned last
        std::uint64_t round = 0;    ///< the last one in which no room was found for it
        /// Booked on workers where runs are being stopped, one entry for each task.
        std::vector<std::pair<candidate_worker*, size>> rooms;
        std::vector<candidate_worker*> released; ///< of `rooms`, while the step is planned
    };
    /// What one planning pass has found.
    struct pass {
        base::time_point at;
        std::size_t steps = 0;      ///< for which runs were chosen
        bool lacks_workers = false; ///< the last of them wasn't compared with all its workers
        bool has_left_out = false;  ///< a step that would have been tried, or tried with more
                                    ///< workers, without the bounds of a pass
        std::deque<victim> victims;
        std::map<step_key, const victim*> gangs; ///< nullptr for those that can't be stopped
        std::unordered_map<const candidate_worker*, std::vector<const victim*>> by_worker;
        std::unordered_set<const candidate_worker*> freeing; ///< have room on the way
    };

    preemption(const preemption_policy& chosen, base::time_point begin)
        : policy{chosen}, planner{chosen.planner}, now{begin}, settled{begin + chosen.settle_time}
    {
    }

    preemption_policy policy;
    scheduling::preemption_planner planner;
    std::map<step_key, need> needs;
    base::time_point now;       ///< at the last tick
    base::wall_time wall;       ///< the same
    base::time_point settled;   ///< see `preemption_policy::settle_time`
    base::time_point next_pass; ///< no further pass is requested before
    /// A step for which no room was found is tried again in the next round, which begins after a
    /// pass that has left out nothing. Otherwise the same steps could use up each pass.
    std::uint64_t round = 1;
    pass current;
    std::size_t first_worker = 0; ///< to compare in the next pass
};

/// Returns the run in the form that the planner uses.
scheduling::preemption_planner::run_id run_id_of(const run_key& run);

} // namespace lovagebeam::jobs
