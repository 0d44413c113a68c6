#include "policy.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

bool worker_admits(const cell& state, slot at, const job_record& job)
{
    const worker_record& worker = state.workers[at];
    if (worker.probation && !worker.tasks.empty()) {
        return false;
    }
    if (state.now < worker.held_until && job.spec.kind != job_kind::urgent &&
        job.team != worker.held_team) {
        return false;
    }
    if (worker.reserved_for != no_slot && job.spec.kind != job_kind::urgent &&
        &state.jobs[worker.reserved_for] != &job) {
        const bool ends_in_time =
            job.spec.kind == job_kind::batch && state.now + job.run_time <= state.reserved.expected;
        if (!ends_in_time || state.reserved.reclaiming) {
            return false;
        }
    }
    return std::find(job.failed_on.begin(), job.failed_on.end(), at) == job.failed_on.end();
}

double leftover_score(const cell& state, slot at, const resources& left, const resources& size)
{
    const resources& all = state.workers[at].capacity;
    double value = static_cast<double>(left.cpu.value()) /
                       static_cast<double>(std::max<std::int64_t>(all.cpu.value(), 1)) +
                   static_cast<double>(left.memory.value()) /
                       static_cast<double>(std::max<std::int64_t>(all.memory.value(), 1));
    if (size.devices.value() == 0 && left.devices.value() > 0) {
        // Prefer hosts without a free accelerator for work that needs none.
        value += 1.0;
    }
    return value;
}

bool policy::admits(const cell& state, slot job, slot worker) const
{
    return worker_admits(state, worker, state.jobs[job]);
}

} // namespace lovagebeam::placement::internal
