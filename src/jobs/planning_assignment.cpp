#include "lovagebeam/jobs/coordinator.h"

#include "labels.h"
#include "worker_choice.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Chooses workers for the tasks of a step.

namespace lovagebeam::jobs {

std::map<base::worker_id, std::uint32_t>
coordinator::counts_on_workers(const planned_step& step) const
{
    std::map<base::worker_id, std::uint32_t> counts;
    if (step.spec.max_per_worker == 0) {
        return counts;
    }
    for (std::uint32_t index = 0; index < step.record.tasks.size(); ++index) {
        const auto& task = step.record.tasks[index];
        const auto planned =
            m_planned.find({step.key.job, step.key.occurrence, step.key.step, index});
        if (planned != m_planned.end()) {
            ++counts[planned->second.worker];
        }
        else if (task.placed) {
            ++counts[task.worker];
        }
    }
    return counts;
}

template <class Visit>
void coordinator::for_each_allowed(base::time_point now, const planned_step& step, ticket_rule rule,
                                   Visit visit)
{
    if (advice_for(step.job.spec) == nullptr) {
        for (auto& one : m_candidates.all()) {
            if (one.is_usable) {
                visit(one);
            }
        }
        return;
    }
    const auto* const known = m_advice.find(step.key);
    if (known == nullptr) {
        return;
    }
    for (const auto& [worker, ticket] : known->allowed) {
        if (rule == ticket_rule::valid && !m_advice.is_valid(now, ticket)) {
            continue;
        }
        if (auto* const found = m_candidates.find_usable(worker)) {
            visit(*found);
        }
    }
}

bool coordinator::has_headroom(const planned_step& step, const size& more) const
{
    if (step.job.spec.priority == 0) {
        return true;
    }
    const auto* const total = m_candidates.pool(step.pool);
    return total != nullptr &&
           static_cast<double>(total->free.millicores - more.millicores) >=
               m_settings.planner.urgent_headroom * static_cast<double>(total->capacity.millicores);
}

bool coordinator::is_within_limit(const std::string& account, const size& more) const
{
    return more.fits_in(limit_room(account));
}

size coordinator::limit_room(const std::string& account) const
{
    const auto found = m_catalog->accounts.find(account);
    if (found == m_catalog->accounts.end()) {
        return unlimited_size;
    }
    const auto& limit = found->second.limit;
    auto used = m_ledger.used_by(account);
    if (const auto planned = m_planned_by.find(account); planned != m_planned_by.end()) {
        used += planned->second;
    }
    auto room = unlimited_size;
    for (const auto resource : {&size::millicores, &size::memory_mb, &size::accelerators}) {
        if (limit.*resource != 0) {
            room.*resource = limit.*resource - used.*resource;
        }
    }
    return room;
}

std::vector<coordinator::assignment> coordinator::assign(base::time_point now,
                                                         const planned_step& step, ticket_rule rule)
{
    if (step.spec.rack_sensitive) {
        auto chosen = assign_in_one_rack(now, step, rule);
        if (!chosen.empty()) {
            return chosen;
        }
    }
    return assign_within(now, step, rule, nullptr);
}

std::vector<coordinator::assignment>
coordinator::assign_in_one_rack(base::time_point now, const planned_step& step, ticket_rule rule)
{
    std::map<std::string, std::int64_t> free;
    for (const auto& candidate : m_candidates.all()) {
        if (candidate.is_usable && candidate.info->pool == step.pool) {
            free[candidate.info->rack] += candidate.free.millicores;
        }
    }
    const auto needed = step.spec.size.millicores * static_cast<std::int64_t>(step.record.undone);
    for (const auto& rack : rack_order(step, free)) {
        if (free.at(rack) < needed) {
            continue;
        }
        auto chosen = assign_within(now, step, rule, &rack);
        if (chosen.size() == step.record.undone) {
            return chosen;
        }
    }
    return {};
}

// Suspected tasks come last, those under most crashes at the end: their workers depend on where the
// other tasks go.
std::vector<std::uint32_t> coordinator::waiting_tasks(const planned_step& step) const
{
    std::vector<std::uint32_t> out;
    const auto& tasks = step.record.tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (!tasks[index].done && !tasks[index].placed &&
            !m_planned.contains({step.key.job, step.key.occurrence, step.key.step, index})) {
            out.push_back(index);
        }
    }
    std::ranges::stable_sort(out, {},
                             [&](std::uint32_t index) { return tasks[index].crashes.count; });
    return out;
}

