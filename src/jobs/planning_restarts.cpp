#include "lovagebeam/jobs/coordinator.h"

#include <algorithm>

// Tasks of long-running steps that must be started again.

namespace lovagebeam::jobs {
namespace {

/// Whether a task of a long-running step was placed before and has to be placed again.
bool has_restart(const step_spec& spec, const step_record& record)
{
    return spec.long_running && std::ranges::any_of(record.tasks, [](const task_record& task) {
               return !task.done && !task.placed && task.attempt > 0;
           });
}

} // namespace

void coordinator::promote_restart(const step_key& key)
{
    auto& ready = m_ready.at(key);
    const auto& job = *m_ledger.find(key.job);
    if (ready.is_restart ||
        !has_restart(job.spec.steps[key.step], job.step(key.occurrence, key.step))) {
        return;
    }
    m_order.erase(ready.account, rank_of(key, ready));
    m_demotions.erase({ready.is_late ? ready.expires_at : ready.late_at, key});
    ready.is_restart = true;
    ready.is_late = false;
    ready.is_expired = false;
    m_order.insert(ready.account, rank_of(key, ready), ready.task_size);
    m_advice.change_rank(key, call_rank_of(ready));
}

} // namespace lovagebeam::jobs
