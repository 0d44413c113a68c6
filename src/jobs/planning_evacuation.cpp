#include "lovagebeam/jobs/coordinator.h"

#include "format_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// Keeps starts away from the workers of evacuated failure domains. These workers aren't usable, so
// planning passes leave them out; this file withdraws what was decided before.

namespace lovagebeam::jobs {

void coordinator::on_evacuation(base::time_point now, const base::failure_domain& domain)
{
    const auto found = m_ledger.evacuations().find(domain);
    if (found == m_ledger.evacuations().end()) {
        return;
    }
    const auto& record = found->second;
    auto& known_revision = m_evacuation.revisions[domain];
    if (std::exchange(known_revision, record.revision) == record.revision) {
        return;
    }
    std::size_t workers = 0;
    std::size_t tasks = 0;
    for (const auto& [id, info] : m_ledger.workers()) {
        if (info.domain == domain) {
            ++workers;
            tasks += m_ledger.placed_on(id).size();
            update_candidate(now, id);
        }
    }
    m_out.log_entries.push_back(
        {record.is_in_force ? "evacuation_in_force" : "evacuation_withdrawn", std::nullopt,
         absl::StrCat("domain=", domain.str(), " revision=", record.revision, " workers=", workers,
                      " tasks=", tasks)});
    if (record.is_in_force) {
        release_evacuated_capacity();
        withdraw_starts();
    }
}

void coordinator::release_evacuated_capacity()
{
    const auto is_evacuated = [this](const candidate_worker& one) {
        return one.info != nullptr && m_ledger.is_evacuated(one.info->domain);
    };
    std::vector<step_key> affected;
    for (const auto& [key, reserved] : m_reserved) {
        if (std::ranges::any_of(reserved.sizes,
                                [&](const auto& part) { return is_evacuated(*part.first); })) {
            affected.push_back(key);
        }
    }
    for (const auto& key : affected) {
        release_reservation(key);
    }
    m_advice.drop_queued_workers(
        [this](const base::worker_id& worker) { return m_ledger.is_evacuated(worker); });
}

void coordinator::withdraw_starts()
{
    if (m_ledger.evacuated_count() == 0) {
        return;
    }
    std::map<run_key, base::worker_id> withdrawn = unsent_runs_in_evacuated_domains();
    const auto is_gang = [this](const run_key& run) {
        const auto* const job = m_ledger.find(run.task.job);
        return job != nullptr && job->spec.steps[run.task.step].gang;
    };
    // A gang starts as a whole, so its other members would wait in vain.
    std::set<step_key> gangs;
    for (const auto& [run, worker] : withdrawn) {
        if (is_gang(run)) {
            gangs.insert(step_of(run.task));
        }
    }
    for (const auto& order : m_out.starts) {
        if (m_ledger.is_evacuated(order.to.worker) && is_gang(order.run)) {
            gangs.insert(step_of(order.run.task));
        }
    }
    std::erase_if(m_out.starts, [&](const start_order& order) {
        const bool is_withdrawn =
            m_ledger.is_evacuated(order.to.worker) || gangs.contains(step_of(order.run.task));
        if (is_withdrawn) {
            withdrawn.emplace(order.run, order.to.worker);
        }
        return is_withdrawn;
    });
    for (const auto& [run, worker] : withdrawn) {
        if (m_evacuation.withdrawn.insert(run).second) {
            m_workers.withdraw_start(run, worker);
            report_withheld_start(run, worker, "not_sent");
        }
    }
}

std::map<run_key, base::worker_id> coordinator::unsent_runs_in_evacuated_domains() const
{
    std::map<run_key, base::worker_id> out;
    for (const auto& run : m_workers.unsent_runs()) {
        const auto* const task = m_ledger.find(run.task);
        if (task != nullptr && task->placed && task->attempt == run.attempt &&
            m_ledger.is_evacuated(task->worker)) {
            out.emplace(run, task->worker);
        }
    }
    return out;
}

void coordinator::report_withheld_start(const run_key& run, const base::worker_id& worker,
                                        std::string_view why)
{
    ++m_out.withheld_starts;
    m_out.log_entries.push_back({"start_withdrawn", run.task.job,
                                 absl::StrCat("run=", format_run(run), " worker=", worker.str(),
                                              " why=", std::string{why})});
}

} // namespace lovagebeam::jobs
