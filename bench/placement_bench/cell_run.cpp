#include "cell_run.h"

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
/// Work goes on for this long after the last arrival, so that late jobs can still end.
constexpr base::duration run_out = std::chrono::minutes{10};

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

double cores(const placement::resources& amount)
{
    return static_cast<double>(amount.cpu.value()) / 1000.0;
}

} // namespace

cell_run::cell_run(const workload& work, std::uint64_t seed, base::duration length)
    : m_work{work}, m_random{seed}, m_length{length}, m_progress(work.jobs.size()),
      m_down(work.workers.size(), false)
{
    m_now = time_point{std::chrono::hours{1}};
    for (std::size_t i = 0; i < work.jobs.size(); ++i) {
        m_job_by_id[work.jobs[i].spec.id.str()] = i;
        m_progress[i].seen.resize(work.jobs[i].spec.tasks);
        m_progress[i].done.resize(work.jobs[i].spec.tasks);
        schedule(work.jobs[i].arrival + 12s, what::arrival, i);
    }
    const time_point end = m_now + length;
    for (std::size_t i = 0; i < work.workers.size(); ++i) {
        m_worker_by_id[work.workers[i].worker.str()] = i;
        schedule(m_now + std::chrono::milliseconds{10 * (i % 50)}, what::announce, i);
    }
    schedule(m_now, what::tick);
    schedule(m_now + 15s, what::sample);
    for (time_point at = m_now + 60s; at < end; at += 45s) {
        schedule(at, what::down, m_random.below(work.workers.size()));
    }
    schedule(m_now + length / 3, what::cancel_wave);
    schedule(m_now + length * 2 / 3, what::cancel_wave);
}

void cell_run::schedule(time_point when, what kind, std::size_t index, std::string task)
{
    m_items.push({when, m_next++, kind, index, std::move(task)});
}

void cell_run::give(const placement::event& input)
{
    const auto before = std::chrono::steady_clock::now();
    const placement::decisions result = m_with->step(m_now, input);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - before;
    m_result.step_us.push_back(took.count());
    take(result);
}

void cell_run::take(const placement::decisions& from)
{
    for (const placement::placement_decision& decision : from.placements) {
        note_placed(decision);
        schedule(m_now + commit_latency, what::commit, decision.id.value());
    }
    for (const placement::worker_command& command : from.commands) {
        ++m_result.commands;
        apply(command);
    }
    for (const placement::placement_released& released : from.released) {
        m_booked.erase(released.task.str());
    }
    for (const placement::job_update& update : from.jobs) {
        m_progress[m_job_by_id.at(update.job.str())].final =
            update.state != placement::job_state::running;
    }
}

void cell_run::note_placed(const placement::placement_decision& decision)
{
    for (const placement::placed_task& placed : decision.tasks) {
        m_booked[placed.task.str()] = placed;
        const std::size_t at = m_job_by_id.at(placed.job.str());
        const bench_job& job = m_work.jobs[at];
        if (m_progress[at].seen[placed.index]) {
            continue;
        }
        m_progress[at].seen[placed.index] = true;
        ++m_progress[at].placed_first;
        const double wait = seconds(m_now - job.arrival - 12s) * 1000.0;
        m_result.waits[job.spec.kind].push_back(wait);
        if (job.spec.kind == placement::job_kind::urgent && m_booked_part >= 0.95) {
            m_result.urgent_busy_waits.push_back(wait);
        }
    }
}

void cell_run::start(const placement::worker_command& command)
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
    const double slower = std::max(1.0, cores(job.use) / cores(command.size));
    const base::duration left = job.run_time - m_progress[task.job].done[task.index];
    base::duration takes = std::chrono::duration_cast<base::duration>(left * slower);
    if (job.use.memory.value() > command.size.memory.value()) {
        task.outcome = task_outcome::failed;
        takes /= 4;
    }
    task.ends = m_now + takes;
    m_running[command.task.str()] = task;
    schedule(task.ends, what::end, 0, command.task.str());
}

void cell_run::apply(const placement::worker_command& command)
{
    if (command.kind == command_kind::start) {
        start(command);
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
        m_progress[task.job].done[task.index] += m_now - task.started;
        m_result.lost_core_seconds += cores(task.booked) * seconds(checkpoint_time);
        task.outcome = task_outcome::checkpointed;
        task.ends = m_now + checkpoint_time;
    }
    else if (command.kind == command_kind::stop) {
        m_result.lost_core_seconds +=
            preempted ? cores(task.booked) * seconds(m_now - task.started) : 0;
        task.outcome = task_outcome::stopped;
        task.ends = m_now + 10ms;
    }
    else {
        const bool slower = command.kind == command_kind::throttle;
        task.ends = m_now + (slower ? (task.ends - m_now) * 2 : (task.ends - m_now) / 2);
        task.booked = command.size;
        if (slower) {
            schedule(m_now + 20ms, what::end, 1, command.task.str());
        }
    }
    schedule(task.ends, what::end, 0, command.task.str());
}

