#include "lovagebeam/jobs/coordinator.h"

#include "format_run.h"
#include "preemption.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// Runs from their committed placement to their committed end.

namespace lovagebeam::jobs {
namespace {

namespace pb = proto::jobs;

end_kind from_proto(pb::EndKind kind)
{
    return static_cast<end_kind>(static_cast<int>(kind) - 1);
}

/// Whether a run with this end never began; the next attempt is then delayed.
bool never_began(pb::EndKind how)
{
    return how == pb::END_KIND_NOT_STARTED || how == pb::END_KIND_ALONE;
}

} // namespace

void coordinator::stop_job(base::time_point now, const job_record& job)
{
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            stop_gang(now, job, {job.spec.id, run, step});
        }
    }
}

void coordinator::stop_gang(base::time_point now, const job_record& job, const step_key& key)
{
    const auto& tasks = job.step(key.occurrence, key.step).tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].placed && !tasks[index].done) {
            m_workers.stop(now, {{key.job, key.occurrence, key.step, index}, tasks[index].attempt});
        }
    }
}

void coordinator::on_placed(base::time_point now, const pb::PlaceTasks& operation)
{
    const bool is_evacuated = m_ledger.names_evacuated_worker(operation);
    for (const auto& placement : operation.placements()) {
        const auto run = jobs::from_proto(placement.task());
        remove_planned_run(run.task);
        const auto* const task = m_ledger.find(run.task);
        const auto* const job = m_ledger.find(run.task.job);
        update_candidate(now, base::worker_id{placement.worker()});
        if (job == nullptr || is_final(job->state)) {
            continue;
        }
        count_work(*job, step_of(run.task));
        if (task->placed && task->attempt == run.attempt) {
            send_start(now, run);
        }
        else {
            if (is_evacuated) {
                report_withheld_start(run, base::worker_id{placement.worker()}, "not_placed");
            }
            end_isolation(now, base::worker_id{placement.worker()}, run.task);
            add_ready_step(*job, step_of(run.task));
        }
    }
}

void coordinator::send_start(base::time_point now, const run_key& run)
{
    const auto& job = *m_ledger.find(run.task.job);
    const auto& task = *m_ledger.find(run.task);
    auto order = m_workers.make_start(now, run);
    if (!order) {
        return;
    }
    if (advice_for(job.spec) != nullptr) {
        const auto* const known = m_advice.find(step_of(run.task));
        const auto ticket =
            known == nullptr ? decltype(known->allowed.end()){} : known->allowed.find(task.worker);
        if (known != nullptr && ticket != known->allowed.end()) {
            order->ticket = ticket->second.text;
        }
    }
    order->payload = job.spec.payload;
    order->checkpoint = task.checkpoint;
    m_out.starts.push_back(*std::move(order));
}

void coordinator::on_ended(base::time_point now, const pb::EndTask& operation)
{
    const auto run = jobs::from_proto(operation.task());
    const base::worker_id worker{operation.worker()};
    const bool was_preempted = end_preemption(run, worker, operation.how());
    m_workers.on_end_applied(run, worker);
    end_isolation(now, worker, run.task);
    update_candidate(now, worker);
    const auto* const job = m_ledger.find(run.task.job);
    if (job == nullptr) {
        return;
    }
    auto detail = absl::StrCat("run=", format_run(run), " worker=", worker.str(),
                               " how=", std::string{name_of(from_proto(operation.how()))});
    if (operation.how() == pb::END_KIND_CRASHED ||
        operation.crash_verdict() != pb::CRASH_VERDICT_UNRELATED) {
        const auto verdict = static_cast<crash_verdict>(operation.crash_verdict());
        absl::StrAppend(&detail, " ran_ms=", operation.ran_ms(),
                        " crashes=", m_ledger.find(run.task)->crashes.count,
                        " verdict=", std::string{name_of(verdict)});
    }
    absl::StrAppend(&detail, " state=", std::string{name_of(job->state)});
    m_out.log_entries.push_back({"run_ended", run.task.job, std::move(detail)});
    if (is_final(job->state)) {
        remove_job(*job);
        stop_job(now, *job);
        return;
    }
    count_work(*job, step_of(run.task));
    const auto& step = job->step(run.task.occurrence, run.task.step);
    if (step.undone == 0) {
        m_advice.forget(step_of(run.task));
        add_ready_steps(*job);
    }
    else if (!step.tasks[run.task.index].done) {
        on_run_incomplete(now, *job, run, worker, operation.how(), was_preempted);
    }
}

void coordinator::on_run_incomplete(base::time_point now, const job_record& job, const run_key& run,
                                    const base::worker_id& worker, pb::EndKind how,
                                    bool was_preempted)
{
    const auto key = step_of(run.task);
    if (how == pb::END_KIND_FAILED || (how == pb::END_KIND_STOPPED && !was_preempted)) {
        m_avoided[key].insert(worker);
    }
    if (job.spec.steps[key.step].gang) {
        stop_gang(now, job, key);
    }
    add_ready_step(job, key);
    auto& ready = m_ready.at(key);
    if (how == pb::END_KIND_CRASHED) {
        ready.isolates_until = now + m_settings.planner.isolation_wait;
    }
    const bool is_withdrawn = m_evacuation.withdrawn.erase(run) > 0;
    if (never_began(how) && !is_withdrawn && ready.refused_starts++ > 0) {
        const auto doublings = std::min(ready.refused_starts - 2, 6U);
        ready.not_before = now + std::min(m_settings.planner.retry_max,
                                          m_settings.planner.retry_first * (1 << doublings));
    }
}

} // namespace lovagebeam::jobs
