#include "gang_planner.h"
#include "lifecycle.h"

namespace lovagebeam::placement::internal {

namespace {

/// Explanations of final jobs that are retained.
constexpr std::size_t max_retained_explanations = 10000;

} // namespace

void lifecycle::finish(slot at, job_state state, reason why)
{
    m_dispatcher.drop_pending(at);
    m_gangs.remove(at);
    m_state.record_reason(at, why);
    job_record& job = m_state.jobs[at];
    if (job.state != state) {
        job.state = state;
        m_state.output.jobs.push_back({job.spec.id, state, why, {}});
    }
    m_final[job.spec.id.str()] = describe(at);
    m_final_order.push_back(job.spec.id);
    if (m_final_order.size() > max_retained_explanations) {
        m_final.erase(m_final_order.front().str());
        m_final_order.pop_front();
    }
    m_state.job_by_id.erase(job.spec.id.str());
    m_state.jobs.remove(at);
}

explanation lifecycle::describe(slot at) const
{
    const job_record& job = m_state.jobs[at];
    explanation result;
    result.job = job.spec.id;
    result.state = job.state;
    result.why = job.why;
    result.detail = "size=[" + text_of(job.size) + "] team=" + job.spec.team.str();
    result.waiting = static_cast<std::uint32_t>(job.pending.size());
    result.running = static_cast<std::uint32_t>(job.placements.size());
    result.completed = job.completed_count;
    for (const history_entry& entry : job.history.oldest_first()) {
        result.history.push_back(
            {entry.when, entry.why,
             entry.worker == no_slot ? base::worker_id{} : m_state.workers[entry.worker].id});
    }
    return result;
}

std::optional<explanation> lifecycle::explain(const base::job_id& id) const
{
    const slot at = m_state.find_job(id);
    if (at != no_slot) {
        return describe(at);
    }
    const auto final = m_final.find(id.str());
    return final == m_final.end() ? std::nullopt : std::optional{final->second};
}

} // namespace lovagebeam::placement::internal
