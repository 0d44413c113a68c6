#include "lovagebeam/jobs/worker_table.h"

#include "format_run.h"
#include "scheduling_ids.h"

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
    read_hold(*worker, now, sent, order, outcome, answer);
    report_usability(*worker, now);
}

void worker_table::read_hold(entry& worker, base::time_point now, base::time_point sent,
                             const hold_order& order, hold_outcome outcome,
                             const hold_answer& answer)
{
    if (order.is_check && outcome != hold_outcome::answered && outcome != hold_outcome::gone) {
        return;
    }
    worker.is_hold_open = order.is_check && worker.is_hold_open;
    if (outcome != hold_outcome::answered && !worker.contact_lost_at) {
        worker.contact_lost_at = now;
        worker.contact_lost_by = outcome;
    }
    if (outcome == hold_outcome::gone) {
        end_process(worker, now);
        for (const auto& key : m_ledger.placed_on(worker.info.id)) {
            report_process_end(worker, {key, m_ledger.find(key)->attempt});
        }
        worker.is_removed = true;
        worker.is_fenced = false;
        worker.next_hold = now + m_settings.max_lease;
        return;
    }
    if (outcome != hold_outcome::answered) {
        read_failed_hold(worker, now, outcome);
        return;
    }
    if (answer.started_at != worker.info.started_at) {
        worker_info restarted = worker.info;
        restarted.started_at = answer.started_at;
        on_worker(now, restarted);
        // Placements name the instance that the ledger has.
        worker.is_registered = false;
        return;
    }
    worker.is_successor = false;
    worker.is_fenced = worker.is_fenced || order.token == worker.token;
    worker.has_missed_hold = false;
    worker.has_closed_connection = false;
    worker.refused_connections = 0;
    worker.contact_lost_at.reset();
    worker.end.reset();
    worker.unanswered_since.reset();
    worker.last_contact = now;
    worker.clock = answer.clock;
    worker.clock_read = now;
    read_finished(worker, now, answer);
    read_running(worker, now, answer);
    if (answer.may_lack_ends) {
        m_out.log_entries.push_back(
            {"ends_listed_in_part", std::nullopt,
             absl::StrCat("worker=", worker.info.id.str(), " ends=", answer.finished.size(),
                          " last=", worker.last_listed_end, " committed=", worker.cursor)});
    }
    resolve_placements(worker, now, sent, answer);
    worker.next_hold = worker.last_listed_end > worker.cursor ? now + m_settings.end_commit_timeout
                                                              : base::time_point{};
}

void worker_table::read_failed_hold(entry& worker, base::time_point now, hold_outcome outcome)
{
    const bool is_closed = outcome == hold_outcome::closed;
    if (!worker.has_missed_hold) {
        // The worker may have restarted: its new process has to refuse earlier orders from the next
        // hold on.
        raise_token(worker);
    }
    worker.has_missed_hold = true;
    worker.has_closed_connection = worker.has_closed_connection || is_closed;
    worker.next_hold = now + (is_closed ? m_settings.closed_retry : m_settings.hold_retry);
    worker.refused_connections =
        outcome == hold_outcome::refused ? worker.refused_connections + 1 : 0;
    if (worker.has_closed_connection &&
        worker.refused_connections == m_settings.max_refused_connections) {
        end_process_runs(worker, now);
    }
}

void worker_table::read_finished(entry& worker, base::time_point now, const hold_answer& answer)
{
    const auto before = worker.last_listed_end;
    bool needs_commit = false;
    for (const auto& row : answer.finished) {
        if (row.number <= before) {
            continue;
        }
        worker.last_listed_end = std::max(worker.last_listed_end, row.number);
        worker.stop_sent_at.erase(row.run);
        confirm_start(worker, row.run, m_ledger.find(row.run.task.job));
        const auto* const task = m_ledger.find(row.run.task);
        if (task != nullptr && task->placed && task->attempt == row.run.attempt &&
            task->worker == worker.info.id) {
            needs_commit = true;
            report(worker, {row.run, worker.info.id, row.how, row.checkpoint, std::nullopt,
                            crash_verdict::unrelated, duration_of(worker, now, row.run)});
            update_health(worker, now, row.run, row.how);
        }
    }
    if (worker.last_listed_end == before) {
        return;
    }
    if (!needs_commit && before == worker.cursor) {
        worker.cursor = worker.last_listed_end;
        return;
    }
    m_out.cursors.push_back({worker.info.id, worker.info.started_at, worker.last_listed_end});
}

std::optional<base::duration> worker_table::duration_of(const entry& worker, base::time_point now,
                                                        const run_key& run) const
{
    const auto start = worker.starts.find(run);
    const auto& step = m_ledger.find(run.task.job)->spec.steps[run.task.step];
    const bool is_remote = !step.preferred_rack.empty() && step.preferred_rack != worker.info.rack;
    if (start == worker.starts.end() || !start->second.answered_at || is_remote ||
        !m_ledger.find(run.task)->checkpoint.empty()) {
        return std::nullopt;
    }
    return now - *start->second.answered_at;
}

