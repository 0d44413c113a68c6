#include "lovagebeam/scheduling/overload_gate.h"

#include <algorithm>

namespace lovagebeam::scheduling {

void overload_gate::on_iteration(base::time_point now)
{
    if (m_last) {
        const std::chrono::duration<double, std::milli> took = now - *m_last;
        const auto longest = static_cast<double>(m_settings.longest_iteration.count());
        m_mean_ms += (std::clamp(took.count(), 0.0, longest) - m_mean_ms) * m_settings.weight;
    }
    m_last = now;
}

bool overload_gate::is_overloaded() const
{
    return m_mean_ms > static_cast<double>(m_settings.slow_iteration.count());
}

bool overload_gate::admits_batch(base::time_point now)
{
    if (is_overloaded() && m_last_batch && now - *m_last_batch < m_settings.batch_interval) {
        return false;
    }
    m_last_batch = now;
    return true;
}

} // namespace lovagebeam::scheduling
