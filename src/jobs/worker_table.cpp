#include "lovagebeam/jobs/worker_table.h"

#include "format_run.h"
#include "scheduling_ids.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs {
namespace {

/// A new value moves an exponentially weighted mean by one part in this many.
constexpr int mean_weight = 16;

/// Makes an entry about a run. `detail` should be short: an entry becomes one log line.
decision_log_entry make_log_entry(std::string_view event, const run_key& run,
                                  const std::string& detail)
{
    return {event, run.task.job, absl::StrCat("run=", format_run(run), " ", detail)};
}

} // namespace

worker_table::worker_table(worker_settings settings, const ledger& records, fencing_token token,
                           base::time_point now)
    : m_settings{settings}, m_ledger{records}, m_progress{settings.progress}, m_last_token{token}
{
    for (const auto& [id, info] : records.workers()) {
        on_worker(now, info);
    }
    for (const auto id : records.open_jobs()) {
        const auto& job = *records.find(id);
        for (const auto& step : job.steps) {
            for (const auto& task : step.tasks) {
                if (task.placed && !m_workers.contains(task.worker)) {
                    worker_info unknown;
                    unknown.id = task.worker;
                    unknown.started_at = task.worker_started_at;
                    on_worker(now, unknown);
                    m_workers.at(task.worker).is_removed = true;
                }
            }
        }
    }
}

