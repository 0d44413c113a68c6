#include "target_health.h"

#include <algorithm>
#include <bit>
#include <chrono>

namespace lovagebeam::routing {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t consecutive_limit = 5;
constexpr std::uint32_t recent_size = 20;
constexpr base::duration first_ejection = 1s;
constexpr base::duration longest_ejection = 60s;

} // namespace

void target_health::record(bool is_success, base::time_point now, bool can_eject)
{
    constexpr std::uint32_t mask = (1U << recent_size) - 1;
    m_recent = ((m_recent << 1U) | (is_success ? 0U : 1U)) & mask;
    m_recent_count = std::min(m_recent_count + 1, recent_size);
    m_consecutive = is_success ? 0 : m_consecutive + 1;
    if (is_ejected(now)) {
        // An attempt that started before the ejection does not indicate a recovery.
        return;
    }
    if (is_success && m_is_on_probation) {
        m_is_on_probation = false;
        m_recent = 0;
        m_recent_count = 0;
    }
    else if (is_success && m_recent_count == recent_size && m_recent == 0) {
        m_ejections = 0;
    }
    else if (!is_success && can_eject && (m_is_on_probation || is_outlier())) {
        eject(now);
    }
}

bool target_health::is_outlier() const
{
    const auto failures = static_cast<std::uint32_t>(std::popcount(m_recent));
    return m_consecutive >= consecutive_limit ||
           (m_recent_count == recent_size && failures * 2 > recent_size);
}

void target_health::eject(base::time_point now)
{
    const base::duration time = first_ejection * (1U << std::min(m_ejections, 6U));
    m_ejected_until = now + std::min(time, longest_ejection);
    ++m_ejections;
    m_is_on_probation = true;
}

} // namespace lovagebeam::routing
