#include "lifecycle.h"

#include "gang_planner.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

namespace {

/// A service that ends within this time of its start counts as crashed.
constexpr base::duration crash_window = std::chrono::seconds{60};
/// Delay before the first restart; doubles with each further one up to `max_doublings` times.
constexpr base::duration first_backoff = std::chrono::milliseconds{500};
constexpr std::uint32_t max_doublings = 6;

} // namespace

lifecycle::lifecycle(cell& state, dispatcher& queues, preemptor& preempt, corrector& size_corrector,
                     health& worker_health, gang_planner& gangs)
    : m_state{state}, m_dispatcher{queues}, m_preemptor{preempt},
      m_corrector{size_corrector}, m_health{worker_health}, m_gangs{gangs}
{
}

slot lifecycle::add_job(const job_spec& spec)
{
    job_record job;
    job.spec = spec;
    job.team = m_state.find_or_add_team(spec.team);
    job.accepted = m_state.now;
    job.completed.resize(spec.tasks);
    job.checkpointed.resize(spec.tasks);
    job.unknown_tasks.resize(spec.tasks);
    job.size = spec.size;
    job.run_time = spec.run_time;
    job.in_use = true;
    const slot at = m_state.jobs.add(std::move(job));
    m_state.job_by_id[spec.id.str()] = at;
    return at;
}

void lifecycle::make_pending(slot at)
{
    apply_correction(at);
    const job_record& job = m_state.jobs[at];
    if (job.spec.kind == job_kind::gang && !job.placements.empty()) {
        const auto unknown = static_cast<std::size_t>(
            std::count(job.unknown_tasks.begin(), job.unknown_tasks.end(), true));
        if (job.placements.size() + job.completed_count + unknown < job.spec.tasks) {
            on_gang_task_lost(at);
        }
        return;
    }
    if (job.spec.kind == job_kind::gang && job.unknown) {
        return; // `resolve` ends the job
    }
    for (std::uint32_t i = job.spec.tasks; i-- > 0;) {
        if (!job.completed[i] && !job.unknown_tasks[i] && !has_placement(at, i)) {
            m_dispatcher.add_pending(at, i);
        }
    }
    if (job.spec.kind == job_kind::gang) {
        m_gangs.add(at);
    }
    else if (!job.pending.empty()) {
        m_dispatcher.enqueue(at);
        m_dispatcher.dispatch_new(at);
    }
}

void lifecycle::apply_correction(slot at)
{
    job_record& job = m_state.jobs[at];
    resources size = m_corrector.size_of(job);
    size.memory = base::bytes{std::max(size.memory.value(), job.min_memory)};
    m_dispatcher.set_size(at, size);
    job.run_time = m_corrector.run_time_of(job);
}

bool lifecycle::grow_memory(slot at, const task_ended& report)
{
    const task_record& task = m_state.tasks[at];
    job_record& job = m_state.jobs[task.job];
    if (!report.peak || report.peak->memory.value() < task.size.memory.value() ||
        task.size.memory.value() == 0 || !job.spec.repeatable) {
        return false;
    }
    resources grown = task.size;
    grown.memory += grown.memory;
    const std::int64_t tasks = job.spec.kind == job_kind::gang ? job.spec.tasks : 1;
    if (m_state.fleet_task_capacity(grown, false, tasks) < tasks ||
        !m_state.within_limit_when_idle(job.team, scaled(grown, tasks))) {
        return false;
    }
    job.min_memory = std::max(job.min_memory, grown.memory.value());
    return true;
}

bool lifecycle::has_placement(slot at, std::uint32_t index) const
{
    const job_record& job = m_state.jobs[at];
    return std::any_of(job.placements.begin(), job.placements.end(),
                       [&](slot task) { return m_state.tasks[task].index == index; });
}

