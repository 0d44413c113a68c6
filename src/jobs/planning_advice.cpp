#include "lovagebeam/jobs/coordinator.h"

#include "labels.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

// Reservations and advice requests of a planning pass.

namespace lovagebeam::jobs {
namespace {

/// Spreads the bits of a hash (2^64 divided by the golden ratio).
constexpr std::uint64_t hash_factor = 0x9e3779b97f4a7c15;

} // namespace

void coordinator::reserve(base::time_point now, const planned_step& step,
                          const std::vector<assignment>& chosen)
{
    const auto booked = booked_size(step.spec);
    reservation made;
    made.until = now + m_settings.planner.reservation;
    made.account = step.job.spec.account;
    for (const auto& one : chosen) {
        made.sizes.emplace_back(one.worker, booked);
        m_candidates.book(*one.worker, booked);
        m_order.add_reserved(made.account, booked);
    }
    m_reserved.emplace(step.key, std::move(made));
}

void coordinator::release_reservation(const step_key& key)
{
    const auto found = m_reserved.find(key);
    if (found == m_reserved.end()) {
        return;
    }
    for (const auto& [worker, booked] : found->second.sizes) {
        m_candidates.release(*worker, booked);
        m_order.remove_reserved(found->second.account, booked);
    }
    m_reserved.erase(found);
}

// Call it when no call about the step is open. Requests tickets for the workers on which the step
// would fit. If it fits on no allowed worker, requests advice on the workers that no call has named
// yet.
coordinator::advice_wait coordinator::request_missing_advice(base::time_point now,
                                                             const planned_step& step,
                                                             ready_step& ready)
{
    const auto wanted = assign(now, step, ticket_rule::any);
    const auto& policy = *advice_for(step.job.spec);
    if (wanted.empty()) {
        if (now >= ready.query_not_before) {
            ready.query_not_before = now + m_settings.planner.advice_query_interval;
            // Capacity may become free anywhere, but one of the first steps gets it then.
            request_advice_on_unknown_workers(
                step.key, step.job.spec, step.pool, policy, call_rank_of(ready),
                step.is_resumed ? advice_scope::with_room : advice_scope::all);
        }
        return m_advice.is_first_call_open(step.key) ? advice_wait::open : advice_wait::none;
    }
    std::set<base::worker_id> renewed;
    for (const auto& one : wanted) {
        renewed.insert(one.worker->info->id);
    }
    // Capacity is reserved until the answer, so this call goes before those of its priority.
    m_advice.request(step.key, policy, {renewed.begin(), renewed.end()},
                     {ready.is_expired ? ready.priority : 0, false, 0});
    reserve(now, step, wanted);
    return advice_wait::open;
}

advice_scheduler::call_rank coordinator::call_rank_of(const ready_step& ready)
{
    const auto priority =
        ready.is_expired ? std::numeric_limits<std::uint32_t>::max() : ready.priority;
    return {priority, ready.is_late, ready.due_by.time_since_epoch().count()};
}

void coordinator::request_advice_on_unknown_workers(const step_key& key, const job_spec& job,
                                                    const std::string& pool,
                                                    const advice_policy& policy,
                                                    advice_scheduler::call_rank rank,
                                                    advice_scope scope)
{
    const auto* const known = m_advice.find(key);
    const auto& step = job.steps[key.step];
    const auto step_hash = std::hash<std::uint64_t>{}(key.job.value()) + key.step;
    std::vector<advice_candidate> unknown;
    const auto* const total = m_candidates.pool(pool);
    const auto booked = booked_size(step);
    for (const auto& candidate : m_candidates.all()) {
        if (!candidate.is_usable || &m_candidates.pools()[candidate.pool] != total ||
            (scope == advice_scope::with_room && !booked.fits_in(candidate.free))) {
            continue;
        }
        const auto& info = *candidate.info;
        if (step.size.fits_in(candidate.capacity) && has_label(info, step.required_label) &&
            (known == nullptr ||
             (!known->allowed.contains(info.id) && !known->refused.contains(info.id)))) {
            const auto worker_hash = std::hash<std::string>{}(info.id.str());
            unknown.push_back({&candidate, tasks_that_fit(step, candidate.free),
                               (worker_hash ^ step_hash) * hash_factor});
        }
    }
    // Steps that wait at the same time name different workers among those with the same room, so
    // that they don't all get tickets for the same few.
    const auto named = std::min(unknown.size(), workers_to_name(step, policy, unknown));
    const auto end = unknown.begin() + static_cast<std::ptrdiff_t>(named);
    std::partial_sort(unknown.begin(), end, unknown.end(),
                      [](const advice_candidate& left, const advice_candidate& right) {
                          return std::tie(right.tasks, left.hash) <
                                 std::tie(left.tasks, right.hash);
                      });
    std::vector<base::worker_id> workers;
    workers.reserve(named);
    std::for_each(unknown.begin(), end,
                  [&](const advice_candidate& one) { workers.push_back(one.worker->info->id); });
    m_advice.request(key, policy, std::move(workers), rank);
}

std::int64_t coordinator::tasks_that_fit(const step_spec& step, const size& free)
{
    auto count = static_cast<std::int64_t>(step.tasks);
    const auto limit = [&](std::int64_t available, std::int64_t needed) {
        if (needed > 0) {
            count = std::min(count, std::max<std::int64_t>(available, 0) / needed);
        }
    };
    const auto booked = booked_size(step);
    limit(free.millicores, booked.millicores);
    limit(free.memory_mb, booked.memory_mb);
    limit(free.accelerators, booked.accelerators);
    limit(step.max_per_worker, step.max_per_worker > 0 ? 1 : 0);
    return count;
}

// Enough workers for all tasks of the step if the service allows the usual fraction of them. A call
// that takes no longer with more workers names as many as it may.
std::size_t coordinator::workers_to_name(const step_spec& step, const advice_policy& policy,
                                         const std::vector<advice_candidate>& unknown) const
{
    const auto& settings = m_settings.advice;
    const auto full_call = policy.per_worker * static_cast<std::int64_t>(settings.workers_per_call);
    const auto least =
        full_call <= settings.long_call ? settings.workers_per_call : settings.min_workers_per_call;
    std::int64_t most_tasks = 1;
    for (const auto& one : unknown) {
        most_tasks = std::max(most_tasks, one.tasks);
    }
    const auto needed = static_cast<double>(step.tasks) / static_cast<double>(most_tasks);
    const auto fraction = std::max(m_advice.allowed_fraction(), settings.min_allowed_fraction);
    const auto wanted = static_cast<std::size_t>(needed / fraction * settings.spare_factor);
    return std::clamp(wanted, least, m_advice.workers_per_step());
}

} // namespace lovagebeam::jobs
