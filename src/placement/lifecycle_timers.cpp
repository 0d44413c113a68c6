// Timers of the lifecycle: leases, restart backoffs and paced replacements.
#include "lifecycle.h"

#include <algorithm>

namespace lovagebeam::placement::internal {
namespace {

/// Leases are checked incrementally, so that one tick doesn't scan all tasks. Every lease is
/// checked once in this time; a late check only keeps capacity booked longer.
constexpr base::duration lease_scan_period = std::chrono::seconds{1};

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void lifecycle::on_tick(base::duration elapsed)
{
    check_leases(elapsed);
    release_delayed();
    release_paced(elapsed);
}

bool lifecycle::is_due(const task_record& task) const
{
    if (task.lease_end == never || task.id.empty()) {
        return false;
    }
    const auto drift = std::chrono::duration_cast<base::duration>(
        (m_state.settings.task_lease + m_state.settings.start_transit) *
        m_state.settings.clock_drift);
    return m_state.now > task.lease_end + drift;
}

void lifecycle::check_leases(base::duration elapsed)
{
    const double part = std::min(1.0, seconds(elapsed) / seconds(lease_scan_period));
    const auto count = static_cast<slot>(part * m_state.tasks.size()) + 1;
    for (slot i = 0; i < std::min(count, m_state.tasks.size()); ++i) {
        m_next_lease = (m_next_lease + 1) % m_state.tasks.size();
        if (is_due(m_state.tasks[m_next_lease])) {
            end(m_next_lease, end_kind::lost);
        }
    }
}

void lifecycle::release_delayed()
{
    while (!m_delayed.empty() && m_delayed.top().when <= m_state.now) {
        const delayed next = m_delayed.top();
        m_delayed.pop();
        const slot at = m_state.find_job(next.job);
        if (at != no_slot && !m_state.jobs[at].cancelled &&
            m_state.jobs[at].state != job_state::failed) {
            queue_task(at, next.index);
        }
    }
}

void lifecycle::release_paced(base::duration elapsed)
{
    const double rate = m_state.settings.replacements_per_second;
    m_paced_allowance = std::min(rate, m_paced_allowance + rate * seconds(elapsed));
    while (!m_paced.empty() && m_paced_allowance >= 1.0) {
        const auto [id, index] = m_paced.front();
        m_paced.pop_front();
        const slot at = m_state.find_job(id);
        if (at == no_slot || m_state.jobs[at].cancelled ||
            m_state.jobs[at].state == job_state::failed) {
            continue;
        }
        m_paced_allowance -= 1.0;
        queue_task(at, index);
    }
}

} // namespace lovagebeam::placement::internal