void lifecycle::start(slot at)
{
    task_record& task = m_state.tasks[at];
    job_record& job = m_state.jobs[task.job];
    if (job.state == job_state::waiting) {
        job.state = job_state::running;
        m_state.output.jobs.push_back({job.spec.id, job.state, job.why, {}});
    }
    job.start_sent = true;
    task.phase = task_phase::started;
    task.started = m_state.now;
    task.lease_end = m_state.now + m_state.settings.start_transit + m_state.settings.task_lease;
    worker_command command;
    command.task = task.id;
    command.job = job.spec.id;
    command.index = task.index;
    command.worker = m_state.workers[task.worker].id;
    command.size = task.size;
    command.lease = m_state.settings.task_lease;
    command.from_checkpoint = job.checkpointed[task.index];
    command.why = job.why;
    m_state.output.commands.push_back(std::move(command));
}

void lifecycle::on_committed(decision_id id)
{
    for (const slot at : m_dispatcher.take_proposal(id)) {
        const task_record& task = m_state.tasks[at];
        const bool disconnected = !m_state.workers[task.worker].present;
        if (m_state.jobs[task.job].cancelled || m_state.jobs[task.job].restarting || disconnected) {
            m_state.output.released.push_back({task.id, m_state.jobs[task.job].cancelled
                                                            ? reason::ended_cancelled_not_run
                                                            : reason::ended_lost_with_worker});
            end(at, end_kind::not_sent);
        }
        else {
            start(at);
        }
    }
}

void lifecycle::on_commit_failed(decision_id id)
{
    for (const slot at : m_dispatcher.take_proposal(id)) {
        m_state.record_reason(m_state.tasks[at].job, reason::ended_commit_failed);
        end(at, end_kind::not_sent);
    }
}

void lifecycle::on_ended(const task_ended& report)
{
    const slot at = m_state.find_task(report.task);
    if (at == no_slot || m_state.tasks[at].phase == task_phase::proposed) {
        return;
    }
    const task_record& task = m_state.tasks[at];
    if (task.job != no_slot && report.outcome == task_outcome::completed) {
        m_corrector.record_usage(m_state.jobs[task.job], report.run_time, report.peak);
    }
    switch (report.outcome) {
    case task_outcome::completed:
        return end(at, end_kind::completed);
    case task_outcome::failed:
        // Running out of memory is not counted as a failure of the worker; the task is retried with
        // a larger size.
        return end(at, task.job != no_slot && grow_memory(at, report) ? end_kind::stopped
                                                                      : end_kind::failed);
    case task_outcome::checkpointed:
        return end(at, end_kind::checkpointed);
    case task_outcome::stopped:
        return end(at, end_kind::stopped);
    case task_outcome::refused:
        return end(at, end_kind::refused);
    }
}

void lifecycle::end(slot at, end_kind how)
{
    const task_record task = m_state.tasks[at];
    const bool lost = how == end_kind::lost;
    const bool interrupted = lost || how == end_kind::stopped || how == end_kind::checkpointed;
    m_state.remove_task(at);
    if (task.job == no_slot) {
        return;
    }
    const bool unknown = interrupted && !m_state.jobs[task.job].spec.repeatable;
    if (lost || unknown) {
        m_state.output.released.push_back(
            {task.id, unknown ? reason::ended_outcome_unknown : reason::ended_lost_with_worker});
    }
    job_record& job = m_state.jobs[task.job];
    const bool ran_long = how != end_kind::not_sent && m_state.now - task.started > crash_window;
    if (job.spec.kind == job_kind::service && ran_long) {
        job.crashes = 0;
        job.failed_on.clear();
        // A service that fails after a long run is restarted like one that ended.
        how = how == end_kind::failed ? end_kind::completed : how;
    }
    handle_end(task.job, task.index, task.worker, how, task.moving);
    resolve(task.job);
}

