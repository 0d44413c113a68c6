#include "lovagebeam/jobs/coordinator.h"

#include "format_run.h"
#include "objectives.h"
#include "preemption.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs {
namespace {

namespace pb = proto::jobs;

pb::EndKind to_proto(end_kind kind)
{
    return static_cast<pb::EndKind>(static_cast<int>(kind) + 1);
}

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

coordinator::coordinator(coordinator_settings settings, const ledger& records, fencing_token token,
                         base::time_point now, base::wall_time wall)
    : m_settings{settings}, m_ledger{records}, m_workers{settings.workers, records, token, now},
      m_advice{settings.advice}, m_forecast{{.urgent_headroom = settings.planner.urgent_headroom,
                                             .worthless_objectives =
                                                 settings.planner.expiry_objectives},
                                            now},
      m_speeds{settings.speeds},
      m_overload{settings.overload}, m_holds{settings.planner.max_held_fraction},
      m_preemption{std::make_unique<preemption>(settings.preemption, now)}, m_last_forget{now}
{
    for (const auto& [domain, record] : records.evacuations()) {
        m_evacuation.revisions[domain] = record.revision;
    }
    for (const auto id : records.open_jobs()) {
        const auto& job = *records.find(id);
        if (is_final(job.state)) {
            continue;
        }
        add_ready_steps(job);
        assume_preemptions(job);
    }
    for (auto& [key, ready] : m_ready) {
        ready.isolates_until = now + m_settings.planner.isolation_wait;
    }
    for (const auto& [id, info] : records.workers()) {
        m_speeds.on_instance(id, info.pool, info.started_at);
        update_candidate(now, id);
        for (const auto& key : records.suspects_on(id)) {
            isolate(now, id, key, *records.find(key));
        }
    }
    add_due_steps(wall);
}

coordinator::~coordinator() = default;

void coordinator::on_catalog(std::shared_ptr<const catalog> catalog)
{
    m_catalog = std::move(catalog);
    apply_weights();
    m_needs_planning = true;
}

void coordinator::on_agent_contact(base::time_point now, const base::node_id& agent)
{
    m_advice.on_agent_contact(now, agent);
}

void coordinator::on_submission(base::wall_time wall, const job_spec& spec)
{
    const auto* const policy = advice_for(spec);
    if (policy == nullptr || spec.occurrences != 0 || m_ledger.find(spec.id) != nullptr) {
        return;
    }
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        if (spec.steps[step].depends_on.empty()) {
            request_advice_on_unknown_workers(
                {spec.id, 0, step}, spec, pool_of(spec), *policy,
                {spec.priority, false, objective_end(spec, wall, 1).time_since_epoch().count()});
        }
    }
}

void coordinator::on_clock(base::time_point now, const base::worker_id& worker, worker_time clock)
{
    m_workers.on_clock(now, worker, clock);
}

void coordinator::on_start_answer(base::time_point now, const run_key& run,
                                  const base::worker_id& worker, start_outcome outcome)
{
    if (outcome == start_outcome::no_ticket) {
        m_advice.drop_ticket(step_of(run.task), worker);
    }
    m_workers.on_start_answer(now, run, worker, outcome);
}

void coordinator::on_stop_done(base::time_point now, const run_key& run,
                               const base::worker_id& worker)
{
    m_workers.on_stop_done(now, run, worker);
}

void coordinator::on_hold_done(base::time_point now, base::time_point sent, const hold_order& order,
                               hold_outcome outcome, const hold_answer& answer)
{
    m_workers.on_hold_done(now, sent, order, outcome, answer);
}

void coordinator::on_advice(base::time_point now, std::uint64_t id,
                            const std::optional<std::vector<advice_row>>& rows)
{
    const auto step = m_advice.on_answer(now, id, rows);
    m_needs_planning = true;
    if (step) {
        m_answered.insert(*step);
        m_out.log_entries.push_back({"advice_answered", step->job,
                                     absl::StrCat("step=", step->step, " allowed=",
                                                  rows ? static_cast<int>(rows->size()) : -1)});
    }
}

void coordinator::on_applied(base::time_point now, const pb::Batch& batch)
{
    for (const auto& operation : batch.operations()) {
        switch (operation.body_case()) {
        case pb::Operation::kAccept:
            if (const auto* const job = m_ledger.find(job_number{operation.accept().spec().id()})) {
                count_accepted(*job);
                add_ready_steps(*job);
            }
            break;
        case pb::Operation::kCancel:
            if (const auto* const job = m_ledger.find(job_number{operation.cancel().job()})) {
                remove_job(*job);
                stop_job(now, *job);
            }
            break;
        case pb::Operation::kPlace:
            on_placed(now, operation.place());
            break;
        case pb::Operation::kBegin:
            for (const auto id : operation.begin().jobs()) {
                m_begun.erase(job_number{id});
            }
            break;
        case pb::Operation::kEnd:
            on_ended(now, operation.end());
            break;
        case pb::Operation::kPutWorker:
            on_worker_changed(now, base::worker_id{operation.put_worker().worker().id()});
            break;
        case pb::Operation::kRemoveWorker:
            on_worker_changed(now, base::worker_id{operation.remove_worker().id()});
            break;
        case pb::Operation::kPutEvacuation:
            on_evacuation(now, base::failure_domain{operation.put_evacuation().domain()});
            break;
        default:
            break;
        }
    }
    m_needs_planning = true;
}

