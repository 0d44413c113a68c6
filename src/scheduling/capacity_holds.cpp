#include "lovagebeam/scheduling/capacity_holds.h"

#include <algorithm>

namespace lovagebeam::scheduling {

void capacity_holds::begin_pass(std::size_t workers)
{
    m_held_for.assign(workers, not_held);
    m_held = 0;
}

void capacity_holds::hold(std::uint32_t priority, std::uint32_t tasks,
                          std::vector<gang_candidate> candidates)
{
    const auto most =
        static_cast<std::size_t>(m_max_fraction * static_cast<double>(m_held_for.size()));
    // Workers with the same room are taken in the order of the fleet, so that the next pass chooses
    // the same ones.
    std::ranges::stable_sort(candidates, std::ranges::greater{}, &gang_candidate::tasks_now);
    std::int64_t missing = tasks;
    for (const auto& candidate : candidates) {
        if (missing <= 0 || candidate.worker >= m_held_for.size()) {
            return;
        }
        auto& held_for = m_held_for[candidate.worker];
        if (held_for == not_held) {
            if (m_held >= most) {
                return;
            }
            ++m_held;
        }
        held_for = std::min(held_for, priority);
        missing -= std::max<std::int64_t>(candidate.tasks_now, 1);
    }
}

} // namespace lovagebeam::scheduling
