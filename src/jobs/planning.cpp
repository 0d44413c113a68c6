#include "lovagebeam/jobs/coordinator.h"

#include "labels.h"
#include "objectives.h"
#include "worker_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace lovagebeam::jobs {

// Workers ask for tickets of a job that was accepted on a queue which has been removed since.
const advice_policy* coordinator::advice_for(const job_spec& job) const
{
    const auto* const queue = m_catalog ? m_catalog->queue_named(job.queue) : nullptr;
    const auto& policy = queue == nullptr ? job.advice : queue->advice;
    return policy ? &*policy : nullptr;
}

std::string coordinator::pool_of(const job_spec& job) const
{
    const auto* const queue = m_catalog ? m_catalog->queue_named(job.queue) : nullptr;
    return queue == nullptr ? job.pool : queue->pool;
}

base::wall_time coordinator::objective_end(const job_spec& job, base::wall_time from,
                                           double objectives) const
{
    const auto chains = remaining_chains(job, advice_time(advice_for(job)), m_estimates);
    return from + objective_of(job, longest_chain(chains), objectives);
}

void coordinator::update_candidate(base::time_point now, const base::worker_id& id)
{
    const auto found = m_ledger.workers().find(id);
    const bool is_known = found != m_ledger.workers().end();
    m_candidates.update(id, is_known ? &found->second : nullptr, m_ledger.used_on(id),
                        is_known && m_workers.is_usable(now, id) && !m_isolated.contains(id));
}

void coordinator::plan(base::time_point now)
{
    if (m_ready.empty() || !m_catalog) {
        return;
    }
    refresh_speeds(now);
    m_candidates.begin_pass();
    begin_holds();
    const bool has_batch = m_overload.admits_batch(now);
    plan_answered_steps(now, has_batch);
    planning_order pass{m_order, make_pass_input(now)};
    while (const auto step = pass.next()) {
        if (!has_batch && !is_urgent(m_ready.at(step->key))) {
            m_needs_planning = true;
            break;
        }
        if (now < m_ready.at(step->key).next_look && !step->is_first_of_account) {
            m_needs_planning = true;
            hold_for_gang(now, step->key);
            continue;
        }
        const auto outcome = plan_step(now, step->key, step->budget);
        if (outcome == obstacle::no_capacity) {
            m_last_shortage = now;
            if (!pass.is_full() && is_short(now)) {
                pass.set_full();
            }
        }
        pass.on_planned(outcome);
        hold_for_gang(now, step->key);
    }
    log_shares(pass);
}

// Capacity is reserved for these until their tickets expire, so they don't wait behind steps that
// may not fit.
void coordinator::plan_answered_steps(base::time_point now, bool has_batch)
{
    std::set<step_order::step_rank> answered;
    for (const auto& key : std::exchange(m_answered, {})) {
        const auto found = m_ready.find(key);
        if (found == m_ready.end()) {
            continue;
        }
        if (has_batch || is_urgent(found->second)) {
            answered.insert(rank_of(key, found->second));
        }
        else {
            m_answered.insert(key);
        }
    }
    for (const auto& rank : answered) {
        const auto key = std::get<step_key>(rank);
        if (const auto budget = answered_budget(key); budget > 0) {
            static_cast<void>(plan_step(now, key, budget));
        }
        else {
            m_ready.at(key).next_look = {};
        }
    }
}

base::duration coordinator::look_interval(const ready_step& ready) const
{
    const bool is_always_looked_at = ready.priority == 0 || ready.is_restart;
    return is_always_looked_at ? base::duration{0}
                               : base::duration{m_settings.planner.look_interval};
}

obstacle coordinator::plan_step(base::time_point now, const step_key& planned, std::int64_t budget)
{
    const auto key = planned;
    auto& ready = m_ready.at(key);
    const auto* const job = m_ledger.find(key.job);
    if (job == nullptr || is_final(job->state) || job->step(key.occurrence, key.step).undone == 0) {
        remove_ready_step(key);
        return obstacle::none;
    }
    planned_step step{*job,
                      key,
                      job->spec.steps[key.step],
                      job->step(key.occurrence, key.step),
                      pool_of(job->spec),
                      budget,
                      std::nullopt};
    step.needed_speed = needed_speed_of(step);
    if (now < ready.not_before) {
        m_needs_planning = true;
        return obstacle::none;
    }
    // The capacity for a gang stays reserved on the workers that the open call names: its tickets
    // are valid there only.
    const bool waits_for_gang =
        step.spec.gang && (step.record.placed > 0 || m_advice.is_call_open(key));
    if (waits_for_gang || m_advice.is_first_call_open(key)) {
        return obstacle::none;
    }
    const bool is_call_open = m_advice.is_call_open(key);
    if (!is_call_open) {
        release_reservation(key);
    }
    if (is_stopped_by_limit(step)) {
        ready.next_look = now + look_interval(ready);
        ready.waiting_use = 0;
        return obstacle::account_limit;
    }
    if (!release_preempted_room(key) && !may_fit(step)) {
        ready.next_look = now + look_interval(ready);
        return preempt_for(now, step, advice_wait::none) ? obstacle::none : obstacle::no_capacity;
    }
    const auto chosen = assign(now, step, ticket_rule::valid);
    commit(now, step, chosen);
    step.budget -= static_cast<std::int64_t>(chosen.size()) * ready.task_use;
    const auto waiting = static_cast<std::int64_t>(waiting_tasks(step).size());
    ready.waiting_use = ready.task_use * waiting;
    if (waiting == 0) {
        release_reservation(key);
        remove_ready_step(key);
        return obstacle::none;
    }
    if (chosen.empty()) {
        ready.next_look = now + look_interval(ready);
    }
    else if (!is_call_open && exceeds_budget(step, booked_size(step.spec))) {
        return obstacle::share;
    }
    return seek_room(now, step, ready, chosen.empty());
}