bool worker_table::is_wanted(const entry& worker, const run_key& run, const job_record* job) const
{
    const auto* const task = m_ledger.find(run.task);
    return task != nullptr && task->placed && !task->done && task->attempt == run.attempt &&
           task->worker == worker.info.id && task->worker_started_at == worker.info.started_at &&
           !is_final(job->state);
}

void worker_table::read_running(entry& worker, base::time_point now, const hold_answer& answer)
{
    worker.running.clear();
    for (const auto& row : answer.running) {
        worker.running.emplace(row.run, row);
        const auto* const job = m_ledger.find(row.run.task.job);
        confirm_start(worker, row.run, job);
        note_checkpoint(worker, now, row);
        if (is_wanted(worker, row.run, job)) {
            watch_progress(worker, now, row, job->spec.steps[row.run.task.step]);
            continue;
        }
        if (!ends_soon(worker, now, row.run)) {
            send_stop(worker, now, row.run);
        }
    }
}

// The members of a gang end by themselves once one of them is done, so they are not stopped at
// once.
bool worker_table::ends_soon(entry& worker, base::time_point now, const run_key& run) const
{
    const auto* const task = m_ledger.find(run.task);
    return task != nullptr && task->done && task->attempt == run.attempt &&
           now - worker.ending_since.try_emplace(run, now).first->second <
               m_settings.gang_end_timeout;
}

// A gang without progress is stopped by stopping one of its members. Its worker isn't at fault: any
// other member may be the one that the gang waits for.
void worker_table::watch_progress(entry& worker, base::time_point now, const running_row& row,
                                  const step_spec& step)
{
    if (step.long_running || step.fills) {
        return;
    }
    const auto verdict = m_progress.observe(
        now, {to_run_id(row.run), row.percent, step.gang ? step.tasks : 1, step.estimate});
    if (verdict == scheduling::progress_verdict::fine) {
        return;
    }
    const bool is_gang = verdict == scheduling::progress_verdict::gang_stalled;
    m_out.log_entries.push_back({is_gang ? "gang_stalled" : "run_stalled", row.run.task.job,
                                 absl::StrCat("run=", format_run(row.run), " worker=",
                                              worker.info.id.str(), " percent=", row.percent)});
    if (!is_gang) {
        record_failure(worker, now, row.run.task.job);
    }
    send_stop(worker, now, row.run);
}

// A run that complete lists lack and that can't begin any more has ended without a report or never
// began. Lists that may lack ends say nothing about the runs that they don't name: the rest follows
// once these ends are committed.
void worker_table::resolve_placements(entry& worker, base::time_point now, base::time_point sent,
                                      const hold_answer& answer)
{
    for (const auto& key : m_ledger.placed_on(worker.info.id)) {
        const auto& task = *m_ledger.find(key);
        const run_key run{key, task.attempt};
        const auto start = worker.starts.find(run);
        if (worker.running.contains(run) || worker.reported_ends.contains(run)) {
            if (start != worker.starts.end() && !start->second.answered_at) {
                mark_answered(worker, start->second, now);
            }
            continue;
        }
        if (answer.may_lack_ends) {
            continue;
        }
        if (task.worker_started_at != worker.info.started_at) {
            // A start that was sent to the earlier instance carries a lower token than the hold
            // that this instance has answered.
            report_process_end(worker, run);
            continue;
        }
        if (start == worker.starts.end()) {
            report(worker, run, end_kind::lost);
        }
        else if (start->second.answered_at) {
            if (*start->second.answered_at < sent) {
                report(worker, run, end_kind::lost);
            }
        }
        else if (answer.clock > start->second.deadline ||
                 (start->second.stop_answered_at && *start->second.stop_answered_at < sent)) {
            report(worker, run, end_kind::not_started);
        }
        else if (!start->second.stop_answered_at && is_doubted(start->second, now)) {
            // After the stop, a start that arrives late is refused.
            send_stop(worker, now, run);
        }
    }
}

void worker_table::update_health(entry& worker, base::time_point now, const run_key& run,
                                 end_kind how)
{
    if (how == end_kind::done) {
        worker.failed_jobs.clear();
        worker.quarantines = 0;
    }
    else if (how == end_kind::failed) {
        record_failure(worker, now, run.task.job);
    }
}

void worker_table::record_failure(entry& worker, base::time_point now, job_number job)
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
    m_unresponsive_workers = static_cast<std::size_t>(std::ranges::count_if(
        m_workers, [&](const auto& each) { return is_unresponsive(each.second, now); }));
    for (auto& [id, worker] : m_workers) {
        report_usability(worker, now);
        if (now >= worker.lease_end) {
            end_lapsed_placements(worker);
        }
        if (worker.is_removed && m_ledger.placed_on(id).empty()) {
            forgotten.push_back(id);
        }
        else if (!worker.is_hold_open && now >= worker.next_hold && worker.info.port != 0) {
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
