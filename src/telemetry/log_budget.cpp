#include "lovagebeam/telemetry/log_budget.h"

#include <algorithm>
#include <chrono>

namespace lovagebeam::telemetry {

log_budget::log_budget(const log_limits& limits) : m_limits{limits} {}

// Each bucket holds at most the tokens of one second.
void log_budget::refill(base::time_point now)
{
    const double seconds =
        m_is_started ? std::chrono::duration<double>{now - m_last_refill}.count() : 1.0;
    m_is_started = true;
    m_last_refill = now;
    const auto fill = [&](bucket& to, double fraction) {
        const double lines = m_limits.lines_per_second * fraction;
        const double bytes = m_limits.bytes_per_second * fraction;
        to.lines = std::min(lines, to.lines + lines * seconds);
        to.bytes = std::min(bytes, to.bytes + bytes * seconds);
    };
    fill(m_routine, 1 - m_limits.reserved_fraction);
    fill(m_reserved, m_limits.reserved_fraction);
}

bool log_budget::admit(base::time_point now, severity level, std::size_t bytes)
{
    refill(now);
    const auto take = [size = static_cast<double>(bytes)](bucket& from) {
        if (from.lines < 1 || from.bytes < size) {
            return false;
        }
        from.lines -= 1;
        from.bytes -= size;
        return true;
    };
    const bool is_important = level == severity::warning || level == severity::error;
    return (is_important && take(m_reserved)) || take(m_routine);
}

} // namespace lovagebeam::telemetry
