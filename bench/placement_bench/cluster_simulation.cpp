#include "cluster_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lovagebeam::bench {

namespace {

using namespace std::chrono_literals;
using placement::command_kind;
using placement::task_outcome;

constexpr base::duration commit_latency = 5ms;
constexpr base::duration checkpoint_time = 200ms;
/// The simulation continues for this time after the last arrival, so that late jobs can still end.
constexpr base::duration drain_time = std::chrono::minutes{10};

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

double cores(const placement::resources& amount)
{
    return static_cast<double>(amount.cpu.value()) / 1000.0;
}

} // namespace

cluster_simulation::cluster_simulation(const workload& work, std::uint64_t seed,
                                       base::duration length)
    : m_work{work}, m_random{seed}, m_length{length}, m_progress(work.jobs.size()),
      m_down(work.workers.size(), false)
{
    m_now = time_point{std::chrono::hours{1}};
    for (std::size_t i = 0; i < work.jobs.size(); ++i) {
        m_job_by_id[work.jobs[i].spec.id.str()] = i;
        m_progress[i].was_placed.resize(work.jobs[i].spec.tasks);
        m_progress[i].checkpointed.resize(work.jobs[i].spec.tasks);
        schedule(work.jobs[i].arrival + 12s, event_kind::arrival, i);
    }
    const time_point end = m_now + length;
    for (std::size_t i = 0; i < work.workers.size(); ++i) {
        m_worker_by_id[work.workers[i].worker.str()] = i;
        schedule(m_now + std::chrono::milliseconds{10 * (i % 50)}, event_kind::announcement, i);
    }
    schedule(m_now, event_kind::tick);
    schedule(m_now + 15s, event_kind::sample);
    for (time_point at = m_now + 60s; at < end; at += 45s) {
        schedule(at, event_kind::worker_failure, m_random.below(work.workers.size()));
    }
    schedule(m_now + length / 3, event_kind::cancel_wave);
    schedule(m_now + length * 2 / 3, event_kind::cancel_wave);
}

void cluster_simulation::schedule(time_point when, event_kind kind, std::size_t index,
                                  std::string task)
{
    m_events.push({when, m_next_sequence++, kind, index, std::move(task)});
}

void cluster_simulation::deliver(const placement::event& input)
{
    const auto before = std::chrono::steady_clock::now();
    const placement::decisions result = m_policy->step(m_now, input);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - before;
    m_result.step_us.push_back(took.count());
    apply_decisions(result);
}

void cluster_simulation::apply_decisions(const placement::decisions& from)
{
    for (const placement::placement_decision& decision : from.placements) {
        record_placements(decision);
        schedule(m_now + commit_latency, event_kind::commit, decision.id.value());
    }
    for (const placement::worker_command& command : from.commands) {
        ++m_result.commands;
        execute(command);
    }
    for (const placement::placement_released& released : from.released) {
        m_booked.erase(released.task.str());
    }
    for (const placement::job_update& update : from.jobs) {
        m_progress[m_job_by_id.at(update.job.str())].ended =
            update.state != placement::job_state::running;
    }
}

void cluster_simulation::record_placements(const placement::placement_decision& decision)
{
    for (const placement::placed_task& placed : decision.tasks) {
        m_booked[placed.task.str()] = placed;
        const std::size_t at = m_job_by_id.at(placed.job.str());
        const bench_job& job = m_work.jobs[at];
        if (m_progress[at].was_placed[placed.index]) {
            continue;
        }
        m_progress[at].was_placed[placed.index] = true;
        ++m_progress[at].placed_tasks;
        const double wait = seconds(m_now - job.arrival - 12s) * 1000.0;
        m_result.waits[job.spec.kind].push_back(wait);
        if (job.spec.kind == placement::job_kind::urgent && m_booked_ratio >= 0.95) {
            m_result.urgent_busy_waits.push_back(wait);
        }
    }
}

