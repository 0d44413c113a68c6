#include "random_cell.h"

#include <algorithm>

namespace lovagebeam::placement::test {

namespace {

resources amount(std::int64_t cpu, std::int64_t memory, std::int64_t devices)
{
    return {base::millicores{cpu}, base::bytes{memory}, accelerators{devices}};
}

} // namespace

random_cell::random_cell(std::uint64_t seed) : m_seed{seed}, m_random{seed}
{
    m_settings.task_lease = 2s;
    m_settings.start_transit = 300ms;
    m_settings.gang_wait_timeout = 3s;
    m_settings.share_wait_timeout = 500ms;
    m_settings.quarantine_time = 2s;
    m_settings.correction_samples = 4;
    m_settings.clock_drift = 0.02;
    const auto count = m_random.between(4, 12);
    for (std::uint64_t i = 0; i < count; ++i) {
        worker_record worker;
        worker.announcement.worker = base::worker_id{"w" + std::to_string(i)};
        worker.announcement.domain = base::failure_domain{"d" + std::to_string(i % 3)};
        worker.announcement.rack = rack_id{"r" + std::to_string(i / 2)};
        worker.announcement.capacity = amount(
            static_cast<std::int64_t>(m_random.between(2, 8)) * 1000,
            static_cast<std::int64_t>(m_random.between(2, 8)) * 1000, m_random.chance(0.3) ? 2 : 0);
        worker.faulty = i > 2 && m_random.chance(0.1);
        worker.clock_rate = 0.985 + m_random.unit() * 0.03;
        m_workers["w" + std::to_string(i)] = worker;
    }
    for (const char* team : {"trust", "guild", "queue"}) {
        team_settings settings;
        settings.share = static_cast<std::int64_t>(m_random.between(1, 4));
        if (m_random.chance(0.7)) {
            settings.limit_cpu =
                base::millicores{static_cast<std::int64_t>(m_random.between(4, 20)) * 1000};
        }
        m_teams[team] = settings;
    }
    build_scheduler();
}

void random_cell::require(bool condition, const std::string& rule) const
{
    if (!condition) {
        CPPUNIT_FAIL("seed=" + std::to_string(m_seed) + " violated rule: " + rule);
    }
}

void random_cell::build_scheduler()
{
    recovered_state state;
    state.generation = m_generation;
    for (const auto& [team, settings] : m_teams) {
        state.teams.emplace_back(base::team_id{team}, settings);
    }
    for (const auto& [id, job] : m_jobs) {
        if (!job.final) {
            state.jobs.push_back({job.spec,
                                  {job.completed.begin(), job.completed.end()},
                                  {job.unknown.begin(), job.unknown.end()},
                                  {job.checkpointed.begin(), job.checkpointed.end()},
                                  job.cancelled,
                                  job.placed});
        }
    }
    for (const auto& [id, placement] : m_placements) {
        state.placements.push_back(placement);
    }
    m_scheduler.emplace(
        scheduler_builder{}.settings(m_settings).recovered(std::move(state)).build(m_now).value());
    for (auto& [id, worker] : m_workers) {
        worker.reported_lost = true;
    }
}

void random_cell::change_leader()
{
    // The open proposals of the earlier leader are either committed or lost.
    for (const pending_commit& open : m_commits) {
        if (m_random.chance(0.5)) {
            commit(open.decision);
        }
    }
    m_commits.clear();
    m_delayed_events.clear();
    ++m_generation;
    build_scheduler();
}

void random_cell::commit(const placement_decision& decision)
{
    for (const placed_task& task : decision.tasks) {
        m_placements[task.task.str()] = task;
        m_jobs.at(task.job.str()).placed = true;
    }
}

void random_cell::process(const event& input)
{
    if (const auto* report = std::get_if<task_ended>(&input)) {
        record_end(*report);
    }
    process_decisions(m_scheduler->step(m_now, input));
}

void random_cell::record_end(const task_ended& report)
{
    const auto at = m_placements.find(report.task.str());
    if (at == m_placements.end()) {
        return;
    }
    job_record& job = m_jobs.at(at->second.job.str());
    if (report.outcome == task_outcome::completed && job.spec.kind != job_kind::service) {
        job.completed.insert(at->second.index);
    }
    if (report.outcome == task_outcome::checkpointed) {
        job.checkpointed.insert(at->second.index);
    }
    m_placements.erase(at);
}

void random_cell::process_decisions(const decisions& from)
{
    for (const placement_decision& decision : from.placements) {
        check_placement(decision);
        const base::duration wait = std::chrono::milliseconds{m_random.below(120)};
        m_commits.push_back({m_now + wait, decision});
    }
    for (const worker_command& command : from.commands) {
        const base::duration wait = std::chrono::milliseconds{m_random.below(60)};
        m_commands.push_back({m_now + wait, command});
    }
    for (const placement_released& released : from.released) {
        const auto id = released.task.str();
        if (released.why == reason::ended_outcome_unknown) {
            const std::string job = id.substr(0, id.find('.'));
            const std::string rest = id.substr(id.find('.') + 1);
            m_jobs.at(job).unknown.insert(
                static_cast<std::uint32_t>(std::stoul(rest.substr(0, rest.find('.')))));
        }
        m_placements.erase(id);
    }
    for (const job_update& update : from.jobs) {
        job_record& job = m_jobs.at(update.job.str());
        if (update.state == job_state::running || update.state == job_state::waiting) {
            continue;
        }
        job.final = true;
        require(update.state != job_state::not_run || job.starts.empty(),
                "a job that ended as not_run was never started, job " + update.job.str());
    }
}

void random_cell::check_placement(const placement_decision& decision)
{
    for (const placed_task& task : decision.tasks) {
        const job_record& job = m_jobs.at(task.job.str());
        require(!job.final, "no placement of a final job");
        require(!job.completed.contains(task.index), "no placement of a completed task");
        if (job.spec.kind == job_kind::gang) {
            require(decision.tasks.size() + job.completed.size() + job.unknown.size() ==
                        job.spec.tasks,
                    "all tasks of a gang in one decision, job " + task.job.str());
        }
        if (!job.spec.repeatable) {
            require(!job.starts.contains(task.index),
                    "work that may not be repeated is placed once, job " + task.job.str());
        }
    }
}

void random_cell::run_commits()
{
    std::vector<pending_commit> due;
    std::erase_if(m_commits, [&](const pending_commit& open) {
        if (open.when <= m_now) {
            due.push_back(open);
            return true;
        }
        return false;
    });
    for (const pending_commit& open : due) {
        if (m_inject_faults && m_random.chance(0.05)) {
            process(decision_failed{open.decision.id});
            continue;
        }
        commit(open.decision);
        process(decision_committed{open.decision.id});
    }
}

bool random_cell::reachable(const worker_record& worker) const
{
    return m_now >= worker.disconnected_until && m_now >= worker.down_until;
}

void random_cell::run_commands()
{
    std::vector<worker_command> due;
    std::erase_if(m_commands, [&](const pending_command& open) {
        if (open.when <= m_now) {
            due.push_back(open.command);
            return true;
        }
        return false;
    });
    for (const worker_command& command : due) {
        const bool lost = m_inject_faults && m_random.chance(0.03);
        if (!lost && reachable(m_workers.at(command.worker.str()))) {
            deliver(command);
            if (m_inject_faults && m_random.chance(0.05)) {
                deliver(command);
            }
        }
    }
}

void random_cell::start(worker_record& worker, const worker_command& command)
{
    const std::string id = command.task.str();
    if (!worker.seen_tasks.insert(id).second) {
        return;
    }
    if (m_inject_faults && m_random.chance(0.02)) {
        worker.ended.push_back({command.task, task_outcome::refused, {}, {}});
        return;
    }
    job_record& job = m_jobs.at(command.job.str());
    ++job.starts[command.index];
    require(job.spec.repeatable || job.starts[command.index] == 1,
            "work that may not be repeated runs once, job " + command.job.str());
    require(!job.completed.contains(command.index), "a completed task is not started");
    run_record run;
    run.job = command.job;
    run.index = command.index;
    run.size = command.size;
    const auto scale = std::chrono::milliseconds{100 + m_random.below(1500)};
    run.ends = job.spec.kind == job_kind::service ? base::time_point::max() : m_now + scale;
    run.lease_end =
        m_now + std::chrono::duration_cast<base::duration>(command.lease / worker.clock_rate);
    const bool fails =
        worker.faulty || job.always_fails || (m_inject_faults && m_random.chance(0.03));
    if (fails) {
        run.outcome = task_outcome::failed;
        run.ends = m_now + 50ms;
    }
    worker.running[id] = run;
}

void random_cell::deliver(const worker_command& command)
{
    worker_record& worker = m_workers.at(command.worker.str());
    const std::string id = command.task.str();
    if (command.kind == command_kind::start) {
        start(worker, command);
        return;
    }
    const auto at = worker.running.find(id);
    if (at == worker.running.end()) {
        if (command.kind == command_kind::stop && worker.seen_tasks.insert(id).second) {
            // A worker that restarted doesn't know whether it ran the task, so it reports it as
            // stopped.
            worker.ended.push_back({command.task, task_outcome::stopped, {}, {}});
        }
        return;
    }
    switch (command.kind) {
    case command_kind::checkpoint:
        at->second.outcome = task_outcome::checkpointed;
        at->second.ends = m_now + std::chrono::milliseconds{m_random.below(900)};
        break;
    case command_kind::throttle:
        at->second.size = command.size;
        process(task_throttled{command.task, command.size});
        break;
    case command_kind::unthrottle:
        at->second.size = command.size;
        break;
    default:
        end(worker, id, task_outcome::stopped);
    }
}

void random_cell::end(worker_record& worker, const std::string& task, task_outcome outcome)
{
    const run_record run = worker.running.at(task);
    task_ended report;
    report.task = base::task_id{task};
    report.outcome = outcome;
    report.run_time = 1s;
    if (outcome == task_outcome::completed) {
        report.peak = amount(run.size.cpu.value() / 2 + 1, run.size.memory.value() / 2 + 1, 0);
    }
    worker.ended.push_back(report);
    worker.running.erase(task);
}

void random_cell::run_workers()
{
    for (auto& [id, worker] : m_workers) {
        std::vector<std::pair<std::string, task_outcome>> due;
        for (const auto& [task, run] : worker.running) {
            if (m_now >= run.ends) {
                due.emplace_back(task, run.outcome);
            }
            else if (m_now >= run.lease_end) {
                due.emplace_back(task, task_outcome::stopped);
            }
        }
        for (const auto& [task, outcome] : due) {
            end(worker, task, outcome);
        }
        if (reachable(worker) && m_random.chance(0.4)) {
            announce(worker);
        }
        else if (!worker.reported_lost && m_now - worker.last_contact > 1s) {
            worker.reported_lost = true;
            process(worker_lost{worker.announcement.worker});
        }
    }
}

void random_cell::announce(worker_record& worker)
{
    for (const task_ended& report : std::vector<task_ended>{std::move(worker.ended)}) {
        process(report);
        if (m_inject_faults && m_random.chance(0.1)) {
            m_delayed_events.push_back({m_now + 700ms, report});
        }
    }
    worker.ended.clear();
    worker_seen seen = worker.announcement;
    for (auto& [task, run] : worker.running) {
        seen.running.push_back({base::task_id{task}, run.size, m_jobs.at(run.job.str()).spec.team});
    }
    if (m_inject_faults && m_random.chance(0.05)) {
        // Deliver late. The worker gets no answer, so it doesn't renew its leases.
        m_delayed_events.push_back({m_now + std::chrono::milliseconds{m_random.below(400)}, seen});
        return;
    }
    for (auto& [task, run] : worker.running) {
        run.lease_end = m_now + std::chrono::duration_cast<base::duration>(m_settings.task_lease /
                                                                           worker.clock_rate);
    }
    worker.last_contact = m_now;
    worker.reported_lost = false;
    process(seen);
}

} // namespace lovagebeam::placement::test
