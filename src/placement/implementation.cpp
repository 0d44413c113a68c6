#include "implementation.h"

#include <algorithm>

namespace lovagebeam::placement {

using internal::no_slot;
using internal::slot;
using internal::task_phase;
using internal::task_record;
using internal::worker_record;

namespace {

/// Teams whose blocked queues each tick retries. This is only a safeguard: events that free
/// capacity or raise limits already retry the queues that they may unblock.
constexpr std::size_t teams_retried_per_tick = 2;

} // namespace

scheduler::implementation::implementation(const scheduler_settings& settings,
                                          const recovered_state& recovered, base::time_point now)
    : m_state{settings}, m_dispatcher{m_state}, m_preemptor{m_state},
      m_corrector{m_state}, m_health{m_state}, m_gangs{m_state, m_dispatcher, m_preemptor},
      m_balancer{m_state, m_preemptor}, m_jobs{m_state,     m_dispatcher, m_preemptor,
                                               m_corrector, m_health,     m_gangs},
      m_built_at{now}, m_last_tick{now}
{
    m_state.now = now;
    m_dispatcher.set_capacity_source(&m_preemptor);
    m_dispatcher.set_generation(recovered.generation);
    recover(recovered);
}

void scheduler::implementation::recover(const recovered_state& from)
{
    for (const auto& [team, settings] : from.teams) {
        m_state.teams[m_state.find_or_add_team(team)].settings = settings;
    }
    for (const recovered_job& job : from.jobs) {
        const slot at = m_jobs.add_job(job.spec);
        auto& record = m_state.jobs[at];
        for (const std::uint32_t index : job.completed) {
            record.completed.at(index) = true;
            ++record.completed_count;
        }
        for (const std::uint32_t index : job.unknown) {
            record.unknown_tasks.at(index) = true;
            record.unknown = true;
        }
        for (const std::uint32_t index : job.checkpointed) {
            record.checkpointed.at(index) = true;
        }
        record.cancelled = job.cancelled;
        record.start_sent = job.was_placed;
    }
    for (const placed_task& placement : from.placements) {
        task_record task;
        task.id = placement.task;
        task.job = m_state.find_job(placement.job);
        task.team = task.job == no_slot ? no_slot : m_state.jobs[task.job].team;
        task.worker = m_state.find_or_add_worker(placement.worker);
        task.index = placement.index;
        task.phase = task_phase::started;
        task.recovered = true;
        task.size = task.full_size = placement.size;
        task.started = m_state.now;
        task.lease_end = m_state.now + m_state.settings.start_transit + m_state.settings.task_lease;
        m_state.adopt_task(std::move(task));
        const slot job = m_state.find_job(placement.job);
        if (job != no_slot) {
            m_state.jobs[job].start_sent = true;
            m_state.jobs[job].state = job_state::running;
            m_state.record_reason(job, reason::recovered);
        }
    }
    for (const recovered_job& job : from.jobs) {
        const slot at = m_state.find_job(job.spec.id);
        if (!job.cancelled) {
            m_jobs.make_pending(at);
        }
        m_jobs.resolve(at);
    }
}

decisions scheduler::implementation::step(base::time_point now, const event& input)
{
    m_state.now = std::max(m_state.now, now);
    std::visit([this](const auto& e) { handle(e); }, input);
    m_dispatcher.dispatch_freed();
    decisions result = std::move(m_state.output);
    m_state.output = decisions{};
    return result;
}

void scheduler::implementation::handle(const tick&)
{
    const base::duration elapsed = m_state.now - m_last_tick;
    m_last_tick = m_state.now;
    m_jobs.on_tick(elapsed);
    m_health.on_tick();
    m_preemptor.escalate();
    m_state.release_holds();
    m_dispatcher.dispatch_freed();
    m_gangs.on_tick();
    m_balancer.on_tick();
    m_dispatcher.retry_blocked_queues(teams_retried_per_tick);
}

void scheduler::implementation::handle(const worker_seen& input)
{
    const slot at = m_state.find_or_add_worker(input.worker);
    worker_record& worker = m_state.workers[at];
    const slot domain = m_state.find_or_add_domain(input.domain);
    const slot rack = m_state.find_or_add_rack(input.rack);
    if (worker.domain != domain || worker.rack != rack || !worker.present ||
        !(worker.capacity == input.capacity)) {
        if (worker.present) {
            m_state.set_capacity(at, worker.capacity, false);
        }
        if (worker.quarantined && worker.domain != domain) {
            --m_state.domains[worker.domain].quarantined;
            ++m_state.domains[domain].quarantined;
        }
        worker.domain = domain;
        worker.rack = rack;
        m_state.set_capacity(at, input.capacity, true);
        m_state.freed_workers.push_back(at);
    }
    for (const task_report& report : input.running) {
        process_report(at, report);
    }
    restart_unreported(at);
    if (m_state.workers[at].draining) {
        m_jobs.drain_worker(at);
    }
}

void scheduler::implementation::process_report(slot worker, const task_report& report)
{
    const slot at = m_state.find_task(report.task);
    if (at != no_slot && m_state.tasks[at].worker == worker) {
        task_record& task = m_state.tasks[at];
        if (task.phase != task_phase::proposed) {
            task.lease_end = m_state.now + m_state.settings.task_lease;
            m_jobs.on_running(at);
            if (task.job != no_slot && m_state.jobs[task.job].cancelled) {
                m_preemptor.stop(at, reason::stopped_cancelled);
            }
            if (task.job == no_slot) {
                m_preemptor.stop(at, reason::stopped_unknown_task);
            }
            m_preemptor.resend_command(at);
        }
        return;
    }
    if (at != no_slot) {
        return;
    }
    task_record task;
    task.id = report.task;
    task.worker = worker;
    task.team = report.team ? m_state.find_or_add_team(*report.team) : no_slot;
    task.unsized = !report.size.has_value();
    task.size = task.full_size = report.size.value_or(resources{});
    task.phase = task_phase::running;
    task.started = m_state.now;
    task.lease_end = m_state.now + m_state.settings.task_lease;
    const slot adopted = m_state.adopt_task(std::move(task));
    m_preemptor.stop(adopted, reason::stopped_unknown_task);
}

void scheduler::implementation::restart_unreported(slot worker)
{
    const std::vector<slot> tasks = m_state.workers[worker].tasks;
    for (const slot at : tasks) {
        task_record& task = m_state.tasks[at];
        if (!task.recovered) {
            continue;
        }
        task.recovered = false;
        // The earlier leader may not have sent the start command. Repeating it is safe because
        // workers ignore a start with a known task id. Work that may not be repeated is not
        // started again, since a worker that restarted may no longer know that it ran it.
        if (task.job != no_slot && m_state.jobs[task.job].spec.repeatable &&
            !m_state.jobs[task.job].cancelled) {
            m_jobs.start(at);
        }
    }
}

void scheduler::implementation::handle(const worker_lost& input)
{
    const slot at = m_state.find_worker(input.worker);
    if (at == no_slot || !m_state.workers[at].present) {
        return;
    }
    m_state.set_capacity(at, m_state.workers[at].capacity, false);
    m_health.on_lost(at);
    for (const slot task : m_state.workers[at].tasks) {
        if (m_state.tasks[task].job != no_slot) {
            m_state.record_reason(m_state.tasks[task].job, reason::waiting_for_lease, at);
        }
    }
}

void scheduler::implementation::handle(const worker_draining& input)
{
    const slot at = m_state.find_or_add_worker(input.worker);
    if (m_state.workers[at].draining == input.draining) {
        return;
    }
    m_state.workers[at].draining = input.draining;
    m_state.refresh(at);
    if (input.draining) {
        m_jobs.drain_worker(at);
    }
    else {
        m_state.freed_workers.push_back(at);
    }
}

std::optional<job_update> scheduler::implementation::refusal_of(const job_spec& spec)
{
    const auto refuse = [&spec](reason why, std::string detail) {
        return job_update{spec.id, job_state::refused, why, std::move(detail)};
    };
    if (spec.id.empty() || spec.tasks == 0 || spec.size.cpu.value() <= 0 ||
        spec.size.memory.value() < 0 || spec.size.devices.value() < 0) {
        return refuse(reason::refused_invalid, "tasks and processors must be positive");
    }
    internal::job_record probe;
    probe.spec = spec;
    probe.team = m_state.find_or_add_team(spec.team);
    const resources size = m_corrector.size_of(probe);
    const std::int64_t concurrent_tasks = spec.kind == job_kind::gang ? spec.tasks : 1;
    const resources total = internal::scaled(size, concurrent_tasks);
    if (!m_state.within_limit_when_idle(probe.team, total)) {
        return refuse(reason::refused_above_team_limit,
                      "needs " + internal::text_of(total) + " at once");
    }
    // Right after a leader change most workers have not announced themselves yet, so the size of
    // the fleet is unknown.
    const bool fleet_known = m_state.now - m_built_at >= m_state.settings.task_lease;
    if (!fleet_known) {
        return std::nullopt;
    }
    if (!m_state.fits_some_known_worker(size)) {
        return refuse(reason::refused_no_host_of_shape, "a task needs " + internal::text_of(size));
    }
    const std::int64_t held = m_state.fleet_task_capacity(size, false, concurrent_tasks);
    if (held < concurrent_tasks) {
        return refuse(reason::refused_gang_larger_than_fleet,
                      "needs " + std::to_string(concurrent_tasks) + " tasks of " +
                          internal::text_of(size) + "; the fleet holds " + std::to_string(held));
    }
    return std::nullopt;
}

void scheduler::implementation::handle(const job_accepted& input)
{
    if (m_jobs.explain(input.spec.id).has_value()) {
        return;
    }
    if (auto refusal = refusal_of(input.spec)) {
        m_state.output.jobs.push_back(std::move(*refusal));
        return;
    }
    m_jobs.make_pending(m_jobs.add_job(input.spec));
}

void scheduler::implementation::handle(const task_ended& input)
{
    const slot task = m_state.find_task(input.task);
    const slot worker = task == no_slot ? no_slot : m_state.tasks[task].worker;
    m_jobs.on_ended(input);
    if (worker != no_slot) {
        m_preemptor.restore_full_size(worker);
    }
}

void scheduler::implementation::handle(const lease_expired& input)
{
    m_jobs.on_lease_expired(input.task);
}

void scheduler::implementation::handle(const usage_reported& input)
{
    const slot at = m_state.find_task(input.task);
    if (at == no_slot || m_state.tasks[at].job == no_slot ||
        (m_state.tasks[at].phase != task_phase::started &&
         m_state.tasks[at].phase != task_phase::running)) {
        return;
    }
    const task_record& task = m_state.tasks[at];
    resources grown = task.size;
    if (!task.throttled) {
        grown.cpu = base::millicores{std::max(grown.cpu.value(), input.used.cpu.value())};
    }
    grown.memory = base::bytes{std::max(grown.memory.value(), input.used.memory.value())};
    const resources more = grown - task.size;
    const worker_record& worker = m_state.workers[task.worker];
    if (more == resources{} || !(worker.booked + more).fits_in(worker.capacity) ||
        !m_state.within_limit(task.team, more)) {
        return;
    }
    m_state.resize_task(at, grown);
    m_state.tasks[at].full_size += more;
    m_preemptor.send(at, command_kind::unthrottle, reason::resized_to_reported_use);
}

void scheduler::implementation::handle(const task_throttled& input)
{
    const slot at = m_state.find_task(input.task);
    if (at == no_slot || m_state.tasks[at].phase != task_phase::throttling) {
        return;
    }
    task_record& task = m_state.tasks[at];
    task.phase = task_phase::running;
    resources reduced = task.size;
    reduced.cpu = base::millicores{std::min(reduced.cpu.value(), input.size.cpu.value())};
    task.throttled = true;
    m_state.resize_task(at, reduced);
}

void scheduler::implementation::handle(const cancel_job& input)
{
    m_jobs.on_cancel(input.job);
}

void scheduler::implementation::handle(const decision_committed& input)
{
    m_jobs.on_committed(input.decision);
}

void scheduler::implementation::handle(const decision_failed& input)
{
    m_jobs.on_commit_failed(input.decision);
}

void scheduler::implementation::handle(const team_changed& input)
{
    const slot at = m_state.find_or_add_team(input.team);
    m_state.teams[at].settings = input.settings;
    m_state.teams[at].settings.share = std::max<std::int64_t>(1, input.settings.share);
    m_state.limit_freed_teams.push_back(at);
    m_balancer.enforce_limit(at);
}

} // namespace lovagebeam::placement
