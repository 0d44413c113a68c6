#include "lovagebeam/jobs/coordinator.h"

#include "objectives.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
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
        const auto outcome = plan_step(now, *step);
        if (outcome == obstacle::no_capacity) {
            m_last_shortage = now;
            if (!pass.is_full() && is_short(now)) {
                pass.set_full();
            }
        }
        pass.on_planned(outcome);
        hold_for_gang(now, step->key);
    }
    plan_steps_with_room(now);
    log_shares(pass);
    log_passed_over(now, pass);
    if (pass.has_left_out()) {
        m_continue_plan = now + m_settings.planner.look_interval;
    }
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
            static_cast<void>(plan_step(now, {key, false, false, budget}));
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

obstacle coordinator::plan_step(base::time_point now, const planning_order::next_step& next)
{
    const auto key = next.key;
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
                      next.budget,
                      next.is_resumed,
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
        set_waiting_use(ready, 0);
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
    set_waiting_use(ready, ready.task_use * waiting);
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
    const auto needed = step.spec.gang ? total_size(step) : booked_size(step.spec);
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

bool coordinator::may_fit(const planned_step& step) const
{
    const auto* const total = m_candidates.pool(step.pool);
    return total != nullptr && booked_size(step.spec).millicores <= total->largest_free.millicores;
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
