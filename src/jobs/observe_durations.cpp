#include "lovagebeam/jobs/coordinator.h"

// What the leader learns from the runs that end.

namespace lovagebeam::jobs {
namespace {

/// Only the first tasks of a step count, since they share its estimate: a single step of many tasks
/// would otherwise decide the correction of its queue.
constexpr std::uint32_t observed_tasks = 4;

} // namespace

void coordinator::observe_duration(const worker_table::end_report& end)
{
    const auto* const job = m_ledger.find(end.run.task.job);
    if (job == nullptr || end.how != end_kind::done || !end.took ||
        end.run.task.index >= observed_tasks) {
        return;
    }
    const auto& step = job->spec.steps[end.run.task.step];
    if (!step.long_running) {
        m_estimates.observe_end(job->spec.queue, job->spec.account, step.estimate, *end.took);
    }
}

} // namespace lovagebeam::jobs
