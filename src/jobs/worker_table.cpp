#include "lovagebeam/jobs/worker_table.h"

#include "text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs {
namespace {

/// A note is kept short: it becomes one log line.
decision_log_entry note(std::string_view event, const run_key& run, const std::string& detail)
{
    return {event, run.task.job, absl::StrCat("run=", text_of(run), " ", detail)};
}

} // namespace

worker_table::worker_table(worker_settings settings, const ledger& records, fencing_token token,
                           base::time_point now)
    : m_settings{settings}, m_ledger{records}, m_token{token}
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
                    unknown.started_at = task.started_at;
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

std::optional<worker_address> worker_table::address_of(const base::worker_id& id) const
{
    const auto* const worker = find(id);
    return worker == nullptr ? std::nullopt : std::optional{address(*worker)};
}

void worker_table::on_worker(base::time_point now, const worker_info& info)
{
    auto* const known = find(info.id);
    if (known == nullptr) {
        begin_life(m_workers[info.id], now, info);
        return;
    }
    if (info.started_at < known->info.started_at) {
        return;
    }
    if (known->info.started_at != info.started_at) {
        begin_life(*known, now, info);
        return;
    }
    known->info = info;
    known->is_removed = false;
}

void worker_table::begin_life(entry& worker, base::time_point now, const worker_info& info)
{
    entry fresh;
    fresh.info = info;
    fresh.quarantines = worker.quarantines;
    fresh.carried = std::move(worker.carried);
    for (const auto& [run, start] : worker.starts) {
        // A start that was answered but never listed may have been carried out by the new life.
        if (!worker.running.contains(run)) {
            fresh.carried.emplace(run, std::nullopt);
        }
    }
    for (auto& [run, barred] : fresh.carried) {
        barred.reset();
    }
    worker = std::move(fresh);
    worker.next_hold = now;
    const auto longest = std::chrono::duration<double, std::milli>{m_settings.max_lease} /
                         (1 - m_settings.clock_drift);
    worker.lease_end = now + std::chrono::duration_cast<base::duration>(longest);
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

// A worker's clock may be slow by the drift, so the lease may last longer on ours.
void worker_table::extend(entry& worker, worker_time deadline)
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
    // The numbers of a life that may have ended mustn't acknowledge ends of the next one.
    order.cursor = worker.is_silent ? 0 : worker.cursor;
    order.token = m_token;
    // A worker that doesn't answer must be given up once its leases have lapsed, so that holds to
    // it don't extend them.
    if (worker.clock_read && !worker.is_silent) {
        const auto lease = std::chrono::duration_cast<worker_time>(
            std::chrono::duration<double, std::milli>{m_settings.max_lease} *
            m_settings.lease_fraction);
        order.deadline = clock_now(worker, now) + lease;
        extend(worker, *order.deadline);
    }
    return order;
}

void worker_table::send_hold(entry& worker, base::time_point now)
{
    auto order = make_hold(worker, now);
    // The first hold under this leader only reads, so that the lists are there at once; so does one
    // to a worker that was silent.
    const bool may_wait = worker.is_fenced && !worker.is_silent && worker.listed == worker.cursor;
    order.wait = may_wait ? m_settings.hold_wait : milliseconds{0};
    worker.is_holding = true;
    m_out.holds.push_back(std::move(order));
}

void worker_table::send_check(entry& worker, base::time_point now)
{
    worker.check_sent = now;
    if (is_doubted(worker, now)) {
        const auto silence =
            std::chrono::duration_cast<milliseconds>(now - *worker.unanswered_since);
        if (silence < m_settings.answer_time + m_settings.check_interval) {
            m_out.log_entries.push_back({"worker_in_doubt", std::nullopt,
                                         absl::StrCat("worker=", worker.info.id.str(),
                                                      " unanswered_ms=", silence.count())});
        }
    }
    auto order = make_hold(worker, now);
    order.is_check = true;
    m_out.holds.push_back(std::move(order));
}

bool worker_table::needs_check(const entry& worker, base::time_point now) const
{
    if (!worker.is_holding || worker.is_silent || !worker.clock_read ||
        now - worker.check_sent < m_settings.check_interval) {
        return false;
    }
    const auto clock = clock_now(worker, now);
    return is_doubted(worker, now) || std::ranges::any_of(worker.starts, [&](const auto& start) {
               return !start.second.answered && clock > start.second.deadline;
           });
}

