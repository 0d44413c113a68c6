#include "lovagebeam/scheduling/account_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lovagebeam::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t accelerator_millicores = 8'000;
/// Callers send in bursts of about a second. Over two seconds an account that keeps its rate on
/// average isn't taken for one that exceeds it.
constexpr milliseconds rate_window{2'000};
/// Finer than the 5% within which shares must hold, and coarse enough that the objectives of the
/// steps decide between accounts that are about even.
constexpr double rank_steps = 50;
/// Far above each share that can occur, and exact as a double.
constexpr double max_rank = 1e15;

double max_allowance(double weight)
{
    return std::max(1.0, weight * std::chrono::duration<double>{rate_window}.count());
}

} // namespace

double effective_weight(std::optional<double> configured)
{
    if (!configured || !std::isfinite(*configured)) {
        return default_weight;
    }
    return std::clamp(*configured, min_weight, max_weight);
}

std::int64_t counted_millicores(std::int64_t millicores, std::int64_t accelerators)
{
    return millicores + accelerators * accelerator_millicores;
}

void account_shares::set_weights(const std::map<std::string, double>& weights)
{
    m_weights.clear();
    for (const auto& [account, configured] : weights) {
        m_weights.emplace(account, effective_weight(configured));
    }
    m_rates.clear();
}

double account_shares::weight(std::string_view account) const
{
    const auto found = m_weights.find(account);
    return found == m_weights.end() ? default_weight : found->second;
}

// A time before the last one is that of a leader whose clock differs, or of a clock that was set
// back; the latter must not keep the account from its rate until the earlier time is reached again.
bool account_shares::count_job(const std::string& account, base::wall_time accepted)
{
    const auto per_second = weight(account);
    const auto most = max_allowance(per_second);
    auto& rate = m_rates.try_emplace(account, job_rate{most, accepted}).first->second;
    const auto passed = accepted - rate.updated;
    if (passed > milliseconds{0}) {
        const auto earned = per_second * std::chrono::duration<double>{passed}.count();
        rate.allowance = std::min(most, rate.allowance + earned);
    }
    if (passed > milliseconds{0} || passed < -rate_window) {
        rate.updated = accepted;
    }
    if (rate.allowance < 1) {
        return false;
    }
    rate.allowance -= 1;
    return true;
}

std::int64_t account_shares::rank(std::string_view account, std::int64_t used,
                                  const division& among) const
{
    if (used <= 0 || among.capacity <= 0 || among.total_weight <= 0) {
        return 0;
    }
    const auto share = static_cast<double>(among.capacity) * (weight(account) / among.total_weight);
    return static_cast<std::int64_t>(
        std::min(max_rank, static_cast<double>(used) / share * rank_steps));
}

std::int64_t account_shares::least_use_after(std::string_view account, std::int64_t rank,
                                             const division& among) const
{
    if (among.capacity <= 0 || among.total_weight <= 0) {
        return 0;
    }
    const auto share = static_cast<double>(among.capacity) * (weight(account) / among.total_weight);
    return static_cast<std::int64_t>(
        std::min(max_rank, static_cast<double>(rank + 1) / rank_steps * share));
}

} // namespace lovagebeam::scheduling
