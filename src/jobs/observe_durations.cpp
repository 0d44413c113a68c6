#include "lovagebeam/jobs/coordinator.h"

#include <absl/strings/str_cat.h>

#include <cmath>

// What the leader learns from the runs that end.

namespace lovagebeam::jobs {
namespace {

/// Only the first tasks of a step count, since they share its estimate: a single step of many tasks
/// would otherwise decide the correction of its queue.
constexpr std::uint32_t observed_tasks = 4;
/// A change of a queue's correction by less than this isn't logged: the median moves with each end.
constexpr double logged_change = 0.2;

} // namespace

void coordinator::observe_duration(const worker_table::end_report& end)
{
    const auto* const job = m_ledger.find(end.run.task.job);
    if (job == nullptr || end.how != end_kind::done || !end.took ||
        end.run.task.index >= observed_tasks) {
        return;
    }
    const auto& step = job->spec.steps[end.run.task.step];
    if (step.long_running) {
        return;
    }
    m_estimates.observe_end(job->spec.queue, job->spec.account, step.estimate, *end.took);
    const auto factor = m_estimates.factor(job->spec.queue, {});
    auto& logged = m_logged_factors.try_emplace(job->spec.queue, 1.0).first->second;
    if (std::abs(factor - logged) >= logged_change * logged) {
        m_out.log_entries.push_back(
            {"estimates_corrected", std::nullopt,
             absl::StrCat("queue=", job->spec.queue, " factor=", factor, " before=", logged)});
        logged = factor;
    }
}

} // namespace lovagebeam::jobs
