#include "policy.h"

namespace lovagebeam::placement::internal {

namespace {

/// Work without a deadline is ordered as if it had to start within this time, so that a steady load
/// of work with deadlines cannot starve it.
constexpr base::duration max_start_delay = std::chrono::minutes{30};

/// Best-fit packing, ordered by the latest start that meets the deadline. This is the same order as
/// least slack first, since slack is the latest start minus the current time.
class batch_policy : public policy {
public:
    [[nodiscard]] base::time_point order_of(const job_record& job) const override
    {
        const base::time_point latest_start = job.accepted + max_start_delay;
        if (!job.spec.deadline) {
            return latest_start;
        }
        return *job.spec.deadline - job.run_time;
    }

    [[nodiscard]] int rank() const override { return 1; }

    [[nodiscard]] slot choose(const cell& state, slot at) const override
    {
        const job_record& job = state.jobs[at];
        return state.index.find(job.size, [&](slot worker, const resources& left) {
            return worker_admits(state, worker, job) ? leftover_score(state, worker, left, job.size)
                                                     : -1.0;
        });
    }

    [[nodiscard]] reason placement_reason() const override { return reason::placed_best_fit; }
};

/// Gangs are ordered by arrival. Each task takes the tightest fit; the gang planner places all or
/// none.
class gang_policy : public batch_policy {
public:
    [[nodiscard]] base::time_point order_of(const job_record& job) const override
    {
        return job.accepted;
    }

    [[nodiscard]] reason placement_reason() const override { return reason::placed_gang; }
};

} // namespace

std::unique_ptr<policy> make_batch_policy()
{
    return std::make_unique<batch_policy>();
}

std::unique_ptr<policy> make_gang_policy()
{
    return std::make_unique<gang_policy>();
}

} // namespace lovagebeam::placement::internal