void cluster_simulation::start_task(const placement::worker_command& command)
{
    const std::size_t worker = m_worker_by_id.at(command.worker.str());
    if (m_down[worker] || m_running.contains(command.task.str())) {
        return;
    }
    running_task task;
    task.job = m_job_by_id.at(command.job.str());
    task.index = command.index;
    task.worker = worker;
    task.booked = command.size;
    task.started = m_now;
    const bench_job& job = m_work.jobs[task.job];
    const double slowdown = std::max(1.0, cores(job.use) / cores(command.size));
    const base::duration left = job.run_time - m_progress[task.job].checkpointed[task.index];
    base::duration duration = std::chrono::duration_cast<base::duration>(left * slowdown);
    if (job.use.memory.value() > command.size.memory.value()) {
        task.outcome = task_outcome::failed;
        duration /= 4;
    }
    task.ends_at = m_now + duration;
    m_running[command.task.str()] = task;
    schedule(task.ends_at, event_kind::task_end, 0, command.task.str());
}

void cluster_simulation::execute(const placement::worker_command& command)
{
    if (command.kind == command_kind::start) {
        start_task(command);
        return;
    }
    const auto at = m_running.find(command.task.str());
    if (at == m_running.end()) {
        return;
    }
    running_task& task = at->second;
    ++m_result.reasons[command.why];
    const bool preempted = command.why != placement::reason::stopped_cancelled;
    m_result.preemptions += preempted && command.kind != command_kind::unthrottle ? 1 : 0;
    if (command.kind == command_kind::checkpoint) {
        m_progress[task.job].checkpointed[task.index] += m_now - task.started;
        m_result.lost_core_seconds += cores(task.booked) * seconds(checkpoint_time);
        task.outcome = task_outcome::checkpointed;
        task.ends_at = m_now + checkpoint_time;
    }
    else if (command.kind == command_kind::stop) {
        m_result.lost_core_seconds +=
            preempted ? cores(task.booked) * seconds(m_now - task.started) : 0;
        task.outcome = task_outcome::stopped;
        task.ends_at = m_now + 10ms;
    }
    else {
        const bool slower = command.kind == command_kind::throttle;
        task.ends_at = m_now + (slower ? (task.ends_at - m_now) * 2 : (task.ends_at - m_now) / 2);
        task.booked = command.size;
        if (slower) {
            schedule(m_now + 20ms, event_kind::task_end, 1, command.task.str());
        }
    }
    schedule(task.ends_at, event_kind::task_end, 0, command.task.str());
}

void cluster_simulation::end_task(const std::string& name)
{
    const auto at = m_running.find(name);
    if (at == m_running.end() || at->second.ends_at > m_now) {
        return;
    }
    const running_task task = at->second;
    m_running.erase(at);
    m_booked.erase(name);
    const bench_job& job = m_work.jobs[task.job];
    job_progress& progress = m_progress[task.job];
    placement::task_ended report;
    report.task = base::task_id{name};
    report.outcome = task.outcome;
    report.run_time = m_now - task.started;
    placement::resources peak = job.use;
    peak.memory = base::bytes{std::min(peak.memory.value(), task.booked.memory.value())};
    report.peak = peak;
    m_result.used_core_seconds += cores(job.use) * seconds(m_now - task.started);
    if (task.outcome == task_outcome::completed) {
        ++m_result.completed_tasks;
        ++progress.completed;
        const bool is_complete = progress.completed == job.spec.tasks;
        if (is_complete && job.spec.deadline && m_now > *job.spec.deadline + 12s) {
            m_result.missed_deadlines.insert(job.spec.id.str());
        }
    }
    deliver(report);
}

void cluster_simulation::announce(std::size_t worker)
{
    schedule(m_now + 500ms, event_kind::announcement, worker);
    if (m_down[worker]) {
        return;
    }
    placement::worker_seen seen = m_work.workers[worker];
    for (const auto& [name, task] : m_running) {
        if (task.worker == worker) {
            seen.running.push_back({base::task_id{name}, task.booked, {}});
        }
    }
    deliver(seen);
}

void cluster_simulation::fail_worker(std::size_t worker)
{
    if (m_down[worker]) {
        return;
    }
    m_down[worker] = true;
    std::erase_if(m_running, [&](const auto& entry) { return entry.second.worker == worker; });
    schedule(m_now + 30s, event_kind::worker_recovery, worker);
    deliver(placement::worker_lost{m_work.workers[worker].worker});
}

