#include "objectives.h"

#include <algorithm>

namespace lovagebeam::jobs {
namespace {

/// Number of workers per call that an objective's allowance for advice assumes.
constexpr std::int64_t advised_workers_in_objective = 30;
/// Longer ones can't be counted in nanoseconds once they are corrected.
constexpr std::chrono::hours longest_estimate{24 * 365};

} // namespace

milliseconds advice_time(const advice_policy* policy)
{
    return policy == nullptr
               ? milliseconds{0}
               : policy->decision + std::chrono::duration_cast<milliseconds>(
                                        policy->per_worker * advised_workers_in_objective);
}

milliseconds corrected_estimate(const step_spec& step, double factor)
{
    const auto estimate = std::min<milliseconds>(step.estimate, longest_estimate);
    return std::chrono::duration_cast<milliseconds>(
        scheduling::duration_estimates::scaled(estimate, factor));
}

std::vector<milliseconds> remaining_chains(const job_spec& job, milliseconds advice,
                                           const scheduling::duration_estimates& estimates)
{
    const auto factor = estimates.factor(job.queue, job.account);
    std::vector<milliseconds> out(job.steps.size());
    // Steps depend on earlier ones only, so each one is complete when it is reached from the end.
    for (std::size_t step = job.steps.size(); step-- > 0;) {
        out[step] += advice + corrected_estimate(job.steps[step], factor);
        for (const auto earlier : job.steps[step].depends_on) {
            out[earlier] = std::max(out[earlier], out[step]);
        }
    }
    return out;
}

milliseconds longest_chain(const std::vector<milliseconds>& remaining)
{
    return remaining.empty() ? milliseconds{0} : *std::ranges::max_element(remaining);
}

milliseconds objective_of(const job_spec& job, milliseconds chain, double objectives)
{
    const auto one = job.slack_factor * static_cast<double>(chain.count()) +
                     static_cast<double>(job.target_latency.count());
    return milliseconds{static_cast<std::int64_t>(one * objectives)};
}

} // namespace lovagebeam::jobs
