// Views of the scheduler for operators: explanations, team usage and metrics.
#include "lovagebeam/base/errors.h"

#include "task_control.h"

#include <boost/json.hpp>

#include <utility>

namespace lovagebeam::daemon {

using base::error_code;
using base::make_error;

absl::StatusOr<std::string> task_control::explain_job(const std::string& id) const
{
    const auto found = m_scheduler ? m_scheduler->explain(base::job_id{id}) : std::nullopt;
    if (!found) {
        return make_error(error_code::not_found, "the scheduler doesn't know job " + id);
    }
    boost::json::object out;
    out["job_id"] = id;
    out["state"] = std::string{placement::name_of(found->state)};
    out["reason"] = std::string{placement::name_of(found->why)};
    out["detail"] = found->detail;
    out["tasks_waiting"] = found->waiting;
    out["tasks_running"] = found->running;
    out["tasks_completed"] = found->completed;
    const auto now = std::chrono::steady_clock::now();
    boost::json::array history;
    for (const auto& entry : found->history) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.when);
        history.push_back(
            boost::json::object{{"ms_ago", age.count()},
                                {"reason", std::string{placement::name_of(entry.why)}},
                                {"worker", entry.worker.str()}});
    }
    out["history"] = std::move(history);
    return boost::json::serialize(out);
}

std::string task_control::list_team_use() const
{
    boost::json::array teams;
    if (m_scheduler) {
        for (const auto& team : m_scheduler->teams()) {
            teams.push_back(boost::json::object{{"team", team.team.str()},
                                                {"share", team.settings.share},
                                                {"booked_millicores", team.booked.cpu.value()},
                                                {"booked_memory_bytes", team.booked.memory.value()},
                                                {"dominant_share", team.dominant_share},
                                                {"tasks_waiting", team.waiting}});
        }
    }
    return boost::json::serialize(teams);
}

void task_control::publish_metrics()
{
    if (!m_scheduler) {
        return;
    }
    const auto fleet = m_scheduler->fleet();
    m_metrics.gauge_named("lovagebeam_workers").set(fleet.workers);
    m_metrics.gauge_named("lovagebeam_tasks{state=\"running\"}").set(fleet.running);
    m_metrics.gauge_named("lovagebeam_tasks{state=\"waiting\"}").set(fleet.waiting);
    const auto capacity = static_cast<double>(fleet.capacity.cpu.value());
    m_metrics.gauge_named("lovagebeam_booked_ratio")
        .set(capacity == 0 ? 0 : static_cast<double>(fleet.booked.cpu.value()) / capacity);
}

} // namespace lovagebeam::daemon
