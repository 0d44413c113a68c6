#pragma once

#include "lovagebeam/placement/scheduler.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::placement::test {

using namespace std::chrono_literals;

inline resources amount(std::int64_t cpu, std::int64_t memory = 1, std::int64_t devices = 0)
{
    return {base::millicores{cpu}, base::bytes{memory}, accelerators{devices}};
}

inline job_spec job(const std::string& id, job_kind kind, std::int64_t cpu, std::uint32_t tasks = 1,
                    const std::string& team = "trust")
{
    job_spec result;
    result.id = base::job_id{id};
    result.team = base::team_id{team};
    result.command = id;
    result.kind = kind;
    result.tasks = tasks;
    result.size = amount(cpu);
    result.run_time = 60s;
    return result;
}

/// Drives a scheduler and simulates the replicated state: commits every placement at once unless
/// `auto_commit` is off, and records the decisions and the commands for workers.
class harness {
public:
    explicit harness(const scheduler_settings& settings = {}, recovered_state state = {})
        : m_scheduler{
              scheduler_builder{}.settings(settings).recovered(std::move(state)).build(now).value()}
    {
    }

    /// Adds a worker; later announcements use the same capacity.
    void add_worker(const std::string& id, std::int64_t cpu, const std::string& domain = "d0",
                    const std::string& rack = "r0", std::int64_t devices = 0)
    {
        worker_seen seen;
        seen.worker = base::worker_id{id};
        seen.domain = base::failure_domain{domain};
        seen.rack = rack_id{rack};
        seen.capacity = amount(cpu, 1000, devices);
        workers[id] = seen;
        process(seen);
    }

    /// Announces a worker with the tasks that it holds.
    void announce(const std::string& id)
    {
        worker_seen seen = workers.at(id);
        for (const auto& [task, command] : held_tasks) {
            if (command.worker.str() == id) {
                seen.running.push_back({command.task, command.size, base::team_id{"trust"}});
            }
        }
        process(seen);
    }

    void announce_all()
    {
        for (const auto& entry : workers) {
            if (!silent.contains(entry.first)) {
                announce(entry.first);
            }
        }
    }

    /// Advances the time in steps of 100 ms, with announcements and ticks.
    void advance(base::duration time)
    {
        for (const base::time_point end = now + time; now < end;) {
            now += 100ms;
            announce_all();
            process(tick{});
        }
    }

    /// Processes an event and, unless `auto_commit` is off, commits the resulting placements.
    /// Returns the decisions of the event itself.
    decisions process(const event& input)
    {
        decisions first = m_scheduler.step(now, input);
        std::deque<decisions> open{first};
        while (!open.empty()) {
            record(open.front());
            for (const placement_decision& placed : open.front().placements) {
                uncommitted.push_back(placed);
            }
            open.pop_front();
            if (auto_commit) {
                for (const placement_decision& placed : std::exchange(uncommitted, {})) {
                    open.push_back(m_scheduler.step(now, decision_committed{placed.id}));
                }
            }
        }
        return first;
    }

    void submit(const job_spec& spec) { process(job_accepted{spec}); }

    void end(const base::task_id& task, task_outcome outcome = task_outcome::completed)
    {
        held_tasks.erase(task.str());
        task_ended report;
        report.task = task;
        report.outcome = outcome;
        process(report);
    }

    /// Tasks of the job that workers hold.
    [[nodiscard]] std::vector<worker_command> tasks_of(const std::string& job) const
    {
        std::vector<worker_command> result;
        for (const auto& entry : held_tasks) {
            if (entry.second.job.str() == job) {
                result.push_back(entry.second);
            }
        }
        return result;
    }

    [[nodiscard]] std::size_t commands(command_kind kind, const std::string& job) const
    {
        std::size_t count = 0;
        for (const worker_command& command : sent) {
            count += command.kind == kind && command.job.str() == job ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::string why(const std::string& job) const
    {
        const auto found = m_scheduler.explain(base::job_id{job});
        return found ? std::string{name_of(found->why)} : "unknown job";
    }

    [[nodiscard]] std::string state(const std::string& job) const
    {
        const auto found = m_scheduler.explain(base::job_id{job});
        return found ? std::string{name_of(found->state)} : "unknown job";
    }

    [[nodiscard]] scheduler& target() { return m_scheduler; }

    base::time_point now{std::chrono::hours{1}};
    bool auto_commit = true;
    std::map<std::string, worker_seen> workers;
    std::map<std::string, bool> silent;
    std::map<std::string, worker_command> held_tasks; ///< started and not ended, by task id
    std::vector<worker_command> sent;
    std::vector<job_update> updates;
    std::vector<worker_update> worker_updates;
    std::vector<placement_decision> uncommitted;

private:
    void record(const decisions& from)
    {
        for (const worker_command& command : from.commands) {
            sent.push_back(command);
            if (command.kind == command_kind::start) {
                held_tasks[command.task.str()] = command;
            }
        }
        updates.insert(updates.end(), from.jobs.begin(), from.jobs.end());
        worker_updates.insert(worker_updates.end(), from.workers.begin(), from.workers.end());
    }

    scheduler m_scheduler;
};

} // namespace lovagebeam::placement::test