void coordinator::on_worker_changed(base::time_point now, const base::worker_id& id)
{
    const auto found = m_ledger.workers().find(id);
    if (found == m_ledger.workers().end()) {
        m_workers.on_worker_removed(id);
        m_speeds.forget(id);
    }
    else {
        m_speeds.on_instance(id, found->second.pool, found->second.started_at);
        m_workers.on_worker(now, found->second);
    }
    update_candidate(now, id);
}

void coordinator::on_batch_committed(std::uint64_t id)
{
    const auto found = m_batch_cursors.find(id);
    if (found == m_batch_cursors.end()) {
        return;
    }
    for (const auto& move : found->second) {
        m_workers.on_cursor_committed(move);
    }
    m_batch_cursors.erase(found);
}

void coordinator::add_ready_steps(const job_record& job)
{
    if (is_final(job.state)) {
        return;
    }
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& record = job.step(run, step);
            if (record.undone == 0 || !job.is_ready(run, step)) {
                continue;
            }
            const step_key key{job.spec.id, run, step};
            if (job.spec.occurrences > 0 && record.placed == 0 && !m_ready.contains(key)) {
                m_scheduled_steps.emplace(job.spec.due(run), key);
            }
            else {
                add_ready_step(job, key);
            }
        }
    }
}

void coordinator::add_ready_step(const job_record& job, const step_key& key)
{
    count_work(job, key);
    const auto from = job.spec.occurrences > 0 ? job.spec.due(key.occurrence) : job.accepted;
    ready_step ready;
    ready.ready_since = m_preemption->now;
    ready.is_gang = job.spec.steps[key.step].gang;
    ready.priority = job.spec.priority;
    ready.account = job.spec.account;
    ready.task_use = counted_use(booked_size(job.spec.steps[key.step]));
    const auto chains = remaining_chains(job.spec, advice_time(advice_for(job.spec)), m_estimates);
    const auto longest = longest_chain(chains);
    ready.due_by = from + objective_of(job.spec, longest, 1);
    ready.late_at = ready.due_by - chains[key.step];
    ready.expires_at = from + objective_of(job.spec, longest, m_settings.planner.expiry_objectives);
    const auto& record = job.step(key.occurrence, key.step);
    ready.waiting_use = ready.task_use * (std::int64_t{record.undone} - record.placed);
    if (m_ready.emplace(key, ready).second) {
        m_order.insert(ready.account, rank_of(key, ready));
        m_demotions.emplace(ready.late_at, key);
    }
    promote_restart(key);
}

step_order::step_rank coordinator::rank_of(const step_key& key, const ready_step& ready)
{
    return {ready.is_expired, ready.priority, !ready.is_restart, ready.is_late, ready.due_by, key};
}

void coordinator::remove_ready_step(const step_key& key)
{
    const auto found = m_ready.find(key);
    if (found != m_ready.end()) {
        m_order.erase(found->second.account, rank_of(key, found->second));
        m_demotions.erase(
            {found->second.is_late ? found->second.expires_at : found->second.late_at, key});
        release_preempted_room(key);
        m_preemption->needs.erase(key);
        m_ready.erase(found);
    }
}

void coordinator::demote_late_steps(base::wall_time wall)
{
    while (!m_demotions.empty() && m_demotions.begin()->first <= wall) {
        const auto key = m_demotions.begin()->second;
        m_demotions.erase(m_demotions.begin());
        auto& ready = m_ready.at(key);
        m_order.erase(ready.account, rank_of(key, ready));
        if (ready.is_late) {
            ready.is_expired = true;
            m_forecast.expire(key.job.value(), key.occurrence);
        }
        else {
            ready.is_late = true;
            m_demotions.emplace(ready.expires_at, key);
        }
        m_order.insert(ready.account, rank_of(key, ready));
        m_advice.change_rank(key, call_rank_of(ready));
    }
}

void coordinator::add_due_steps(base::wall_time wall)
{
    while (!m_scheduled_steps.empty() &&
           m_scheduled_steps.begin()->first + m_settings.planner.due_margin <= wall) {
        const auto key = m_scheduled_steps.begin()->second;
        m_scheduled_steps.erase(m_scheduled_steps.begin());
        const auto* const job = m_ledger.find(key.job);
        if (job != nullptr && !is_final(job->state)) {
            add_ready_step(*job, key);
            m_needs_planning = true;
        }
    }
}

void coordinator::remove_job(const job_record& job)
{
    stop_counting(job);
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const step_key key{job.spec.id, run, step};
            remove_ready_step(key);
            m_avoided.erase(key);
            release_reservation(key);
            m_advice.forget(key);
        }
    }
    std::erase_if(m_evacuation.withdrawn,
                  [&](const run_key& run) { return run.task.job == job.spec.id; });
    std::erase_if(m_scheduled_steps,
                  [&](const auto& entry) { return entry.second.job == job.spec.id; });
    m_preemption->planner.forget(job.spec.id.value());
    m_order.forget(job.spec.id);
}

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

