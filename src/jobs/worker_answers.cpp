#include "lovagebeam/jobs/worker_table.h"

#include "text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs {

void worker_table::on_hold_done(base::time_point now, base::time_point sent,
                                const hold_order& order, hold_outcome outcome,
                                const hold_answer& answer)
{
    auto* const worker = find(order.to.worker);
    if (worker == nullptr || worker->info.started_at != order.to.started_at) {
        return;
    }
    if (order.is_check && outcome != hold_outcome::answered && outcome != hold_outcome::gone) {
        return;
    }
    worker->is_holding = order.is_check && worker->is_holding;
    if (outcome == hold_outcome::gone) {
        end_placements(*worker, end_kind::lost);
        worker->is_removed = true;
        worker->is_fenced = false;
        worker->next_hold = now + m_settings.max_lease;
        return;
    }
    if (outcome != hold_outcome::answered) {
        worker->is_silent = true;
        worker->next_hold = now + m_settings.hold_retry;
        worker->refusals = outcome == hold_outcome::refused ? worker->refusals + 1 : 0;
        if (worker->refusals == m_settings.refusals_of_ended) {
            end_process(*worker);
        }
        return;
    }
    if (answer.started_at != worker->info.started_at) {
        worker_info reborn = worker->info;
        reborn.started_at = answer.started_at;
        on_worker(now, reborn);
        return;
    }
    worker->is_fenced = true;
    worker->is_silent = false;
    worker->refusals = 0;
    worker->unanswered_since.reset();
    worker->heard = now;
    worker->clock = answer.clock;
    worker->clock_read = now;
    read_finished(*worker, now, answer);
    read_running(*worker, now, answer);
    settle(*worker, now, sent, answer);
    worker->next_hold =
        worker->listed > worker->cursor ? now + m_settings.commit_patience : base::time_point{};
}

// What ran in the worker's process ended with it. A start that may still be under way, also one of
// an earlier leader, could begin in the next process under the same id, so its placement waits for
// that one or for the lease.
void worker_table::end_process(entry& worker)
{
    const auto& placed = m_ledger.placed_on(worker.info.id);
    m_out.log_entries.push_back(
        {"worker_process_ended", std::nullopt,
         absl::StrCat("worker=", worker.info.id.str(), " refused_connections=", worker.refusals,
                      " placed=", placed.size())});
    for (const auto& key : placed) {
        const auto& task = *m_ledger.find(key);
        const run_key run{key, task.attempt};
        const auto start = worker.starts.find(run);
        const bool has_begun = worker.running.contains(run) ||
                               (start != worker.starts.end() && start->second.answered);
        if (has_begun && task.started_at == worker.info.started_at) {
            report(worker, run, end_kind::lost);
        }
    }
}

void worker_table::read_finished(entry& worker, base::time_point now, const hold_answer& answer)
{
    const auto before = worker.listed;
    bool needs_commit = false;
    for (const auto& row : answer.finished) {
        if (row.number <= before) {
            continue;
        }
        worker.listed = std::max(worker.listed, row.number);
        worker.stops.erase(row.run);
        const auto* const task = m_ledger.find(row.run.task);
        if (task != nullptr && task->placed && task->attempt == row.run.attempt &&
            task->worker == worker.info.id) {
            needs_commit = true;
            report(worker, row.run, row.how, row.checkpoint);
            judge(worker, now, row.run, row.how);
        }
    }
    if (worker.listed == before) {
        return;
    }
    if (!needs_commit && before == worker.cursor) {
        worker.cursor = worker.listed;
        return;
    }
    m_out.cursors.push_back({worker.info.id, worker.info.started_at, worker.listed});
}

bool worker_table::is_wanted(const entry& worker, const run_key& run) const
{
    const auto* const job = m_ledger.find(run.task.job);
    const auto* const task = m_ledger.find(run.task);
    return task != nullptr && task->placed && !task->done && task->attempt == run.attempt &&
           task->worker == worker.info.id && task->started_at == worker.info.started_at &&
           !is_final(job->state);
}

void worker_table::read_running(entry& worker, base::time_point now, const hold_answer& answer)
{
    worker.running.clear();
    for (const auto& row : answer.running) {
        worker.running.emplace(row.run, row);
        if (is_wanted(worker, row.run)) {
            watch_progress(worker, now, row);
            continue;
        }
        // A gang's members end by themselves once one of them is done, so they get some time.
        const auto* const task = m_ledger.find(row.run.task);
        const bool ends_soon = task != nullptr && task->done && task->attempt == row.run.attempt &&
                               now - worker.moved.try_emplace(row.run, progress{row.percent, now})
                                           .first->second.moved <
                                   m_settings.gang_end_time;
        if (!ends_soon) {
            send_stop(worker, now, row.run);
        }
    }
}