void worker_table::send_stop(entry& worker, base::time_point now, const run_key& run)
{
    auto& last = worker.stops[run];
    if (last == base::time_point{} || now - last >= m_settings.stop_retry) {
        last = now;
        m_out.stops.push_back({address(worker), run, m_token});
    }
}

void worker_table::stop(base::time_point now, const run_key& run)
{
    const auto* const task = m_ledger.find(run.task);
    if (task == nullptr || !task->placed || task->attempt != run.attempt) {
        return;
    }
    if (auto* const worker = find(task->worker);
        worker && worker->info.started_at == task->started_at) {
        send_stop(*worker, now, run);
    }
}

std::optional<worker_time> worker_table::on_start_sent(base::time_point now, const run_key& run)
{
    const auto* const task = m_ledger.find(run.task);
    auto* const worker = task == nullptr ? nullptr : find(task->worker);
    if (worker == nullptr || worker->info.started_at != task->started_at || !worker->clock_read ||
        !worker->is_fenced) {
        return std::nullopt;
    }
    const auto deadline =
        clock_now(*worker, now) + std::chrono::duration_cast<worker_time>(m_settings.start_window);
    worker->starts[run] = {deadline, std::nullopt, std::nullopt};
    if (!worker->unanswered_since) {
        worker->unanswered_since = now;
    }
    extend(*worker, deadline);
    return deadline;
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
        found->second.answered = now;
        return;
    }
    m_out.log_entries.push_back(
        note("start_not_confirmed", run,
             absl::StrCat("worker=", id.str(), " outcome=", std::string{name_of(outcome)})));
    if (outcome == start_outcome::unknown) {
        return;
    }
    worker->starts.erase(found);
    report(*worker, run, end_kind::not_started);
}

void worker_table::on_stop_done(base::time_point now, const run_key& run, const base::worker_id& id)
{
    auto* const worker = find(id);
    if (worker == nullptr) {
        return;
    }
    if (const auto found = worker->starts.find(run); found != worker->starts.end()) {
        found->second.barred = now;
    }
    if (const auto found = worker->carried.find(run); found != worker->carried.end()) {
        found->second = now;
    }
}

void worker_table::on_cursor_committed(const cursor_move& move)
{
    auto* const worker = find(move.worker);
    if (worker != nullptr && worker->info.started_at == move.started_at) {
        worker->cursor = std::max(worker->cursor, move.number);
        if (!worker->is_holding && worker->cursor == worker->listed) {
            worker->next_hold = base::time_point{};
        }
    }
}

void worker_table::on_end_applied(const run_key& run, const base::worker_id& id)
{
    if (auto* const worker = find(id)) {
        worker->ending.erase(run);
        worker->starts.erase(run);
        worker->carried.erase(run);
        worker->moved.erase(run);
    }
}

void worker_table::report(entry& worker, const run_key& run, end_kind how, std::string checkpoint)
{
    if (worker.ending.emplace(run, how).second) {
        m_out.ends.push_back({run, worker.info.id, how, std::move(checkpoint)});
    }
}

void worker_table::end_placements(entry& worker, end_kind how)
{
    for (const auto& key : m_ledger.placed_on(worker.info.id)) {
        report(worker, {key, m_ledger.find(key)->attempt}, how);
    }
}

bool worker_table::is_doubted(const entry& worker, base::time_point now) const
{
    return worker.unanswered_since && now - *worker.unanswered_since >= m_settings.answer_time;
}

bool worker_table::is_usable(base::time_point now, const base::worker_id& id) const
{
    const auto* const worker = find(id);
    return worker != nullptr && !worker->is_removed && !worker->info.draining &&
           worker->is_fenced && !worker->is_silent && worker->heard &&
           now - *worker->heard < m_settings.contact_time && worker->quarantined_until <= now &&
           (!is_doubted(*worker, now) ||
            static_cast<double>(m_doubted) >
                m_settings.doubted_fraction * static_cast<double>(m_workers.size()));
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

worker_table::output worker_table::take()
{
    return std::exchange(m_out, {});
}

} // namespace lovagebeam::jobs
