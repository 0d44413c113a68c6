#include "preemptor.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

namespace {

/// Workers compared for one urgent task. Comparing more doesn't reduce the lost work further.
constexpr slot max_compared_workers = 96;

/// A throttled task keeps its processors divided by this number.
constexpr std::int64_t throttle_divisor = 2;

/// Costs in seconds of lost work. They are far enough apart that a checkpoint is always preferred
/// to a throttle and a throttle to a stop, regardless of how long the tasks have run.
constexpr double checkpoint_cost = 1.0;
constexpr double throttle_cost = 1e4;
constexpr double stop_cost = 1e6;
/// Makes a service cost more than batch work that is interrupted in the same way.
constexpr double service_cost = 5e3;

/// The time of two announcements, within which a command that was received takes effect.
constexpr base::duration resend_interval = std::chrono::seconds{1};

bool is_active(const task_record& task)
{
    return task.phase == task_phase::started || task.phase == task_phase::running;
}

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

void preemptor::send(slot at, command_kind kind, reason why)
{
    task_record& task = m_state.tasks[at];
    task.last_command_at = m_state.now;
    worker_command command;
    command.kind = kind;
    command.task = task.id;
    command.job = task.job == no_slot ? base::job_id{} : m_state.jobs[task.job].spec.id;
    command.index = task.index;
    command.worker = m_state.workers[task.worker].id;
    command.size = task.size;
    command.why = why;
    if (task.job != no_slot) {
        m_state.record_reason(task.job, why, task.worker);
    }
    m_state.output.commands.push_back(std::move(command));
}

void preemptor::schedule_escalation(slot at, base::duration timeout)
{
    m_state.tasks[at].escalate_at = m_state.now + timeout;
    m_escalations.emplace_back(at, m_state.tasks[at].id);
}

bool preemptor::checkpoint(slot at, reason why)
{
    task_record& task = m_state.tasks[at];
    if (task.job == no_slot || !is_active(task)) {
        return false;
    }
    const job_spec& spec = m_state.jobs[task.job].spec;
    if (!spec.can_checkpoint || !spec.repeatable) {
        return false;
    }
    task.phase = task_phase::checkpointing;
    task.preempted_for = why;
    send(at, command_kind::checkpoint, why);
    if (why == reason::preempted_for_urgent) {
        schedule_escalation(at, m_state.settings.checkpoint_timeout);
    }
    return true;
}

void preemptor::stop(slot at, reason why)
{
    task_record& task = m_state.tasks[at];
    if (task.phase == task_phase::proposed || task.phase == task_phase::stopping) {
        return;
    }
    task.phase = task_phase::stopping;
    task.preempted_for = why;
    send(at, command_kind::stop, why);
}

void preemptor::send_throttle(slot at)
{
    send(at, command_kind::throttle, reason::throttled_for_urgent);
    worker_command& command = m_state.output.commands.back();
    command.size.cpu = base::millicores{command.size.cpu.value() / throttle_divisor};
}

void preemptor::resend_command(slot at)
{
    const task_record& task = m_state.tasks[at];
    if (m_state.now - task.last_command_at < resend_interval) {
        return;
    }
    if (task.phase == task_phase::stopping) {
        send(at, command_kind::stop, task.preempted_for);
    }
    else if (task.phase == task_phase::checkpointing) {
        send(at, command_kind::checkpoint, task.preempted_for);
    }
    else if (task.phase == task_phase::throttling) {
        send_throttle(at);
    }
}

void preemptor::throttle(slot at)
{
    task_record& task = m_state.tasks[at];
    task.phase = task_phase::throttling;
    task.was_throttled = true;
    send_throttle(at);
    schedule_escalation(at, m_state.settings.checkpoint_timeout);
}

std::vector<preemptor::step> preemptor::steps_on(slot worker) const
{
    std::vector<step> result;
    for (const slot at : m_state.workers[worker].tasks) {
        const task_record& task = m_state.tasks[at];
        if (task.job == no_slot || !is_active(task)) {
            continue;
        }
        const job_spec& spec = m_state.jobs[task.job].spec;
        if (spec.kind == job_kind::urgent || spec.kind == job_kind::gang) {
            continue;
        }
        const double extra = spec.kind == job_kind::service ? service_cost : 0.0;
        const double ran = seconds(m_state.now - task.started);
        if (spec.can_checkpoint && spec.repeatable) {
            result.push_back({at, command_kind::checkpoint, checkpoint_cost + extra, task.size});
        }
        else if (spec.can_throttle && !task.was_throttled) {
            resources freed;
            freed.cpu = task.size.cpu - base::millicores{task.size.cpu.value() / throttle_divisor};
            result.push_back({at, command_kind::throttle, throttle_cost + extra, freed});
        }
        else if (spec.repeatable) {
            result.push_back({at, command_kind::stop, stop_cost + extra + ran, task.size});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const step& left, const step& right) { return left.cost < right.cost; });
    return result;
}

preemptor::plan preemptor::plan_on(slot worker, const resources& size) const
{
    plan result;
    resources free = m_state.index.urgent_free(worker);
    for (const step& next : steps_on(worker)) {
        if (size.fits_in(free)) {
            break;
        }
        free += next.freed;
        result.cost += next.cost;
        result.steps.push_back(next);
    }
    if (size.fits_in(free)) {
        result.worker = worker;
    }
    return result;
}

void preemptor::free_capacity_for(slot job_at)
{
    job_record& job = m_state.jobs[job_at];
    const base::duration wait = m_state.settings.checkpoint_timeout * 2;
    if (job.reclaim_started_at != base::time_point{} &&
        m_state.now < job.reclaim_started_at + wait) {
        return;
    }
    job.reclaim_started_at = m_state.now;
    plan best;
    const slot fleet = m_state.index.size();
    slot compared = 0;
    for (slot i = 0; i < fleet && (compared < max_compared_workers || best.worker == no_slot);
         ++i) {
        m_next_worker = (m_next_worker + 1) % fleet;
        const worker_record& worker = m_state.workers[m_next_worker];
        if (!m_state.usable(worker) || m_state.now < worker.held_until ||
            !job.size.fits_in(worker.capacity) || !worker_admits(m_state, m_next_worker, job)) {
            continue;
        }
        ++compared;
        plan next = plan_on(m_next_worker, job.size);
        if (next.worker != no_slot && (best.worker == no_slot || next.cost < best.cost)) {
            best = std::move(next);
        }
    }
    if (best.worker == no_slot) {
        m_state.record_reason(job_at, reason::waiting_for_capacity);
        return;
    }
    m_state.hold(best.worker, no_slot, m_state.now + wait);
    m_state.record_reason(job_at, reason::waiting_for_preemption);
    for (const step& next : best.steps) {
        switch (next.kind) {
        case command_kind::checkpoint:
            checkpoint(next.task, reason::preempted_for_urgent);
            break;
        case command_kind::throttle:
            throttle(next.task);
            break;
        default:
            stop(next.task, reason::stopped_for_urgent);
        }
    }
}

void preemptor::escalate()
{
    std::erase_if(m_escalations, [this](const auto& entry) {
        const auto& [at, id] = entry;
        if (at >= m_state.tasks.size() || m_state.tasks[at].id != id) {
            return true;
        }
        task_record& task = m_state.tasks[at];
        if (task.phase != task_phase::checkpointing && task.phase != task_phase::throttling) {
            return true;
        }
        if (m_state.now < task.escalate_at) {
            return false;
        }
        if (m_state.jobs[task.job].spec.repeatable) {
            stop(at, reason::stopped_checkpoint_overdue);
        }
        return true;
    });
}

void preemptor::restore_full_size(slot worker)
{
    if (m_state.waiting_urgent > 0 || !m_state.usable(m_state.workers[worker])) {
        return;
    }
    const std::vector<slot> tasks = m_state.workers[worker].tasks;
    for (const slot at : tasks) {
        task_record& task = m_state.tasks[at];
        if (!task.throttled || !is_active(task)) {
            continue;
        }
        const resources more = task.full_size - task.size;
        if (more.fits_in(m_state.index.free(worker)) && m_state.within_limit(task.team, more)) {
            m_state.resize_task(at, task.full_size);
            task.throttled = false;
            send(at, command_kind::unthrottle, reason::restored_full_speed);
        }
    }
}

} // namespace lovagebeam::placement::internal
