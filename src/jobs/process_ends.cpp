#include "lovagebeam/jobs/worker_table.h"

#include "format_run.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// What happens to the runs of a worker whose process has ended.

namespace lovagebeam::jobs {

bool worker_table::has_begun(const entry& worker, const run_key& run)
{
    const auto start = worker.starts.find(run);
    return worker.running.contains(run) ||
           (start != worker.starts.end() && start->second.answered_at);
}

std::vector<crashed_run> worker_table::runs_at_end(const entry& worker, base::time_point now) const
{
    const auto ended_at = worker.contact_lost_at.value_or(now);
    // While a worker is cut off, its runs may end without the leader's knowledge.
    const bool has_vanished = worker.contact_lost_by == hold_outcome::closed ||
                              worker.contact_lost_by == hold_outcome::refused;
    const bool is_current = has_vanished || now - ended_at <= m_settings.crash_evidence_age;
    std::vector<crashed_run> out;
    for (const auto& key : m_ledger.placed_on(worker.info.id)) {
        const auto& task = *m_ledger.find(key);
        crashed_run ended{{key, task.attempt}, task.crashes, task.failures,
                          std::nullopt,        false,        false};
        if (task.worker_started_at != worker.info.started_at ||
            worker.reported_ends.contains(ended.run) || m_unsent.contains(ended.run)) {
            continue;
        }
        const auto start = worker.starts.find(ended.run);
        const bool is_from_earlier_leader = start == worker.starts.end();
        if (!is_from_earlier_leader && start->second.sent_at <= ended_at) {
            const auto ran = ended_at - start->second.sent_at;
            ended.ran = std::chrono::duration_cast<milliseconds>(ran);
        }
        else if (!is_from_earlier_leader && !has_begun(worker, ended.run)) {
            // Sent to a process that had ended.
            continue;
        }
        const auto& step = m_ledger.find(key.job)->spec.steps[key.step];
        ended.is_gang_member = step.gang;
        ended.is_long_running = step.long_running;
        ended.has_begun = is_current && has_begun(worker, ended.run);
        out.push_back(ended);
    }
    return out;
}

bool worker_table::has_placement_on(const base::worker_id& id, base::wall_time started_at) const
{
    return std::ranges::any_of(m_ledger.placed_on(id), [&](const task_key& key) {
        return m_ledger.find(key)->worker_started_at == started_at;
    });
}

const worker_table::process_end& worker_table::end_process(entry& worker, base::time_point now)
{
    if (worker.end) {
        return *worker.end;
    }
    process_end end;
    end.was_leaving =
        worker.info.draining || m_ledger.has_departed(worker.info.id, worker.info.started_at);
    const auto runs = runs_at_end(worker, now);
    const auto verdicts = judge_crash(m_settings.crashes, runs);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        end.crashes.emplace(runs[i].run, run_crash{runs[i].ran, verdicts[i]});
    }
    return worker.end.emplace(std::move(end));
}

const worker_table::process_end* worker_table::end_of(const entry& worker,
                                                      base::wall_time started_at)
{
    if (started_at == worker.info.started_at) {
        return worker.end ? &*worker.end : nullptr;
    }
    const auto found = worker.earlier_ends.find(started_at);
    return found == worker.earlier_ends.end() ? nullptr : &found->second;
}

crash_verdict worker_table::judge_unseen(const run_key& run) const
{
    const auto& task = *m_ledger.find(run.task);
    crashed_run unseen{run, task.crashes, task.failures, std::nullopt, false, false};
    unseen.is_long_running = m_ledger.find(run.task.job)->spec.steps[run.task.step].long_running;
    return judge_crash(m_settings.crashes, {unseen}).front();
}

void worker_table::report_process_end(entry& worker, const run_key& run)
{
    const auto instance = m_ledger.find(run.task)->worker_started_at;
    const auto* const end = end_of(worker, instance);
    const bool was_leaving =
        end != nullptr ? end->was_leaving : m_ledger.has_departed(worker.info.id, instance);
    if (was_leaving || m_unsent.contains(run) || (end != nullptr && !end->crashes.contains(run))) {
        report(worker, run, end_kind::lost);
        return;
    }
    // Of an instance that ended under an earlier leader, the other runs aren't known any more.
    const auto crash =
        end != nullptr ? end->crashes.at(run) : run_crash{std::nullopt, judge_unseen(run)};
    report(worker, {run, worker.info.id, end_kind::crashed, {}, crash.ran, crash.verdict});
}

// Nobody knows whether the worker crashed or is cut off. Silence alone makes no task a suspect, but
// one under which several workers crashed may be the reason for this one's.
void worker_table::end_lapsed_placements(entry& worker)
{
    for (const auto& key : m_ledger.placed_on(worker.info.id)) {
        const auto& task = *m_ledger.find(key);
        end_report end{{key, task.attempt}, worker.info.id, end_kind::lapsed, {}, {}, {}};
        if (task.crashes.count >= m_settings.crashes.suspicious_crashes) {
            end.verdict = judge_unseen(end.run);
        }
        report(worker, std::move(end));
    }
}

// Runs of the worker's process ended with it. A start that may still be in transit, including one
// of an earlier leader, could begin in the next process with the same id, so its placement is
// retained until that process is seen or the lease expires.
void worker_table::end_process_runs(entry& worker, base::time_point now)
{
    const auto& placed = m_ledger.placed_on(worker.info.id);
    m_out.log_entries.push_back({"worker_process_ended", std::nullopt,
                                 absl::StrCat("worker=", worker.info.id.str(),
                                              " refused_connections=", worker.refused_connections,
                                              " placed=", placed.size())});
    end_process(worker, now);
    for (const auto& key : placed) {
        const auto& task = *m_ledger.find(key);
        const run_key run{key, task.attempt};
        if (has_begun(worker, run) && task.worker_started_at == worker.info.started_at) {
            report_process_end(worker, run);
        }
    }
}

} // namespace lovagebeam::jobs