// Subtracts each chosen task from the capacity of its candidate meanwhile, and restores the
// capacity at the end.
std::vector<coordinator::assignment> coordinator::assign_within(base::time_point now,
                                                                const planned_step& step,
                                                                ticket_rule rule,
                                                                const std::string* rack)
{
    const auto booked = booked_size(step.spec);
    auto counts = counts_on_workers(step);
    const auto waiting = waiting_tasks(step);
    auto eligible = eligible_workers(now, step, rule, rack);
    if (step.spec.gang && step.needed_speed) {
        const auto avoided = m_avoided.find(step.key);
        eligible = select_for_gang(step.spec, eligible, waiting.size(),
                                   avoided == m_avoided.end() ? nullptr : &avoided->second);
    }
    std::vector<assignment> chosen;
    size total;
    bool is_whole = true;
    for (const auto index : waiting) {
        const bool is_over_budget =
            !step.spec.gang && !chosen.empty() && exceeds_budget(step, total + booked);
        if (is_over_budget || !is_within_limit(step.job.spec.account, total + booked) ||
            !has_headroom(step, total + booked)) {
            is_whole = false;
            break;
        }
        const auto& task = step.record.tasks[index];
        auto* const worker = task.crashes.count == 0
                                 ? choose(step, eligible, counts)
                                 : choose_for_suspect(now, step, task, eligible, counts, chosen);
        if (worker == nullptr) {
            is_whole = false;
            break;
        }
        worker->free -= booked;
        total += booked;
        if (step.spec.max_per_worker > 0) {
            ++counts[worker->info->id];
        }
        chosen.push_back({index, worker});
    }
    for (const auto& one : chosen) {
        one.worker->free += booked;
    }
    if (step.spec.gang && !is_whole) {
        chosen.clear();
    }
    return chosen;
}

std::vector<coordinator::candidate_worker*> coordinator::eligible_workers(base::time_point now,
                                                                          const planned_step& step,
                                                                          ticket_rule rule,
                                                                          const std::string* rack)
{
    const auto booked = booked_size(step.spec);
    std::vector<candidate_worker*> out;
    for_each_allowed(now, step, rule, [&](candidate_worker& one) {
        const auto& info = *one.info;
        // The comparison that rules out most candidates of a busy fleet comes first.
        if (booked.fits_in(one.free) && info.pool == step.pool &&
            !m_holds.is_held_from(one.index, step.job.spec.priority) &&
            step.spec.size.fits_in(info.capacity) && (rack == nullptr || info.rack == *rack) &&
            has_label(info, step.spec.required_label)) {
            out.push_back(&one);
        }
    });
    return out;
}

std::vector<const coordinator::candidate_worker*>
coordinator::suitable_workers(base::time_point now, const planned_step& step)
{
    std::vector<const candidate_worker*> out;
    for_each_allowed(now, step, ticket_rule::any, [&](candidate_worker& one) {
        const auto& info = *one.info;
        if (info.pool == step.pool && step.spec.size.fits_in(info.capacity) &&
            has_label(info, step.spec.required_label)) {
            out.push_back(&one);
        }
    });
    return out;
}

bool coordinator::accepts(const planned_step& step, const candidate_worker& candidate,
                          const std::map<base::worker_id, std::uint32_t>& counts)
{
    if (!booked_size(step.spec).fits_in(candidate.free)) {
        return false;
    }
    if (step.spec.max_per_worker == 0) {
        return true;
    }
    const auto count = counts.find(candidate.info->id);
    return count == counts.end() || count->second < step.spec.max_per_worker;
}

// Best fit: prefers the worker with the fewest free processors on which the task fits, so that
// large blocks remain free for large tasks. Where speeds differ, this applies among workers that
// are equally preferred.
coordinator::candidate_worker*
coordinator::choose(const planned_step& step, const std::vector<candidate_worker*>& eligible,
                    const std::map<base::worker_id, std::uint32_t>& counts) const
{
    const auto avoided = m_avoided.find(step.key);
    candidate_worker* best = nullptr;
    std::tuple<bool, bool, int, std::int64_t> best_rank;
    const bool is_uneven = step.needed_speed && !step.spec.gang;
    for (auto* const one : eligible) {
        if (!accepts(step, *one, counts)) {
            continue;
        }
        const auto& info = *one->info;
        const bool is_avoided = avoided != m_avoided.end() && avoided->second.contains(info.id);
        const bool is_far =
            !step.spec.preferred_rack.empty() && info.rack != step.spec.preferred_rack;
        const int preferred = is_uneven ? preference(one->speed, *step.needed_speed) : 0;
        const std::tuple rank{is_avoided, is_far, preferred, one->free.millicores};
        if (best == nullptr || rank < best_rank) {
            best = one;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace lovagebeam::jobs
