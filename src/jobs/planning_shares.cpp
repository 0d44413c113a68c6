#include "lovagebeam/jobs/coordinator.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// What the planner passes to the shares of accounts.

namespace lovagebeam::jobs {
namespace {

constexpr std::chrono::seconds passed_over_log_interval{1};

/// Whether at most `fraction` of one of the pool's resources is free.
bool is_nearly_full(const candidate_list::pool_total& pool, double fraction)
{
    const auto is_scarce = [fraction](std::int64_t free, std::int64_t capacity) {
        return capacity > 0 &&
               static_cast<double>(free) <= fraction * static_cast<double>(capacity);
    };
    return is_scarce(pool.free.millicores, pool.capacity.millicores) ||
           is_scarce(pool.free.memory_mb, pool.capacity.memory_mb) ||
           is_scarce(pool.free.accelerators, pool.capacity.accelerators);
}

} // namespace

pass_input coordinator::make_pass_input(base::time_point now)
{
    pass_input input;
    input.largest_free = {};
    input.left_out = &m_left_out;
    input.is_full = is_short(now) || is_demand_above_free();
    for (const auto& pool : m_candidates.pools()) {
        input.capacity += counted_use(pool.capacity);
        input.largest_free = larger_of_each(input.largest_free, pool.largest_free);
    }
    input.used = [this](const std::string& account) {
        auto used = counted_use(m_ledger.used_by(account)) + m_order.reserved_millicores(account);
        if (const auto planned = m_planned_by.find(account); planned != m_planned_by.end()) {
            used += counted_use(planned->second);
        }
        return used;
    };
    input.limits = {m_settings.planner.max_unplaceable_per_priority,
                    m_settings.planner.max_at_limit_per_account,
                    m_settings.planner.max_too_large_per_account};
    input.limit_room = [this](const std::string& account) { return limit_room(account); };
    input.task_use = [this](const step_key& key) { return m_ready.at(key).task_use; };
    return input;
}

std::int64_t coordinator::counted_use(const size& booked)
{
    return scheduling::counted_millicores(booked.millicores, booked.accelerators);
}

// Half of the last task counts, as in the rank of its account.
bool coordinator::exceeds_budget(const planned_step& step, const size& more)
{
    return counted_use(more) - counted_use(booked_size(step.spec)) / 2 > step.budget;
}

bool coordinator::is_short(base::time_point now) const
{
    const auto& settings = m_settings.planner;
    return m_last_shortage != base::time_point{} &&
           now - m_last_shortage <= settings.shortage_memory &&
           std::ranges::any_of(m_candidates.pools(), [&](const auto& pool) {
               return is_nearly_full(pool, settings.full_pool_free);
           });
}

bool coordinator::is_demand_above_free() const
{
    std::int64_t free = 0;
    for (const auto& pool : m_candidates.pools()) {
        free += counted_use(pool.free);
    }
    return m_waiting_use > free;
}

void coordinator::set_waiting_use(ready_step& ready, std::int64_t use)
{
    m_waiting_use += use - std::exchange(ready.waiting_use, use);
}

std::int64_t coordinator::answered_budget(const step_key& key) const
{
    if (!m_are_shares_in_force) {
        return planning_order::unlimited;
    }
    const auto found = m_reserved.find(key);
    return found == m_reserved.end()
               ? 0
               : static_cast<std::int64_t>(found->second.sizes.size()) * m_ready.at(key).task_use;
}

void coordinator::log_shares(const planning_order& pass)
{
    const bool decide = pass.is_full() && pass.is_shared();
    if (decide == m_are_shares_in_force) {
        return;
    }
    m_are_shares_in_force = decide;
    m_out.log_entries.push_back({decide ? "shares_in_force" : "shares_not_in_force", std::nullopt,
                                 absl::StrCat("waiting_steps=", m_ready.size())});
}

void coordinator::log_passed_over(base::time_point now, const planning_order& pass)
{
    if (pass.passed_over().empty() || now < m_next_passed_over_log) {
        return;
    }
    m_next_passed_over_log = now + passed_over_log_interval;
    for (const auto& one : pass.passed_over()) {
        m_out.log_entries.push_back(
            {"steps_passed_over", std::nullopt,
             absl::StrCat("account=", one.account, " priority=", one.level.second,
                          " expired=", one.level.first ? 1 : 0, " at_limit=", one.at_limit,
                          " no_capacity=", one.unplaceable, " too_large=", one.too_large)});
    }
}

void coordinator::apply_weights()
{
    if (!m_catalog || m_order.has_weights_of(*m_catalog)) {
        return;
    }
    m_order.clear();
    m_left_out.clear();
    m_order.set_weights(*m_catalog, m_ledger);
    for (const auto& [key, ready] : m_ready) {
        m_order.insert(ready.account, rank_of(key, ready), ready.task_size);
    }
}

void coordinator::count_accepted(const job_record& job)
{
    if (const auto jobs = m_order.on_accepted(job); jobs > 0) {
        m_out.log_entries.push_back(
            {"jobs_beyond_rate", job.spec.id,
             absl::StrCat("account=", job.spec.account, " jobs=", jobs,
                          " weight=", m_order.shares().weight(job.spec.account))});
    }
}

} // namespace lovagebeam::jobs