void worker_table::watch_progress(entry& worker, base::time_point now, const running_row& row)
{
    const auto& step = m_ledger.find(row.run.task.job)->spec.steps[row.run.task.step];
    auto& last = worker.moved.try_emplace(row.run, progress{row.percent, now}).first->second;
    if (row.percent != last.percent || step.long_running || step.fills) {
        last = {row.percent, now};
        return;
    }
    if (now - last.moved < m_settings.stall_time) {
        return;
    }
    m_out.log_entries.push_back({"run_stalled", row.run.task.job,
                                 absl::StrCat("run=", text_of(row.run), " worker=",
                                              worker.info.id.str(), " percent=", row.percent)});
    strike(worker, now, row.run.task.job);
    last.moved = now;
    send_stop(worker, now, row.run);
}

// What the lists lack and can't begin any more has ended unseen or never began.
void worker_table::settle(entry& worker, base::time_point now, base::time_point sent,
                          const hold_answer& answer)
{
    for (const auto& key : m_ledger.placed_on(worker.info.id)) {
        const auto& task = *m_ledger.find(key);
        const run_key run{key, task.attempt};
        if (worker.running.contains(run) || worker.ending.contains(run)) {
            continue;
        }
        if (task.started_at != worker.info.started_at) {
            settle_other_life(worker, now, sent, run);
            continue;
        }
        const auto start = worker.starts.find(run);
        if (start == worker.starts.end()) {
            report(worker, run, end_kind::lost);
        }
        else if (start->second.answered) {
            if (*start->second.answered < sent) {
                report(worker, run, end_kind::lost);
            }
        }
        else if (answer.clock > start->second.deadline ||
                 (start->second.barred && *start->second.barred < sent)) {
            report(worker, run, end_kind::not_started);
        }
    }
}

// This life answered under the present token, so orders of earlier leaders have no effect on it.
// One of this leader that was under way when the worker started again may still come.
void worker_table::settle_other_life(entry& worker, base::time_point now, base::time_point sent,
                                     const run_key& run)
{
    const auto carried = worker.carried.find(run);
    if (carried == worker.carried.end() || (carried->second && *carried->second < sent)) {
        report(worker, run, end_kind::lost);
    }
    else if (!carried->second) {
        send_stop(worker, now, run);
    }
}

void worker_table::judge(entry& worker, base::time_point now, const run_key& run, end_kind how)
{
    if (how == end_kind::done) {
        worker.failed_jobs.clear();
        worker.quarantines = 0;
    }
    else if (how == end_kind::failed) {
        strike(worker, now, run.task.job);
    }
}

void worker_table::strike(entry& worker, base::time_point now, job_number job)
{
    worker.failed_jobs[job] = now;
    if (worker.failed_jobs.size() < m_settings.quarantine_jobs || worker.quarantined_until > now) {
        return;
    }
    const auto in_quarantine = std::ranges::count_if(
        m_workers, [now](const auto& other) { return other.second.quarantined_until > now; });
    if (static_cast<double>(in_quarantine + 1) >
        m_settings.quarantine_fraction * static_cast<double>(m_workers.size())) {
        return;
    }
    const auto time =
        std::min(m_settings.quarantine_max,
                 m_settings.quarantine_first * (1 << std::min(worker.quarantines, 4U)));
    ++worker.quarantines;
    worker.failed_jobs.clear();
    worker.quarantined_until = now + time;
    m_out.log_entries.push_back(
        {"worker_quarantined", job,
         absl::StrCat("worker=", worker.info.id.str(), " ms=", time.count())});
}

void worker_table::tick(base::time_point now)
{
    std::vector<base::worker_id> forgotten;
    m_doubted = 0;
    for (auto& [id, worker] : m_workers) {
        m_doubted += is_doubted(worker, now) ? 1 : 0;
        const bool has_placements = !m_ledger.placed_on(id).empty();
        if (now >= worker.lease_end && has_placements) {
            end_placements(worker, end_kind::lapsed);
        }
        if (worker.is_removed && !has_placements) {
            forgotten.push_back(id);
        }
        else if (!worker.is_holding && now >= worker.next_hold && worker.info.port != 0) {
            send_hold(worker, now);
        }
        else if (needs_check(worker, now)) {
            send_check(worker, now);
        }
    }
    for (const auto& id : forgotten) {
        m_workers.erase(id);
    }
}

} // namespace lovagebeam::jobs
