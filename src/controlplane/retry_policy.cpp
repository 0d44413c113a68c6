#include "retry_policy.h"

#include <algorithm>
#include <cmath>

namespace lovagebeam::controlplane {
namespace {

/// Weights and factor of the estimate, as for the retransmission timer of TCP (RFC 6298).
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;
constexpr double deviation_factor = 4;
constexpr std::uint32_t max_doublings = 8;

} // namespace

void retry_policy::on_first_attempt()
{
    m_saved_retries =
        std::min(m_settings.max_saved_retries, m_saved_retries + m_settings.retry_fraction);
}

void retry_policy::on_answer(base::duration took)
{
    const std::chrono::duration<double, std::milli> time{took};
    if (!m_has_mean) {
        m_has_mean = true;
        m_mean = time;
        m_deviation = time / 2;
    }
    else {
        const auto difference = time - m_mean;
        m_deviation += (std::chrono::abs(difference) - m_deviation) * deviation_weight;
        m_mean += difference * mean_weight;
    }
    m_timeouts = 0;
}

void retry_policy::on_timeout()
{
    m_timeouts = std::min(m_timeouts + 1, max_doublings);
}

void retry_policy::on_new_leader()
{
    m_has_mean = false;
    m_timeouts = 0;
}

retry_policy::milliseconds retry_policy::attempt_timeout(milliseconds remaining) const
{
    if (m_saved_retries < 1) {
        return remaining;
    }
    if (!m_has_mean) {
        return std::min(remaining, m_settings.max_timeout);
    }
    const auto expected = m_mean + m_deviation * deviation_factor;
    const auto doubled =
        std::max<std::chrono::duration<double, std::milli>>(expected, m_settings.min_timeout) *
        std::exp2(m_timeouts);
    const auto timeout =
        std::min<std::chrono::duration<double, std::milli>>(doubled, m_settings.max_timeout);
    return std::min(remaining, std::chrono::ceil<milliseconds>(timeout));
}

bool retry_policy::take_retry()
{
    if (m_saved_retries < 1) {
        return false;
    }
    m_saved_retries -= 1;
    return true;
}

retry_policy::milliseconds retry_policy::delay_after(std::uint32_t failures, double random) const
{
    const auto doublings = std::min(failures, max_doublings);
    const auto longest = std::min(m_settings.max_delay, m_settings.first_delay * (1 << doublings));
    return longest / 2 +
           milliseconds{std::llround(random * static_cast<double>(longest.count()) / 2)};
}

} // namespace lovagebeam::controlplane