void cell_run::end(const std::string& name)
{
    const auto at = m_running.find(name);
    if (at == m_running.end() || at->second.ends > m_now) {
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
        const bool done = progress.completed == job.spec.tasks;
        if (done && job.spec.deadline && m_now > *job.spec.deadline + 12s) {
            m_result.missed.insert(job.spec.id.str());
        }
    }
    give(report);
}

void cell_run::announce(std::size_t worker)
{
    schedule(m_now + 500ms, what::announce, worker);
    if (m_down[worker]) {
        return;
    }
    placement::worker_seen seen = m_work.workers[worker];
    for (const auto& [name, task] : m_running) {
        if (task.worker == worker) {
            seen.running.push_back({base::task_id{name}, task.booked, {}});
        }
    }
    give(seen);
}

void cell_run::take_down(std::size_t worker)
{
    if (m_down[worker]) {
        return;
    }
    m_down[worker] = true;
    std::erase_if(m_running, [&](const auto& entry) { return entry.second.worker == worker; });
    schedule(m_now + 30s, what::up, worker);
    give(placement::worker_lost{m_work.workers[worker].worker});
}

void cell_run::cancel_wave()
{
    for (std::size_t i = 0; i < m_work.jobs.size() && m_work.jobs[i].arrival + 12s < m_now; ++i) {
        const bool waits = m_progress[i].placed_first < m_work.jobs[i].spec.tasks;
        if (waits && !m_progress[i].cancelled && m_random.chance(0.3)) {
            m_progress[i].cancelled = true;
            give(placement::cancel_job{m_work.jobs[i].spec.id});
        }
    }
}

void cell_run::handle(const item& next)
{
    switch (next.kind) {
    case what::arrival:
        return give(placement::job_accepted{[&] {
            placement::job_spec spec = m_work.jobs[next.index].spec;
            if (spec.deadline) {
                *spec.deadline += 12s;
            }
            return spec;
        }()});
    case what::end:
        if (next.index == 1) {
            const auto at = m_running.find(next.task);
            if (at != m_running.end()) {
                give(placement::task_throttled{base::task_id{next.task}, at->second.booked});
            }
            return;
        }
        return end(next.task);
    case what::announce:
        return announce(next.index);
    case what::tick:
        schedule(m_now + 100ms, what::tick);
        return give(placement::tick{});
    case what::commit:
        return give(placement::decision_committed{placement::decision_id{next.index}});
    case what::down:
        return take_down(next.index);
    case what::up:
        m_down[next.index] = false;
        return;
    case what::cancel_wave:
        return cancel_wave();
    case what::sample:
        schedule(m_now + 1s, what::sample);
        return sample();
    }
}

void cell_run::sample()
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
    m_booked_part = all / capacity;
    const bool arriving = m_now < time_point{std::chrono::hours{1}} + m_length;
    if (arriving && m_now > time_point{std::chrono::hours{1}} + 120s) {
        m_result.packed += all / capacity;
        m_result.packed_used += used / all;
        ++m_busy_samples;
        for (auto& [team, amount] : booked) {
            amount /= capacity;
        }
        sample_shares(booked);
    }
}

void cell_run::finish()
{
    m_result.packed /= static_cast<double>(std::max<std::size_t>(m_busy_samples, 1));
    m_result.packed_used /= static_cast<double>(std::max<std::size_t>(m_busy_samples, 1));
    for (std::size_t i = 0; i < m_work.jobs.size(); ++i) {
        const bench_job& job = m_work.jobs[i];
        if (!job.spec.deadline || m_progress[i].cancelled) {
            m_result.missed.erase(job.spec.id.str());
            continue;
        }
        ++m_result.with_deadline;
        if (m_progress[i].completed < job.spec.tasks) {
            m_result.missed.insert(job.spec.id.str());
        }
    }
}

run_result cell_run::run(contender& with)
{
    m_with = &with;
    m_result = run_result{};
    m_result.name = with.name();
    const time_point last = m_now + m_length + run_out;
    while (!m_items.empty() && m_items.top().when < last) {
        const item next = m_items.top();
        m_items.pop();
        m_now = next.when;
        handle(next);
    }
    finish();
    return m_result;
}

} // namespace lovagebeam::bench