obstacle coordinator::seek_room(base::time_point now, const planned_step& step, ready_step& ready,
                                bool has_placed_none)
{
    // A step that waits for advice doesn't mean that there is no capacity for others.
    const bool waits_for_advice =
        m_advice.is_call_open(step.key)
            ? m_reserved.contains(step.key)
            : advice_for(step.job.spec) != nullptr &&
                  request_missing_advice(now, step, ready) == advice_wait::open;
    const bool has_room_coming =
        preempt_for(now, step, waits_for_advice ? advice_wait::open : advice_wait::none);
    return has_placed_none && !waits_for_advice && !has_room_coming ? obstacle::no_capacity
                                                                    : obstacle::none;
}

bool coordinator::is_stopped_by_limit(const planned_step& step)
{
    auto needed = booked_size(step.spec);
    if (step.spec.gang) {
        const std::int64_t members = step.record.undone;
        needed = {needed.millicores * members, needed.memory_mb * members,
                  needed.accelerators * members};
    }
    if (is_within_limit(step.job.spec.account, needed)) {
        return false;
    }
    const auto* const policy = advice_for(step.job.spec);
    if (policy != nullptr && m_advice.find(step.key) == nullptr &&
        !m_advice.is_call_open(step.key)) {
        request_advice_on_unknown_workers(step.key, step.job.spec, step.pool, *policy,
                                          call_rank_of(m_ready.at(step.key)));
    }
    return true;
}

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

bool coordinator::may_fit(const planned_step& step) const
{
    const auto* const total = m_candidates.pool(step.pool);
    return total != nullptr && booked_size(step.spec).millicores <= total->largest_free;
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
    const auto found = m_catalog->accounts.find(account);
    if (found == m_catalog->accounts.end()) {
        return true;
    }
    const auto& limit = found->second.limit;
    auto used = m_ledger.used_by(account) + more;
    if (const auto planned = m_planned_by.find(account); planned != m_planned_by.end()) {
        used += planned->second;
    }
    return (limit.millicores == 0 || used.millicores <= limit.millicores) &&
           (limit.memory_mb == 0 || used.memory_mb <= limit.memory_mb) &&
           (limit.accelerators == 0 || used.accelerators <= limit.accelerators);
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

void coordinator::commit(base::time_point now, const planned_step& step,
                         const std::vector<assignment>& chosen)
{
    if (chosen.empty()) {
        return;
    }
    const auto booked = booked_size(step.spec);
    std::uint32_t attempt = 0;
    for (const auto& task : step.record.tasks) {
        attempt = std::max(attempt, task.attempt);
    }
    auto* operation = add_operation().mutable_place();
    for (const auto& one : chosen) {
        const task_key key{step.key.job, step.key.occurrence, step.key.step, one.index};
        // Members of a gang share the number of their attempt.
        const auto number = (step.spec.gang ? attempt : step.record.tasks[one.index].attempt) + 1;
        auto& placement = *operation->add_placements();
        *placement.mutable_task() = jobs::to_proto(run_key{key, number});
        placement.set_worker(one.worker->info->id.str());
        placement.set_born_ms(one.worker->info->started_at.time_since_epoch().count());
        m_candidates.book(*one.worker, booked);
        m_planned_by[step.job.spec.account] += booked;
        const auto& task = step.record.tasks[one.index];
        m_planned.emplace(key, planned_run{one.worker->info->id, one.worker, booked,
                                           step.job.spec.account, task.crashes.count});
        isolate(now, one.worker->info->id, key, task);
    }
    m_out.log_entries.push_back(
        {"tasks_placed", step.key.job,
         absl::StrCat("step=", step.key.step, " tasks=", chosen.size(),
                      " first_worker=", chosen.front().worker->info->id.str(),
                      " free_millicores=", m_candidates.pool(step.pool)->free.millicores)});
}

void coordinator::remove_planned_run(const task_key& key)
{
    const auto found = m_planned.find(key);
    if (found == m_planned.end()) {
        return;
    }
    m_candidates.release(*found->second.candidate, found->second.size);
    m_planned_by[found->second.account] -= found->second.size;
    m_planned.erase(found);
}

} // namespace lovagebeam::jobs
