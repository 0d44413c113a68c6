#include "lovagebeam/jobs/coordinator.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

// Capacity that a planning pass holds for gangs which wait for room.

namespace lovagebeam::jobs {

void coordinator::begin_holds()
{
    m_holds.begin_pass(m_candidates.all().size());
    m_lowest_priority = m_order.lowest_unexpired_priority();
}

// Gangs that can no longer be in time wait for what is left.
void coordinator::hold_for_gang(base::time_point now, const step_key& key)
{
    const auto found = m_ready.find(key);
    if (found == m_ready.end() || !found->second.is_gang || found->second.is_late ||
        found->second.is_expired || found->second.priority >= m_lowest_priority ||
        now < found->second.not_before || m_reserved.contains(key)) {
        return;
    }
    const auto& job = *m_ledger.find(key.job);
    const auto& record = job.step(key.occurrence, key.step);
    const planned_step step{job,
                            key,
                            job.spec.steps[key.step],
                            record,
                            pool_of(job.spec),
                            std::numeric_limits<std::int64_t>::max(),
                            false,
                            std::nullopt};
    if (record.placed > 0 || !is_within_limit(job.spec.account, total_size(step))) {
        return;
    }
    std::vector<scheduling::gang_candidate> candidates;
    for (const auto* const one : suitable_workers(now, step)) {
        candidates.push_back({one->index, tasks_that_fit(step.spec, one->free)});
    }
    m_holds.hold(found->second.priority, record.undone, std::move(candidates));
}

size coordinator::total_size(const planned_step& step)
{
    const auto booked = booked_size(step.spec);
    const auto count = static_cast<std::int64_t>(step.record.undone);
    return {booked.millicores * count, booked.memory_mb * count, booked.accelerators * count};
}

} // namespace lovagebeam::jobs