void coordinator::collect_worker_output(base::time_point now)
{
    auto output = m_workers.take();
    for (const auto& worker : output.usability_changes) {
        update_candidate(now, worker);
        m_needs_planning = true;
    }
    for (const auto& start : output.confirmed_starts) {
        on_start_confirmed(now, start);
    }
    for (const auto& run : output.finished_runs) {
        observe_run(now, run);
    }
    for (auto& end : output.ends) {
        observe_duration(end);
        auto& operation = *add_operation().mutable_end();
        *operation.mutable_task() = jobs::to_proto(end.run);
        operation.set_worker(end.worker.str());
        operation.set_how(to_proto(end.how));
        operation.set_checkpoint(std::move(end.checkpoint));
        operation.set_ran_ms(end.ran ? end.ran->count() : -1);
        // The protobuf values have the same order.
        operation.set_crash_verdict(static_cast<pb::CrashVerdict>(end.verdict));
    }
    // A cursor moves only after the ends before it are committed, including those of this batch.
    m_cursors.insert(m_cursors.end(), output.cursors.begin(), output.cursors.end());
    std::ranges::move(output.holds, std::back_inserter(m_out.holds));
    std::ranges::move(output.stops, std::back_inserter(m_out.stops));
    std::ranges::move(output.log_entries, std::back_inserter(m_out.log_entries));
}

void coordinator::on_start_confirmed(base::time_point now,
                                     const worker_table::confirmed_start& start)
{
    const auto id = start.run.task.job;
    if (!m_begun.insert(id).second) {
        return;
    }
    if (m_unsent_begun.empty()) {
        m_begun_due = now + m_settings.planner.begin_commit_delay;
    }
    m_unsent_begun.push_back(id);
    m_out.log_entries.push_back(
        {"job_begun", id,
         absl::StrCat("run=", format_run(start.run), " worker=", start.worker.str())});
}

void coordinator::add_begun_jobs(base::time_point now)
{
    const bool has_batch = m_batch.operations_size() > 0 || !m_cursors.empty();
    if (m_unsent_begun.empty() || (!has_batch && now < m_begun_due)) {
        return;
    }
    auto& operation = *add_operation().mutable_begin();
    for (const auto id : std::exchange(m_unsent_begun, {})) {
        operation.add_jobs(id.value());
    }
}

void coordinator::tick(base::time_point now, base::wall_time wall)
{
    m_workers.tick(now);
    add_due_steps(wall);
    demote_late_steps(wall);
    update_forecast(now, wall);
    end_isolations(now);
    tick_preemption(now, wall);
    std::vector<step_key> expired;
    for (const auto& [key, reserved] : m_reserved) {
        if (reserved.until <= now && !m_advice.is_call_open(key)) {
            expired.push_back(key);
        }
    }
    for (const auto& key : expired) {
        release_reservation(key);
        m_needs_planning = true;
    }
    if (now - m_last_forget >= m_settings.planner.forget_interval) {
        m_last_forget = now;
        m_needs_planning = true;
        m_advice.forget_unless([this](job_number id) { return m_ledger.open_jobs().contains(id); });
        const auto before = wall - m_settings.planner.retention;
        add_operation().mutable_forget()->set_ended_before_ms(before.time_since_epoch().count());
    }
}

base::duration coordinator::planning_interval() const
{
    const auto& settings = m_settings.planner;
    const base::duration wanted =
        settings.plan_interval +
        settings.plan_interval_per_step * static_cast<std::int64_t>(m_ready.size());
    return std::min<base::duration>(wanted, settings.plan_interval_max);
}

void coordinator::on_planning_time(base::time_point now, base::duration took)
{
    const auto pause = std::chrono::duration<double, std::nano>{took} *
                       (1 / m_settings.planner.max_planning_fraction - 1);
    m_next_plan = std::max(m_next_plan, now + std::chrono::duration_cast<base::duration>(pause));
}

coordinator_output coordinator::take(base::time_point now, base::wall_time wall)
{
    withdraw_starts();
    m_overload.on_iteration(now);
    collect_worker_output(now);
    if (m_needs_planning && now >= m_next_plan) {
        m_needs_planning = false;
        m_next_plan = now + planning_interval();
        m_wall = wall;
        plan(now);
        collect_worker_output(now); // the stops that planning has ordered
    }
    add_begun_jobs(now);
    m_out.advice = m_advice.take(now);
    if (m_batch.operations_size() > 0 || !m_cursors.empty()) {
        const auto id = ++m_last_batch;
        m_batch.set_time_ms(wall.time_since_epoch().count());
        m_out.batches.emplace_back(id, std::exchange(m_batch, {}));
        m_batch_cursors.emplace(id, std::exchange(m_cursors, {}));
    }
    return std::exchange(m_out, {});
}

} // namespace lovagebeam::jobs
