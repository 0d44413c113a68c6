#include "lovagebeam/jobs/coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

// Placement of tasks under which workers have crashed. They are placed apart from each other, so
// that the next crash tells which of them causes it, and where they would take few others with
// them.

namespace lovagebeam::jobs {

std::uint32_t coordinator::most_crashes_on(const base::worker_id& worker,
                                           const planned_step& step) const
{
    std::uint32_t most = 0;
    for (const auto& key : m_ledger.suspects_on(worker)) {
        if (!is_gang_mate(step, key)) {
            most = std::max(most, m_ledger.find(key)->crashes.count);
        }
    }
    return most;
}

bool coordinator::is_gang_mate(const planned_step& step, const task_key& key)
{
    return step.spec.gang && step_of(key) == step.key;
}

std::map<const coordinator::candidate_worker*, std::uint32_t>
coordinator::planned_suspects(const planned_step& step, const std::vector<assignment>& chosen) const
{
    std::map<const candidate_worker*, std::uint32_t> out;
    for (const auto& [key, planned] : m_planned) {
        auto& most = out[planned.candidate];
        most = std::max(most, planned.crashes);
    }
    if (!step.spec.gang) {
        for (const auto& one : chosen) {
            auto& most = out[one.worker];
            most = std::max(most, step.record.tasks[one.index].crashes.count);
        }
    }
    return out;
}

coordinator::candidate_worker*
coordinator::choose_for_suspect(base::time_point now, const planned_step& step,
                                const task_record& task,
                                const std::vector<candidate_worker*>& eligible,
                                const std::map<base::worker_id, std::uint32_t>& counts,
                                const std::vector<assignment>& chosen) const
{
    const bool is_isolated = task.crashes.count >= m_settings.workers.crashes.suspicious_crashes &&
                             now < m_ready.at(step.key).isolates_until;
    const auto planned = planned_suspects(step, chosen);
    candidate_worker* best = nullptr;
    std::tuple<std::uint32_t, bool, bool, bool, std::int64_t> best_rank;
    for (auto* const one : eligible) {
        if (!accepts(step, *one, counts)) {
            continue;
        }
        const auto& info = *one->info;
        const auto starting = planned.find(one);
        const auto others = std::max(most_crashes_on(info.id, step),
                                     starting == planned.end() ? 0 : starting->second);
        // A run that starts after the isolated one would be a second possible cause.
        if (is_isolated && (others >= task.crashes.count || starting != planned.end())) {
            continue;
        }
        const auto uptime = m_workers.uptime(now, info.id);
        const bool is_fresh = !uptime || *uptime < m_settings.planner.fresh_worker;
        const bool is_far =
            !step.spec.preferred_rack.empty() && info.rack != step.spec.preferred_rack;
        // A task that has just begun there may itself be about to crash the worker.
        const bool is_unproven =
            m_workers.has_start_within(now, info.id, m_settings.workers.crashes.prompt_crash);
        const std::tuple rank{others, is_unproven, is_fresh, is_far, -one->free.millicores};
        if (best == nullptr || rank < best_rank) {
            best = one;
            best_rank = rank;
        }
    }
    return best;
}

void coordinator::isolate(base::time_point now, const base::worker_id& worker, const task_key& key,
                          const task_record& task)
{
    if (task.crashes.count < m_settings.workers.crashes.suspicious_crashes) {
        return;
    }
    const auto time =
        std::clamp(task.crashes.last_ran.value_or(milliseconds{0}) * 2,
                   m_settings.planner.min_isolation, m_settings.planner.max_isolation);
    m_isolated[worker] = {key, now + time};
    update_candidate(now, worker);
}

void coordinator::end_isolation(base::time_point now, const base::worker_id& worker,
                                const task_key& key)
{
    const auto found = m_isolated.find(worker);
    if (found != m_isolated.end() && found->second.task == key) {
        m_isolated.erase(found);
        update_candidate(now, worker);
        m_needs_planning = true;
    }
}

void coordinator::end_isolations(base::time_point now)
{
    std::vector<std::pair<base::worker_id, task_key>> over;
    for (const auto& [worker, isolated] : m_isolated) {
        if (isolated.until <= now) {
            over.emplace_back(worker, isolated.task);
        }
    }
    for (const auto& [worker, task] : over) {
        end_isolation(now, worker, task);
    }
}

} // namespace lovagebeam::jobs
