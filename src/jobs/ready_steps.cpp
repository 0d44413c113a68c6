#include "lovagebeam/jobs/coordinator.h"

#include "objectives.h"
#include "preemption.h"

// The steps that can be planned, in the order of planning.

namespace lovagebeam::jobs {

void coordinator::add_ready_steps(const job_record& job)
{
    if (is_final(job.state)) {
        return;
    }
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& record = job.step(run, step);
            if (record.undone == 0 || !job.is_ready(run, step)) {
                continue;
            }
            const step_key key{job.spec.id, run, step};
            if (job.spec.occurrences > 0 && record.placed == 0 && !m_ready.contains(key)) {
                m_scheduled_steps.emplace(job.spec.due(run), key);
            }
            else {
                add_ready_step(job, key);
            }
        }
    }
}

void coordinator::add_ready_step(const job_record& job, const step_key& key)
{
    count_work(job, key);
    const auto from = job.spec.occurrences > 0 ? job.spec.due(key.occurrence) : job.accepted;
    ready_step ready;
    ready.ready_since = m_preemption->now;
    ready.is_gang = job.spec.steps[key.step].gang;
    ready.priority = job.spec.priority;
    ready.account = job.spec.account;
    ready.task_size = booked_size(job.spec.steps[key.step]);
    ready.task_use = counted_use(ready.task_size);
    const auto chains = remaining_chains(job.spec, advice_time(advice_for(job.spec)), m_estimates);
    const auto longest = longest_chain(chains);
    ready.due_by = from + objective_of(job.spec, longest, 1);
    ready.late_at = ready.due_by - chains[key.step];
    ready.expires_at = from + objective_of(job.spec, longest, m_settings.planner.expiry_objectives);
    const auto& record = job.step(key.occurrence, key.step);
    if (const auto [added, is_new] = m_ready.emplace(key, ready); is_new) {
        set_waiting_use(added->second,
                        ready.task_use * (std::int64_t{record.undone} - record.placed));
        m_order.insert(ready.account, rank_of(key, ready), ready.task_size);
        m_demotions.emplace(ready.late_at, key);
    }
    promote_restart(key);
}

step_order::step_rank coordinator::rank_of(const step_key& key, const ready_step& ready)
{
    return {ready.is_expired, ready.priority, !ready.is_restart, ready.is_late, ready.due_by, key};
}

void coordinator::remove_ready_step(const step_key& key)
{
    const auto found = m_ready.find(key);
    if (found != m_ready.end()) {
        m_order.erase(found->second.account, rank_of(key, found->second));
        m_demotions.erase(
            {found->second.is_late ? found->second.expires_at : found->second.late_at, key});
        release_preempted_room(key);
        m_preemption->needs.erase(key);
        set_waiting_use(found->second, 0);
        m_ready.erase(found);
    }
}

void coordinator::demote_late_steps(base::wall_time wall)
{
    while (!m_demotions.empty() && m_demotions.begin()->first <= wall) {
        const auto key = m_demotions.begin()->second;
        m_demotions.erase(m_demotions.begin());
        auto& ready = m_ready.at(key);
        m_order.erase(ready.account, rank_of(key, ready));
        if (ready.is_late) {
            ready.is_expired = true;
            m_forecast.expire(key.job.value(), key.occurrence);
        }
        else {
            ready.is_late = true;
            m_demotions.emplace(ready.expires_at, key);
        }
        m_order.insert(ready.account, rank_of(key, ready), ready.task_size);
        m_advice.change_rank(key, call_rank_of(ready));
    }
}

void coordinator::add_due_steps(base::wall_time wall)
{
    while (!m_scheduled_steps.empty() &&
           m_scheduled_steps.begin()->first + m_settings.planner.due_margin <= wall) {
        const auto key = m_scheduled_steps.begin()->second;
        m_scheduled_steps.erase(m_scheduled_steps.begin());
        const auto* const job = m_ledger.find(key.job);
        if (job != nullptr && !is_final(job->state)) {
            add_ready_step(*job, key);
            m_needs_planning = true;
        }
    }
}

void coordinator::remove_job(const job_record& job)
{
    stop_counting(job);
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const step_key key{job.spec.id, run, step};
            remove_ready_step(key);
            m_avoided.erase(key);
            release_reservation(key);
            m_advice.forget(key);
        }
    }
    std::erase_if(m_evacuation.withdrawn,
                  [&](const run_key& run) { return run.task.job == job.spec.id; });
    std::erase_if(m_scheduled_steps,
                  [&](const auto& entry) { return entry.second.job == job.spec.id; });
    m_preemption->planner.forget(job.spec.id.value());
    m_order.forget(job.spec.id);
}

} // namespace lovagebeam::jobs