worker_table::entry* worker_table::find(const base::worker_id& id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const worker_table::entry* worker_table::find(const base::worker_id& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

worker_address worker_table::address(const entry& worker) const
{
    return {worker.info.id, worker.info.started_at, worker.info.address, worker.info.port};
}

void worker_table::on_worker(base::time_point now, const worker_info& info)
{
    auto* const known = find(info.id);
    if (known == nullptr) {
        begin_instance(m_workers[info.id], now, info);
        return;
    }
    if (info.started_at < known->info.started_at) {
        return;
    }
    if (known->info.started_at != info.started_at) {
        begin_instance(*known, now, info);
        return;
    }
    known->info = info;
    known->is_registered = true;
    known->is_removed = false;
}

void worker_table::begin_instance(entry& worker, base::time_point now, const worker_info& info)
{
    entry fresh;
    fresh.info = info;
    fresh.token = worker.token;
    raise_token(fresh);
    fresh.quarantines = worker.quarantines;
    fresh.was_usable = worker.was_usable;
    if (!worker.info.id.empty()) {
        fresh.is_successor = true;
        m_out.log_entries.push_back(
            {"worker_restarted", std::nullopt,
             absl::StrCat("worker=", info.id.str(),
                          " started_ms=", info.started_at.time_since_epoch().count(),
                          " before_ms=", worker.info.started_at.time_since_epoch().count(),
                          " token=", fresh.token.value())});
        end_process(worker, now);
        fresh.earlier_ends = std::move(worker.earlier_ends);
        fresh.earlier_ends.emplace(worker.info.started_at, std::move(*worker.end));
        std::erase_if(fresh.earlier_ends, [&](const auto& earlier) {
            return !has_placement_on(info.id, earlier.first);
        });
    }
    worker = std::move(fresh);
    worker.next_hold = now;
    const auto longest = std::chrono::duration<double, std::milli>{m_settings.max_lease} /
                         (1 - m_settings.clock_drift);
    worker.lease_end = now + std::chrono::duration_cast<base::duration>(longest);
}

// A worker that was forgotten may come back, so the first token of an entry is above those of all
// workers.
void worker_table::raise_token(entry& worker)
{
    const auto present = worker.token == fencing_token{} ? m_last_token : worker.token;
    worker.token = present.next();
    worker.is_fenced = false;
    m_last_token = std::max(m_last_token, worker.token);
}

void worker_table::on_worker_removed(const base::worker_id& id)
{
    if (auto* const worker = find(id)) {
        worker->is_removed = true;
    }
}

void worker_table::on_clock(base::time_point now, const base::worker_id& id, worker_time clock)
{
    auto* const worker = find(id);
    if (worker != nullptr && (!worker->clock_read || clock >= clock_now(*worker, now))) {
        worker->clock = clock;
        worker->clock_read = now;
    }
}

worker_time worker_table::clock_now(const entry& worker, base::time_point now) const
{
    return worker.clock + std::chrono::duration_cast<worker_time>(now - *worker.clock_read);
}

// The worker's clock may be slow by the drift, so the lease may last longer on the local clock.
void worker_table::extend_lease(entry& worker, worker_time deadline)
{
    const auto left = std::chrono::duration<double, std::milli>{deadline - worker.clock} /
                      (1 - m_settings.clock_drift);
    worker.lease_end = std::max(
        worker.lease_end, *worker.clock_read + std::chrono::duration_cast<base::duration>(left));
}

hold_order worker_table::make_hold(entry& worker, base::time_point now)
{
    hold_order order;
    order.to = address(worker);
    // The cursor of an instance that may have ended must not acknowledge ends of the next one.
    order.cursor = worker.has_missed_hold ? 0 : worker.cursor;
    order.token = worker.token;
    order.is_direct = worker.is_successor;
    // Holds to a worker that doesn't answer must not extend its leases: its placements end when the
    // leases have expired.
    if (worker.clock_read && !worker.has_missed_hold) {
        const auto lease = std::chrono::duration_cast<worker_time>(
            std::chrono::duration<double, std::milli>{m_settings.max_lease} *
            m_settings.lease_fraction);
        order.deadline = clock_now(worker, now) + lease;
        extend_lease(worker, *order.deadline);
    }
    return order;
}

void worker_table::send_hold(entry& worker, base::time_point now)
{
    auto order = make_hold(worker, now);
    // The first hold of this leader doesn't wait, so that the lists are available at once. Neither
    // does one to a worker that left the last hold unanswered.
    const bool may_wait =
        worker.is_fenced && !worker.has_missed_hold && worker.last_listed_end == worker.cursor;
    order.wait = may_wait ? m_settings.hold_wait : milliseconds{0};
    worker.is_hold_open = true;
    m_out.holds.push_back(std::move(order));
}

void worker_table::send_check(entry& worker, base::time_point now)
{
    worker.check_sent = now;
    if (is_unresponsive(worker, now)) {
        const auto unanswered =
            std::chrono::duration_cast<milliseconds>(now - *worker.unanswered_since);
        if (unanswered < m_settings.start_answer_timeout + m_settings.check_interval) {
            m_out.log_entries.push_back({"worker_in_doubt", std::nullopt,
                                         absl::StrCat("worker=", worker.info.id.str(),
                                                      " unanswered_ms=", unanswered.count())});
        }
    }
    auto order = make_hold(worker, now);
    order.is_check = true;
    // While a hold is open, the worker may have restarted unnoticed and have ended tasks since.
    order.cursor = 0;
    m_out.holds.push_back(std::move(order));
}

bool worker_table::needs_check(const entry& worker, base::time_point now) const
{
    if (!worker.is_hold_open || worker.has_missed_hold || !worker.clock_read ||
        now - worker.check_sent < m_settings.check_interval) {
        return false;
    }
    const auto clock = clock_now(worker, now);
    return is_unresponsive(worker, now) ||
           (worker.unanswered_starts > 0 &&
            std::ranges::any_of(worker.starts, [&](const auto& start) {
                return !start.second.answered_at &&
                       (clock > start.second.deadline || is_doubted(start.second, now));
            }));
}

base::duration worker_table::start_doubt() const
{
    const auto longest =
        std::chrono::duration<double, std::nano>{m_mean_start_time} * m_settings.start_doubt_factor;
    return std::clamp<base::duration>(std::chrono::duration_cast<base::duration>(longest),
                                      m_settings.min_start_doubt, m_settings.start_window);
}

bool worker_table::is_doubted(const sent_start& start, base::time_point now) const
{
    return !start.answered_at && now - start.sent_at >= start_doubt();
}

void worker_table::send_stop(entry& worker, base::time_point now, const run_key& run)
{
    auto& last = worker.stop_sent_at[run];
    if (last == base::time_point{} || now - last >= m_settings.stop_retry) {
        last = now;
        m_out.stops.push_back({address(worker), run, worker.token});
    }
}

void worker_table::stop(base::time_point now, const run_key& run)
{
    const auto* const task = m_ledger.find(run.task);
    if (task == nullptr || !task->placed || task->attempt != run.attempt) {
        return;
    }
    if (auto* const worker = find(task->worker);
        worker && worker->info.started_at == task->worker_started_at) {
        send_stop(*worker, now, run);
    }
}

std::optional<start_order> worker_table::make_start(base::time_point now, const run_key& run)
{
    const auto* const task = m_ledger.find(run.task);
    auto* const worker = task == nullptr ? nullptr : find(task->worker);
    if (worker == nullptr || worker->info.started_at != task->worker_started_at ||
        !worker->clock_read || !worker->is_fenced) {
        m_unsent.insert(run);
        return std::nullopt;
    }
    const auto deadline =
        clock_now(*worker, now) + std::chrono::duration_cast<worker_time>(m_settings.start_window);
    erase_start(*worker, run);
    worker->starts[run] = {deadline, now, std::nullopt, std::nullopt};
    ++worker->unanswered_starts;
    if (!worker->unanswered_since) {
        worker->unanswered_since = now;
    }
    extend_lease(*worker, deadline);
    start_order order;
    order.to = address(*worker);
    order.run = run;
    order.deadline = deadline;
    order.token = worker->token;
    return order;
}

void worker_table::withdraw_start(const run_key& run, const base::worker_id& id)
{
    auto* const worker = find(id);
    if (worker == nullptr) {
        return;
    }
    erase_start(*worker, run);
    if (worker->unanswered_starts == 0) {
        worker->unanswered_since.reset();
    }
    report(*worker, run, end_kind::not_started);
}

void worker_table::on_start_answer(base::time_point now, const run_key& run,
                                   const base::worker_id& id, start_outcome outcome)
{
    auto* const worker = find(id);
    if (worker == nullptr) {
        return;
    }
    const auto found = worker->starts.find(run);
    if (found == worker->starts.end()) {
        return;
    }
    if (outcome != start_outcome::unknown) {
        worker->unanswered_since.reset();
    }
    if (outcome == start_outcome::started) {
        mark_answered(*worker, found->second, now);
        confirm_start(*worker, run, m_ledger.find(run.task.job));
        m_mean_start_time += (now - found->second.sent_at - m_mean_start_time) / mean_weight;
        return;
    }
    m_out.log_entries.push_back(make_log_entry(
        "start_not_confirmed", run,
        absl::StrCat("worker=", id.str(), " outcome=", std::string{name_of(outcome)})));
    if (outcome == start_outcome::unknown) {
        return;
    }
    erase_start(*worker, run);
    report(*worker, run, end_kind::not_started);
}

void worker_table::on_stop_done(base::time_point now, const run_key& run, const base::worker_id& id)
{
    auto* const worker = find(id);
    if (worker == nullptr) {
        return;
    }
    if (const auto found = worker->starts.find(run); found != worker->starts.end()) {
        found->second.stop_answered_at = now;
        // The lists that settle the start are read without waiting for the interval of the checks.
        worker->check_sent = {};
    }
}

void worker_table::on_cursor_committed(const cursor_move& move)
{
    auto* const worker = find(move.worker);
    if (worker != nullptr && worker->info.started_at == move.started_at) {
        worker->cursor = std::max(worker->cursor, move.number);
        if (!worker->is_hold_open && worker->cursor == worker->last_listed_end) {
            worker->next_hold = base::time_point{};
        }
    }
}

void worker_table::on_end_applied(const run_key& run, const base::worker_id& id)
{
    m_unsent.erase(run);
    m_progress.forget(to_run_id(run));
    if (auto* const worker = find(id)) {
        worker->reported_ends.erase(run);
        erase_start(*worker, run);
        worker->ending_since.erase(run);
        worker->checkpoints.erase(run);
    }
}

void worker_table::report(entry& worker, const run_key& run, end_kind how, std::string checkpoint)
{
    report(worker, {run, worker.info.id, how, std::move(checkpoint), std::nullopt, {}});
}

void worker_table::report(entry& worker, end_report end)
{
    if (worker.reported_ends.emplace(end.run, end.how).second) {
        m_out.ends.push_back(std::move(end));
    }
}

bool worker_table::is_unresponsive(const entry& worker, base::time_point now) const
{
    return worker.unanswered_since &&
           now - *worker.unanswered_since >= m_settings.start_answer_timeout;
}

bool worker_table::is_usable(base::time_point now, const base::worker_id& id) const
{
    const auto* const worker = find(id);
    return worker != nullptr && is_usable(*worker, now);
}

bool worker_table::is_usable(const entry& worker, base::time_point now) const
{
    return !worker.is_removed && worker.is_registered && !worker.info.draining &&
           !m_ledger.is_evacuated(worker.info.domain) && worker.is_fenced &&
           !worker.has_missed_hold && worker.last_contact &&
           now - *worker.last_contact < m_settings.contact_timeout &&
           worker.quarantined_until <= now &&
           (!is_unresponsive(worker, now) ||
            static_cast<double>(m_unresponsive_workers) >
                m_settings.max_unresponsive_fraction * static_cast<double>(m_workers.size()));
}

void worker_table::report_usability(entry& worker, base::time_point now)
{
    if (worker.was_usable != is_usable(worker, now)) {
        worker.was_usable = !worker.was_usable;
        m_out.usability_changes.push_back(worker.info.id);
    }
}

void worker_table::mark_answered(entry& worker, sent_start& start, base::time_point now)
{
    if (!start.answered_at) {
        --worker.unanswered_starts;
    }
    start.answered_at = now;
}

void worker_table::confirm_start(const entry& worker, const run_key& run, const job_record* job)
{
    if (job != nullptr && !job->has_begun) {
        m_out.confirmed_starts.push_back({run, worker.info.id});
    }
}

void worker_table::erase_start(entry& worker, const run_key& run)
{
    const auto found = worker.starts.find(run);
    if (found != worker.starts.end()) {
        worker.unanswered_starts -= found->second.answered_at ? 0 : 1;
        worker.starts.erase(found);
    }
}

bool worker_table::is_quarantined(base::time_point now, const base::worker_id& id) const
{
    const auto* const worker = find(id);
    return worker != nullptr && worker->quarantined_until > now;
}

const std::map<run_key, running_row>& worker_table::running_on(const base::worker_id& id) const
{
    static const std::map<run_key, running_row> none;
    const auto* const worker = find(id);
    return worker == nullptr ? none : worker->running;
}

std::optional<worker_time> worker_table::uptime(base::time_point now,
                                                const base::worker_id& id) const
{
    const auto* const worker = find(id);
    return worker == nullptr || !worker->clock_read ? std::nullopt
                                                    : std::optional{clock_now(*worker, now)};
}

bool worker_table::has_start_within(base::time_point now, const base::worker_id& id,
                                    base::duration time) const
{
    const auto* const worker = find(id);
    return worker != nullptr && std::ranges::any_of(worker->starts, [&](const auto& start) {
               return now - start.second.sent_at < time;
           });
}

worker_table::output worker_table::take()
{
    return std::exchange(m_out, {});
}

} // namespace lovagebeam::jobs