void lifecycle::handle_end(slot at, std::uint32_t index, slot worker, end_kind how, bool moved)
{
    job_record& job = m_state.jobs[at];
    const bool ran = how != end_kind::refused && how != end_kind::not_sent;
    if (how == end_kind::completed) {
        m_health.on_success(at, worker);
    }
    if (how == end_kind::completed && job.spec.kind != job_kind::service) {
        job.completed_count += job.completed[index] ? 0 : 1;
        job.completed[index] = true;
        return;
    }
    if (how == end_kind::refused) {
        m_health.on_refusal(at, worker);
    }
    if (ran && !job.spec.repeatable) {
        if (how == end_kind::failed) {
            m_health.on_failure(at, worker);
            m_state.record_reason(at, reason::ended_failed, worker);
            fail_job(at);
        }
        else {
            mark_unknown(at, index);
        }
        return;
    }
    if (job.cancelled || job.state == job_state::failed) {
        return;
    }
    job.checkpointed[index] = job.checkpointed[index] || how == end_kind::checkpointed;
    if (how == end_kind::failed && m_health.on_failure(at, worker)) {
        m_state.record_reason(at, reason::ended_fails_everywhere, worker);
        fail_job(at);
        return;
    }
    if (moved && has_placement(at, index)) {
        return;
    }
    requeue(at, index, worker, how);
}

void lifecycle::mark_unknown(slot at, std::uint32_t index)
{
    job_record& job = m_state.jobs[at];
    job.unknown = true;
    job.unknown_tasks[index] = true;
    m_state.record_reason(at, reason::ended_outcome_unknown);
}

void lifecycle::fail_job(slot at)
{
    job_record& job = m_state.jobs[at];
    if (job.state != job_state::failed) {
        // Reported at once, so that a new leader doesn't place failed work again that may not be
        // repeated.
        job.state = job_state::failed;
        m_state.output.jobs.push_back({job.spec.id, job.state, job.why, {}});
    }
    m_dispatcher.drop_pending(at);
    m_gangs.remove(at);
    const std::vector<slot> placements = job.placements;
    for (const slot task : placements) {
        m_preemptor.stop(task, job.why);
    }
}

void lifecycle::requeue(slot at, std::uint32_t index, slot worker, end_kind how)
{
    job_record& job = m_state.jobs[at];
    const bool waits =
        std::find(job.pending.begin(), job.pending.end(), index) != job.pending.end();
    if (waits || has_placement(at, index)) {
        return;
    }
    if (job.spec.kind == job_kind::gang) {
        on_gang_task_lost(at);
    }
    else if (how == end_kind::lost && m_health.in_outage(worker) &&
             job.spec.kind != job_kind::urgent) {
        m_paced.emplace_back(job.spec.id, index);
        m_state.record_reason(at, reason::waiting_paced_replacement);
    }
    else if (how == end_kind::not_sent) {
        // Retry on the next tick; an immediate retry would loop while nothing can be committed.
        requeue_after(at, index, {}, reason::waiting_for_commit);
    }
    else if (how == end_kind::failed || how == end_kind::completed) {
        const std::uint32_t doublings = std::min(job.crashes++, max_doublings);
        requeue_after(at, index, first_backoff * (1U << doublings),
                      reason::waiting_restart_backoff);
    }
    else {
        queue_task(at, index);
    }
}

void lifecycle::requeue_after(slot at, std::uint32_t index, base::duration time, reason why)
{
    m_delayed.push({m_state.now + time, m_next_delayed++, m_state.jobs[at].spec.id, index});
    m_state.record_reason(at, why);
}

void lifecycle::queue_task(slot at, std::uint32_t index)
{
    job_record& job = m_state.jobs[at];
    if (job.pending.empty()) {
        job.infeasible = false;
        apply_correction(at);
    }
    else {
        m_dispatcher.dequeue(at);
    }
    m_dispatcher.add_pending(at, index);
    m_dispatcher.enqueue(at);
    m_dispatcher.dispatch_new(at);
}

