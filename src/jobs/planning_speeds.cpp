#include "lovagebeam/jobs/coordinator.h"

#include "scheduling_ids.h"
#include "worker_choice.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

// What planning knows about the speed of workers.

namespace lovagebeam::jobs {

void coordinator::on_worker_cold(base::time_point now, const base::worker_id& worker,
                                 base::wall_time started_at, milliseconds remaining)
{
    if (!m_speeds.set_cold(now, worker, started_at, now + remaining)) {
        return;
    }
    m_next_speeds = now;
    m_needs_planning = true;
    m_out.log_entries.push_back(
        {"worker_cold", std::nullopt,
         absl::StrCat("worker=", worker.str(), " remaining_ms=", remaining.count())});
}

void coordinator::observe_run(base::time_point now, const worker_table::end_report& end)
{
    const auto* const job = m_ledger.find(end.run.task.job);
    if (job == nullptr || end.how != end_kind::done || !end.took) {
        return;
    }
    // The members of a gang wait for each other, so that the duration of one says nothing.
    const auto& key = end.run.task;
    const auto& step = job->spec.steps[key.step];
    if (step.gang || step.long_running || step.fills) {
        return;
    }
    m_speeds.observe_run(now, end.worker, m_ledger.find(key)->worker_started_at,
                         {to_step_id(step_of(key)), step.tasks, *end.took});
}

void coordinator::refresh_speeds(base::time_point now)
{
    if (now < m_next_speeds) {
        return;
    }
    m_next_speeds = now + m_settings.planner.speed_interval;
    for (const auto& change : m_speeds.update()) {
        m_out.log_entries.push_back(
            {"worker_speed_changed", std::nullopt,
             absl::StrCat("worker=", change.worker.str(),
                          " speed=", absl::StrFormat("%.2f", change.speed),
                          " class=", std::string{name_of(scheduling::class_of(change.speed))},
                          " steps=", change.steps)});
    }
    m_uneven_pools.clear();
    for (auto& candidate : m_candidates.all()) {
        if (candidate.info == nullptr) {
            continue;
        }
        candidate.speed = m_speeds.speed_at(now, candidate.info->id);
        if (candidate.is_usable &&
            scheduling::class_of(candidate.speed) != scheduling::speed_class::normal) {
            m_uneven_pools.insert(candidate.info->pool);
        }
    }
}

// A step that can't be in time on any worker needs the speed that lets it end before it is worth
// nothing, and one that is worth nothing any more takes what others leave.
std::optional<double> coordinator::needed_speed_of(const planned_step& step) const
{
    if (!m_uneven_pools.contains(step.pool)) {
        return std::nullopt;
    }
    const auto& ready = m_ready.at(step.key);
    const auto remaining = remaining_chain(step.job.spec, step.key.step);
    for (const auto end : {ready.due_by, ready.expires_at}) {
        const auto needed = needed_speed(remaining, end - m_wall);
        if (needed <= m_settings.speeds.greatest_speed) {
            return needed;
        }
    }
    return 0;
}

std::vector<std::string>
coordinator::rack_order(const planned_step& step,
                        const std::map<std::string, std::int64_t>& free) const
{
    std::vector<std::string> out;
    for (const auto& [rack, millicores] : free) {
        out.push_back(rack);
    }
    if (!step.needed_speed) {
        return out;
    }
    std::map<std::string, double> weighted;
    for (const auto& candidate : m_candidates.all()) {
        if (candidate.is_usable && candidate.info->pool == step.pool) {
            weighted[candidate.info->rack] +=
                candidate.speed * static_cast<double>(candidate.free.millicores);
        }
    }
    std::ranges::stable_sort(out, std::greater{}, [&](const std::string& rack) {
        return weighted[rack] / static_cast<double>(std::max<std::int64_t>(free.at(rack), 1));
    });
    return out;
}

} // namespace lovagebeam::jobs
