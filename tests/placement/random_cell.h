#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/placement/scheduler.h"

#include <cppunit/TestAssert.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::placement::test {

using namespace std::chrono_literals;

/// Simulates a cell with faults around a scheduler: workers that run tasks and track their own
/// leases, a replicated state that commits late or not at all, messages that are late, repeated or
/// lost, and leader changes. After each step, checks the tasks that actually run on the workers.
class random_cell {
public:
    explicit random_cell(std::uint64_t seed);

    /// Runs with faults for `faulty`, then without, and checks that every job ends.
    void run(base::duration faulty);

private:
    struct run_record {
        base::job_id job;
        std::uint32_t index = 0;
        resources size;
        base::time_point ends{};
        base::time_point lease_end{};
        task_outcome outcome = task_outcome::completed;
    };
    struct worker_record {
        worker_seen announcement;
        std::map<std::string, run_record> running;
        std::set<std::string> seen_tasks;      ///< ids of tasks that it will not start again
        std::vector<task_ended> ended;         ///< not yet delivered
        base::time_point disconnected_until{}; ///< messages in both directions are lost until then
        base::time_point down_until{};
        base::time_point last_contact{};
        bool reported_lost = true;
        bool faulty = false;     ///< fails everything it starts
        double clock_rate = 1.0; ///< seconds of the worker's clock per simulated second
    };
    struct job_record {
        job_spec spec;
        std::set<std::uint32_t> completed;
        std::set<std::uint32_t> unknown;
        std::set<std::uint32_t> checkpointed;
        bool cancelled = false;
        bool placed = false;
        bool final = false;
        bool always_fails = false;
        std::map<std::uint32_t, int> starts;
    };
    struct pending_event {
        base::time_point when;
        event input;
    };
    struct pending_command {
        base::time_point when;
        worker_command command;
    };
    struct pending_commit {
        base::time_point when;
        placement_decision decision;
    };

    void build_scheduler();
    void change_leader();
    void step();
    void inject_faults();
    void submit_random_jobs();
    job_spec random_spec();
    void process(const event& input);
    void record_end(const task_ended& report);
    void process_decisions(const decisions& from);
    void check_placement(const placement_decision& decision);
    void commit(const placement_decision& decision);
    void run_commits();
    void run_commands();
    void deliver(const worker_command& command);
    void start(worker_record& worker, const worker_command& command);
    void end(worker_record& worker, const std::string& task, task_outcome outcome);
    void run_workers();
    void announce(worker_record& worker);
    void check_running_tasks();
    [[nodiscard]] bool reachable(const worker_record& worker) const;
    /// Returns whether the job fits on the whole fleet and below its team's upper limit. Jobs that
    /// don't fit are accepted while a new leader doesn't know the fleet yet, and then never run.
    [[nodiscard]] bool feasible(const job_spec& spec) const;
    [[nodiscard]] bool all_final() const;
    [[nodiscard]] std::string unfinished() const;
    void require(bool condition, const std::string& rule) const;

    std::uint64_t m_seed;
    base::random_source m_random;
    base::time_point m_now{std::chrono::hours{1}};
    scheduler_settings m_settings;
    std::optional<scheduler> m_scheduler;
    std::map<std::string, worker_record> m_workers;
    std::map<std::string, job_record> m_jobs;
    std::map<std::string, team_settings> m_teams;
    std::map<std::string, placed_task> m_placements;
    std::vector<pending_commit> m_commits;
    std::vector<pending_command> m_commands;
    std::vector<pending_event> m_delayed_events;
    std::uint64_t m_generation = 1;
    int m_next_job = 0;
    bool m_inject_faults = true;
};

} // namespace lovagebeam::placement::test
