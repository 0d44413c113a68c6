#include "policy.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

namespace {

/// Spreads the tasks of a service over failure domains first, then over hosts and racks, then picks
/// the tightest fit.
class service_policy : public policy {
public:
    [[nodiscard]] base::time_point order_of(const job_record& job) const override
    {
        return job.accepted;
    }

    [[nodiscard]] int rank() const override { return 0; }

    [[nodiscard]] slot choose(const cell& state, slot at) const override
    {
        const job_record& job = state.jobs[at];
        std::vector<std::uint32_t> in_domain(state.domains.size(), 0);
        for (const slot task : job.placements) {
            const slot domain = state.workers[state.tasks[task].worker].domain;
            if (domain != no_slot) {
                ++in_domain[domain];
            }
        }
        slot best = no_slot;
        std::pair<std::uint32_t, double> best_score{};
        for (slot domain = 0; domain < state.index.domains(); ++domain) {
            const auto score = [&](slot worker, const resources& left) {
                return score_in_domain(state, job, worker, left);
            };
            const slot worker = state.index.find_in_domain(domain, job.size, score);
            if (worker == no_slot) {
                continue;
            }
            const std::pair value{in_domain[domain],
                                  score(worker, state.index.free(worker) - job.size)};
            if (best == no_slot || value < best_score) {
                best = worker;
                best_score = value;
            }
        }
        return best;
    }

    [[nodiscard]] reason placement_reason() const override { return reason::placed_spread; }

private:
    static double score_in_domain(const cell& state, const job_record& job, slot worker,
                                  const resources& left)
    {
        if (!worker_admits(state, worker, job)) {
            return -1.0;
        }
        // `leftover_score` is at most 3, so a task of the same service in the rack outweighs any
        // difference in fit, and one on the same host outweighs several in the rack.
        double colocation = 0;
        for (const slot task : job.placements) {
            const slot other = state.tasks[task].worker;
            colocation += other == worker ? 40.0 : 0.0;
            colocation += state.workers[other].rack == state.workers[worker].rack ? 4.0 : 0.0;
        }
        return colocation + leftover_score(state, worker, left, job.size);
    }
};

} // namespace

std::unique_ptr<policy> make_service_policy()
{
    return std::make_unique<service_policy>();
}

} // namespace lovagebeam::placement::internal
