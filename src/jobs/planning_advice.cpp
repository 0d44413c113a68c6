#include "lovagebeam/jobs/coordinator.h"

#include "labels.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

// Reservations and advice requests of a planning pass.

namespace lovagebeam::jobs {

void coordinator::reserve(base::time_point now, const planned_step& step,
                          const std::vector<assignment>& chosen)
{
    const auto booked = booked_size(step.spec);
    reservation made;
    made.until = now + m_settings.planner.reservation;
    for (const auto& one : chosen) {
        made.sizes.emplace_back(one.worker, booked);
        m_candidates.book(*one.worker, booked);
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
    }
    m_reserved.erase(found);
}

// Requests tickets for the workers on which the step would fit. If it fits on no allowed worker,
// requests advice on the workers that no call has named yet.
coordinator::advice_wait coordinator::request_missing_advice(base::time_point now,
                                                             const planned_step& step,
                                                             ready_step& ready)
{
    const auto* const known = m_advice.find(step.key);
    const auto wanted = assign(now, step, ticket_rule::any);
    if (known != nullptr && known->is_call_open) {
        if (!wanted.empty()) {
            reserve(now, step, wanted);
        }
        return wanted.empty() ? advice_wait::none : advice_wait::open;
    }
    const auto& policy = *advice_for(step.job.spec);
    if (wanted.empty()) {
        if (now >= ready.query_not_before) {
            ready.query_not_before = now + m_settings.planner.advice_query_interval;
            request_advice_on_unknown_workers(step.key, step.job.spec, step.pool, policy,
                                              call_rank_of(ready));
        }
        return m_advice.is_first_call_open(step.key) ? advice_wait::open : advice_wait::none;
    }
    std::set<base::worker_id> renewed;
    for (const auto& one : wanted) {
        renewed.insert(one.worker->info->id);
    }
    m_advice.request(step.key, policy, {renewed.begin(), renewed.end()}, call_rank_of(ready));
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
                                                    advice_scheduler::call_rank rank)
{
    const auto* const known = m_advice.find(key);
    const auto& step = job.steps[key.step];
    std::vector<const candidate_worker*> unknown;
    for (const auto& candidate : m_candidates.all()) {
        if (!candidate.is_usable) {
            continue;
        }
        const auto& info = *candidate.info;
        if (info.pool == pool && has_label(info, step.required_label) &&
            step.size.fits_in(info.capacity) &&
            (known == nullptr ||
             (!known->allowed.contains(info.id) && !known->refused.contains(info.id)))) {
            unknown.push_back(&candidate);
        }
    }
    // Only the freest workers that one call can name are put in order.
    const auto named = std::min(unknown.size(), m_settings.advice.workers_per_call);
    const auto end = unknown.begin() + static_cast<std::ptrdiff_t>(named);
    std::partial_sort(unknown.begin(), end, unknown.end(),
                      [](const candidate_worker* left, const candidate_worker* right) {
                          return std::tie(right->free.millicores, left->info->id) <
                                 std::tie(left->free.millicores, right->info->id);
                      });
    std::vector<base::worker_id> workers;
    workers.reserve(named);
    std::for_each(unknown.begin(), end,
                  [&](const candidate_worker* one) { workers.push_back(one->info->id); });
    m_advice.request(key, policy, std::move(workers), rank);
}

} // namespace lovagebeam::jobs
