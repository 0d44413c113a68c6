#include "policy.h"

namespace lovagebeam::placement::internal {

namespace {

/// Takes the tightest fit, then the headroom that other kinds may not use. The dispatcher requests
/// preemption when neither has room.
class urgent_policy : public policy {
public:
    [[nodiscard]] base::time_point order_of(const job_record& job) const override
    {
        return job.spec.deadline.value_or(job.accepted + std::chrono::milliseconds{1500});
    }

    [[nodiscard]] int rank() const override { return 0; }
    [[nodiscard]] bool uses_headroom() const override { return true; }

    [[nodiscard]] slot choose(const cell& state, slot at) const override
    {
        const job_record& job = state.jobs[at];
        const auto score = [&](slot worker, const resources& left) {
            return worker_admits(state, worker, job) ? leftover_score(state, worker, left, job.size)
                                                     : -1.0;
        };
        const slot worker = state.index.find(job.size, score);
        return worker != no_slot ? worker : state.index.find_urgent(job.size, score);
    }

    [[nodiscard]] reason placement_reason() const override { return reason::placed_headroom; }
};

} // namespace

std::unique_ptr<policy> make_urgent_policy()
{
    return std::make_unique<urgent_policy>();
}

} // namespace lovagebeam::placement::internal
