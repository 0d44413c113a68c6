#include "policy.h"

namespace lovagebeam::placement::internal {

namespace {

/// Work without a deadline is ordered as if it had to start within this time, so that it comes up
/// at last however much work with deadlines arrives.
constexpr base::duration start_without_deadline = std::chrono::minutes{30};

/// Packs tasks tightly, ordered by the latest start that meets the deadline. The latest start is
/// the slack without the present time, which is the same for all jobs that are compared.
class batch_policy : public policy {
public:
    [[nodiscard]] base::time_point order_of(const job_record& job) const override
    {
        const base::time_point aged = job.accepted + start_without_deadline;
        if (!job.spec.deadline) {
            return aged;
        }
        return *job.spec.deadline - job.run_time;
    }

    [[nodiscard]] int rank() const override { return 1; }

    [[nodiscard]] slot choose(const cell& state, slot at) const override
    {
        const job_record& job = state.jobs[at];
        return state.index.find(job.size, [&](slot worker, const resources& left) {
            return worker_admits(state, worker, job) ? leftover(state, worker, left, job.size)
                                                     : -1.0;
        });
    }

    [[nodiscard]] reason placed_as() const override { return reason::placed_best_fit; }
};

/// Gangs are ordered by arrival. Each task takes the tightest fit; the engine places all or none.
class gang_policy : public batch_policy {
public:
    [[nodiscard]] base::time_point order_of(const job_record& job) const override
    {
        return job.accepted;
    }

    [[nodiscard]] reason placed_as() const override { return reason::placed_gang; }
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