void cluster_simulation::cancel_wave()
{
    for (std::size_t i = 0; i < m_work.jobs.size() && m_work.jobs[i].arrival + 12s < m_now; ++i) {
        const bool waits = m_progress[i].placed_tasks < m_work.jobs[i].spec.tasks;
        if (waits && !m_progress[i].cancelled && m_random.chance(0.3)) {
            m_progress[i].cancelled = true;
            deliver(placement::cancel_job{m_work.jobs[i].spec.id});
        }
    }
}

void cluster_simulation::handle(const scheduled_event& next)
{
    switch (next.kind) {
    case event_kind::arrival:
        return deliver(placement::job_accepted{[&] {
            placement::job_spec spec = m_work.jobs[next.index].spec;
            if (spec.deadline) {
                *spec.deadline += 12s;
            }
            return spec;
        }()});
    case event_kind::task_end:
        if (next.index == 1) {
            const auto at = m_running.find(next.task);
            if (at != m_running.end()) {
                deliver(placement::task_throttled{base::task_id{next.task}, at->second.booked});
            }
            return;
        }
        return end_task(next.task);
    case event_kind::announcement:
        return announce(next.index);
    case event_kind::tick:
        schedule(m_now + 100ms, event_kind::tick);
        return deliver(placement::tick{});
    case event_kind::commit:
        return deliver(placement::decision_committed{placement::decision_id{next.index}});
    case event_kind::worker_failure:
        return fail_worker(next.index);
    case event_kind::worker_recovery:
        m_down[next.index] = false;
        return;
    case event_kind::cancel_wave:
        return cancel_wave();
    case event_kind::sample:
        schedule(m_now + 1s, event_kind::sample);
        return sample_utilization();
    }
}

void cluster_simulation::sample_utilization()
{
    std::map<std::string, double> booked;
    double all = 0;
    double capacity = 0;
    double used = 0;
    for (const auto& [name, placed] : m_booked) {
        booked[m_work.jobs[m_job_by_id.at(placed.job.str())].spec.team.str()] += cores(placed.size);
        all += cores(placed.size);
    }
    for (std::size_t i = 0; i < m_down.size(); ++i) {
        capacity += m_down[i] ? 0 : cores(m_work.workers[i].capacity);
    }
    for (const auto& [name, task] : m_running) {
        used += std::min(cores(m_work.jobs[task.job].use), cores(task.booked));
    }
    m_booked_ratio = all / capacity;
    const bool arriving = m_now < time_point{std::chrono::hours{1}} + m_length;
    if (arriving && m_now > time_point{std::chrono::hours{1}} + 120s) {
        m_result.booked_ratio += all / capacity;
        m_result.used_ratio += used / all;
        ++m_busy_samples;
        for (auto& [team, amount] : booked) {
            amount /= capacity;
        }
        sample_shares(booked);
    }
}

void cluster_simulation::finish()
{
    m_result.booked_ratio /= static_cast<double>(std::max<std::size_t>(m_busy_samples, 1));
    m_result.used_ratio /= static_cast<double>(std::max<std::size_t>(m_busy_samples, 1));
    for (std::size_t i = 0; i < m_work.jobs.size(); ++i) {
        const bench_job& job = m_work.jobs[i];
        if (!job.spec.deadline || m_progress[i].cancelled) {
            m_result.missed_deadlines.erase(job.spec.id.str());
            continue;
        }
        ++m_result.jobs_with_deadline;
        if (m_progress[i].completed < job.spec.tasks) {
            m_result.missed_deadlines.insert(job.spec.id.str());
        }
    }
}

run_result cluster_simulation::run(scheduling_policy& policy)
{
    m_policy = &policy;
    m_result = run_result{};
    m_result.name = policy.name();
    const time_point last = m_now + m_length + drain_time;
    while (!m_events.empty() && m_events.top().when < last) {
        const scheduled_event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        handle(next);
    }
    finish();
    return m_result;
}

} // namespace lovagebeam::bench
