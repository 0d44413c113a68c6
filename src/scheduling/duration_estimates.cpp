#include "lovagebeam/scheduling/duration_estimates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lovagebeam::scheduling {
namespace {

base::duration at_least_one_millisecond(base::duration estimate)
{
    return std::max<base::duration>(estimate, std::chrono::milliseconds{1});
}

} // namespace

void duration_estimates::recent_ends::add(double ratio)
{
    m_ratios[m_next] = ratio;
    m_next = (m_next + 1) % capacity;
    m_count = std::min(m_count + 1, capacity);
    if (m_count < min_ends) {
        return;
    }
    auto sorted = m_ratios;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
    m_factor = std::clamp(*middle, min_factor, max_factor);
    if (std::abs(m_factor - 1) < tolerance) {
        m_factor = 1;
    }
}

void duration_estimates::observe_end(std::string_view queue, std::string_view account,
                                     base::duration estimate, base::duration took)
{
    if (took <= base::duration::zero()) {
        return;
    }
    auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        found = m_queues.emplace(queue, queue_ends{}).first;
    }
    auto& accounts = found->second.by_account;
    auto of_account = accounts.find(account);
    if (of_account == accounts.end()) {
        of_account = accounts.emplace(account, recent_ends{}).first;
    }
    const auto ratio = std::chrono::duration<double>{took} /
                       std::chrono::duration<double>{at_least_one_millisecond(estimate)};
    found->second.all.add(ratio);
    of_account->second.add(ratio);
}

double duration_estimates::factor(std::string_view queue, std::string_view account) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        return 1;
    }
    const auto of_account = found->second.by_account.find(account);
    if (of_account != found->second.by_account.end() && of_account->second.factor() > 0) {
        return of_account->second.factor();
    }
    return found->second.all.factor() > 0 ? found->second.all.factor() : 1;
}

std::map<std::string, double> duration_estimates::queue_factors() const
{
    std::map<std::string, double> out;
    for (const auto& [name, ends] : m_queues) {
        if (ends.all.factor() > 0) {
            out.emplace(name, ends.all.factor());
        }
    }
    return out;
}

base::duration duration_estimates::corrected(std::string_view queue, std::string_view account,
                                             base::duration estimate) const
{
    return scaled(estimate, factor(queue, account));
}

base::duration duration_estimates::scaled(base::duration estimate, double factor)
{
    const std::chrono::duration<double, std::nano> corrected{
        factor * static_cast<double>(at_least_one_millisecond(estimate).count())};
    // An estimate of a century times ten is beyond the range of a duration.
    constexpr double longest = 9e18;
    return base::duration{static_cast<base::duration::rep>(std::min(corrected.count(), longest))};
}

} // namespace lovagebeam::scheduling