void lifecycle::on_gang_task_lost(slot at)
{
    job_record& job = m_state.jobs[at];
    // A gang can only run complete, so end its other tasks and queue all of them again.
    job.restarting = true;
    m_state.record_reason(at, reason::waiting_for_gang);
    const std::vector<slot> placements = job.placements;
    for (const slot task : placements) {
        if (!m_preemptor.checkpoint(task, reason::preempted_for_gang)) {
            m_preemptor.stop(task, reason::preempted_for_gang);
        }
    }
}

void lifecycle::resolve(slot at)
{
    job_record& job = m_state.jobs[at];
    if (!job.in_use || !job.placements.empty()) {
        return;
    }
    const auto unknown = std::count(job.unknown_tasks.begin(), job.unknown_tasks.end(), true);
    if (job.cancelled && job.state != job_state::failed) {
        if (job.unknown) {
            return finish(at, job_state::unknown, reason::ended_outcome_unknown);
        }
        return job.start_sent ? finish(at, job_state::cancelled, reason::ended_cancelled)
                              : finish(at, job_state::not_run, reason::ended_cancelled_not_run);
    }
    if (job.state == job_state::failed) {
        return finish(at, job_state::failed, job.why);
    }
    if (job.completed_count == job.spec.tasks) {
        return finish(at, job_state::completed, reason::ended_completed);
    }
    const bool incomplete_gang = job.spec.kind == job_kind::gang && unknown > 0;
    if (incomplete_gang ||
        job.completed_count + static_cast<std::uint32_t>(unknown) >= job.spec.tasks) {
        return finish(at, job_state::unknown, reason::ended_outcome_unknown);
    }
    if (job.restarting) {
        job.restarting = false;
        make_pending(at);
    }
}

void lifecycle::on_cancel(const base::job_id& id)
{
    const slot at = m_state.find_job(id);
    if (at == no_slot || m_state.jobs[at].cancelled) {
        return;
    }
    job_record& job = m_state.jobs[at];
    job.cancelled = true;
    m_dispatcher.drop_pending(at);
    m_gangs.remove(at);
    for (const slot task : job.placements) {
        m_preemptor.stop(task, reason::stopped_cancelled);
    }
    resolve(at);
}

void lifecycle::on_lease_expired(const base::task_id& id)
{
    const slot at = m_state.find_task(id);
    if (at != no_slot && m_state.tasks[at].phase != task_phase::proposed) {
        task_record& task = m_state.tasks[at];
        task.lease_end = std::min(task.lease_end, m_state.now);
    }
}

void lifecycle::on_running(slot at)
{
    task_record& task = m_state.tasks[at];
    task.recovered = false;
    if (task.phase == task_phase::started) {
        task.phase = task_phase::running;
    }
    if (task.job == no_slot) {
        return;
    }
    const job_record& job = m_state.jobs[task.job];
    if (task.phase != task_phase::running || job.spec.kind != job_kind::service || task.moving) {
        return;
    }
    const std::vector<slot> placements = job.placements;
    for (const slot other : placements) {
        if (other != at && m_state.tasks[other].index == m_state.tasks[at].index &&
            m_state.tasks[other].moving) {
            m_preemptor.stop(other, reason::stopped_replaced);
        }
    }
}

void lifecycle::drain_worker(slot worker)
{
    const std::vector<slot> tasks = m_state.workers[worker].tasks;
    for (const slot at : tasks) {
        task_record& task = m_state.tasks[at];
        if (task.job == no_slot || task.moving || task.phase == task_phase::proposed) {
            continue;
        }
        const job_record& job = m_state.jobs[task.job];
        if (job.cancelled || !job.spec.repeatable) {
            continue;
        }
        if (job.spec.kind == job_kind::service) {
            task.moving = true;
            m_state.record_reason(task.job, reason::moved_for_drain, worker);
            const std::uint32_t index = task.index;
            queue_task(task.job, index);
        }
        else if (job.spec.kind == job_kind::batch) {
            m_preemptor.checkpoint(at, reason::moved_for_drain);
        }
    }
}

} // namespace lovagebeam::placement::internal
