#include "lovagebeam/jobs/coordinator.h"

#include "format_run.h"
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
    for (auto& end : output.ends) {
        observe_duration(end);
        observe_run(now, end);
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
    const bool is_plan_due = m_needs_planning || (m_continue_plan && now >= *m_continue_plan);
    if (is_plan_due && now >= m_next_plan) {
        m_needs_planning = false;
        m_continue_plan.reset();
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
