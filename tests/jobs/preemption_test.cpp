#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <string>

// Load pattern: lookups on a fleet that batch work of many seconds has filled.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// How long a simulated worker takes to stop a run.
constexpr auto stop_time = 200ms;
/// How long an urgent step may wait for room.
constexpr auto room_time = 500ms;
/// How long any step that could run may wait while nothing of its account runs.
constexpr base::duration longest_wait = 3s;
constexpr std::uint64_t first_lookup = 1'000;

/// Tasks of 16 processors, four of which fill a worker.
job_spec batch(std::uint64_t id, std::uint32_t tasks)
{
    auto job = simple_job(id, tasks, 16'000);
    job.priority = 2;
    job.slack_factor = 4;
    job.steps[0].estimate = 30s;
    return job;
}

job_spec lookup(std::uint64_t id)
{
    auto job = simple_job(id, 1, 4'000);
    job.priority = 0;
    job.slack_factor = 1.5;
    job.target_latency = 2s;
    job.steps[0].estimate = 400ms;
    return job;
}

class preemption_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(preemption_test);
    CPPUNIT_TEST(burst_on_full_fleet_starts_in_time);
    CPPUNIT_TEST(burst_with_advice_starts_in_time);
    CPPUNIT_TEST(burst_of_many_steps_starts_in_time);
    CPPUNIT_TEST(urgent_work_that_finds_room_preempts_nothing);
    CPPUNIT_TEST(short_wait_for_room_preempts_nothing);
    CPPUNIT_TEST(no_more_is_stopped_than_the_burst_needs);
    CPPUNIT_TEST(burst_behind_steps_without_worker_starts_with_as_few_stops);
    CPPUNIT_TEST(urgent_step_behind_many_without_victims_gets_room);
    CPPUNIT_TEST(urgent_step_whose_workers_are_compared_last_gets_room);
    CPPUNIT_TEST(batch_work_does_not_take_freed_room);
    CPPUNIT_TEST(checkpoint_of_stopped_run_is_kept);
    CPPUNIT_TEST(freshly_checkpointed_run_is_stopped_first);
    CPPUNIT_TEST(expired_run_is_stopped_first);
    CPPUNIT_TEST(long_running_work_is_never_stopped);
    CPPUNIT_TEST(stop_is_no_failure_and_worker_is_used_again);
    CPPUNIT_TEST(gang_is_stopped_whole_or_not_at_all);
    CPPUNIT_TEST(gang_is_spared_beside_single_runs);
    CPPUNIT_TEST(urgent_gang_gets_room_for_all_members);
    CPPUNIT_TEST(bursts_again_and_again_preempt_no_task_more_than_twice);
    CPPUNIT_TEST(bursts_under_changing_leaders_preempt_no_task_more_than_twice);
    CPPUNIT_TEST(bursts_under_faults_preserve_invariants);
    CPPUNIT_TEST(cancel_while_runs_are_stopped_gives_room_back);
    CPPUNIT_TEST(leader_lost_while_runs_are_stopped_lookups_start);
    CPPUNIT_TEST(new_leader_waits_for_its_workers);
    CPPUNIT_TEST(worker_that_ignores_stop_is_replaced_by_another);
    CPPUNIT_TEST(worker_cut_off_before_stop_is_replaced_by_another);
    CPPUNIT_TEST(account_at_its_limit_preempts_nothing);
    CPPUNIT_TEST(expired_lookup_preempts_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against urgent work that waits until batch work ends, 15 s or more here.
    void burst_on_full_fleet_starts_in_time()
    {
        auto cell = full_cell({});
        submit_lookups(*cell, 24);
        check_starts(*cell, 24, room_time + stop_time);
    }

    void burst_with_advice_starts_in_time()
    {
        auto cell = full_cell({.with_advice = true});
        submit_lookups(*cell, 24);
        check_starts(*cell, 24, room_time + stop_time);
    }

    // More steps than a pass looks at or plans for, a fifth of the fleet.
    void burst_of_many_steps_starts_in_time()
    {
        for (const bool with_advice : {false, true}) {
            auto cell = full_cell({.workers = 32, .with_advice = with_advice, .agents = 24});
            submit_lookups(*cell, 100);
            check_starts(*cell, 100, room_time + stop_time);
        }
    }

    void urgent_work_that_finds_room_preempts_nothing()
    {
        auto cell = std::make_unique<sim_cell>(1, sim_settings{});
        cell->run_for(1s);
        cell->submit(batch(1, 64));
        cell->run_for(1s);
        // The headroom of 5% is free.
        submit_lookups(*cell, 5);
        cell->run_for(5s);
        CPPUNIT_ASSERT(cell->preemptions.empty());
        CPPUNIT_ASSERT(first_start_after(*cell, 5) <= 100ms);
    }

    // Runs end every few milliseconds, so that no lookup waits for long.
    void short_wait_for_room_preempts_nothing()
    {
        auto cell = std::make_unique<sim_cell>(1, sim_settings{});
        cell->run_for(1s);
        auto filler = batch(1, 3'000);
        filler.steps[0].size.millicores = 2'000;
        filler.steps[0].estimate = 200ms;
        cell->submit(filler);
        cell->run_for(1s);
        submit_lookups(*cell, 8);
        cell->run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell->preemptions.size());
    }

    // Four lookups fit into the room of one run.
    void no_more_is_stopped_than_the_burst_needs()
    {
        auto cell = full_cell({});
        submit_lookups(*cell, 8);
        cell->run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell->preemptions.size());
    }

    // Guards against room that is made for a step and given back unused, since the planner doesn't
    // look at the step again in time.
    void burst_behind_steps_without_worker_starts_with_as_few_stops()
    {
        auto cell = full_cell({});
        cell->submit(batch(50, 40));
        submit_without_worker(*cell, 1, 4'000);
        submit_lookups(*cell, 8, 300s);
        cell->run_for(15s);
        check_all_started(*cell, 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell->preemptions.size());
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    // Guards against attempts to make room that are always spent on the same steps, which nothing
    // that could be stopped keeps from running.
    void urgent_step_behind_many_without_victims_gets_room()
    {
        auto cell = full_cell({});
        submit_without_worker(*cell, 40, 8);
        submit_lookups(*cell, 1, 300s);
        cell->run_for(longest_wait);
        CPPUNIT_ASSERT(first_start_after(*cell, 1) <= longest_wait);
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    // The same for workers: the first two lookups can only use workers on which nothing can be
    // stopped, as many as one pass compares.
    void urgent_step_whose_workers_are_compared_last_gets_room()
    {
        sim_cell cell{1, {.workers = 138, .urgent_headroom = 0}};
        cell.run_for(1s);
        int number = 0;
        for (auto& [id, worker] : cell.workers) {
            worker.info.labels = {number < 64 ? "first" : number < 128 ? "second" : "third"};
            cell.change_capacity(id, worker.info.capacity.millicores);
            ++number;
        }
        cell.run_for(2s);
        std::uint64_t next = 1;
        for (const auto& [label, tasks] :
             {std::pair{"first", 256U}, {"second", 256U}, {"third", 40U}}) {
            auto job = batch(next++, tasks);
            job.steps[0].required_label = label;
            job.steps[0].long_running = tasks == 256;
            cell.submit(job);
        }
        cell.run_for(2s);
        for (const auto* const label : {"first", "second", "third"}) {
            auto job = lookup(m_next++);
            job.steps[0].required_label = label;
            job.target_latency = label == std::string{"third"} ? 300s : 200s;
            cell.submit(job);
        }
        cell.run_for(longest_wait);
        CPPUNIT_ASSERT(cell.was_placed(job_number{m_next - 1}));
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    void batch_work_does_not_take_freed_room()
    {
        auto cell = full_cell({});
        cell->submit(batch(50, 40));
        submit_lookups(*cell, 4);
        check_starts(*cell, 4, room_time + stop_time);
    }

    void checkpoint_of_stopped_run_is_kept()
    {
        auto cell = full_cell({}, [](job_spec& job) { job.steps[0].checkpoints = true; });
        submit_lookups(*cell, 4);
        cell->run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell->preemptions.size());
        const auto key = cell->preemptions.begin()->first;
        const auto kept = cell->records.find(key)->checkpoint;
        CPPUNIT_ASSERT(!kept.empty());
        cell->run_for(60s);
        CPPUNIT_ASSERT_EQUAL(kept, cell->last_started_from.at(key));
    }

    void freshly_checkpointed_run_is_stopped_first()
    {
        auto cell = full_cell(
            {}, [](job_spec& job) { job.steps[0].checkpoints = job.id == job_number{3}; });
        cell->run_for(2s);
        submit_lookups(*cell, 4);
        cell->run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, preempted_jobs(*cell));
        // The other runs have lost 4 s of 16 processors by then.
        CPPUNIT_ASSERT(cell->lost_core_seconds <= 16 * 1.6);
    }

    void expired_run_is_stopped_first()
    {
        auto cell = full_cell({}, [](job_spec& job) {
            if (job.id == job_number{2}) {
                job.slack_factor = 0;
                job.target_latency = 100ms;
            }
        });
        submit_lookups(*cell, 4);
        cell->run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, preempted_jobs(*cell));
    }

    void long_running_work_is_never_stopped()
    {
        auto cell = full_cell({}, [](job_spec& job) { job.steps[0].long_running = true; });
        submit_lookups(*cell, 8);
        cell->run_for(10s);
        CPPUNIT_ASSERT(cell->preemptions.empty());
    }

    // Guards against a preempted task that may not return to its worker, and against a quarantine
    // for stops.
    void stop_is_no_failure_and_worker_is_used_again()
    {
        auto cell = full_cell({.workers = 1});
        submit_lookups(*cell, 4);
        cell->run_for(8s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell->preemptions.size());
        const auto& task = *cell->records.find(cell->preemptions.begin()->first);
        CPPUNIT_ASSERT(task.placed);
        CPPUNIT_ASSERT_EQUAL(0U, task.failures);
        CPPUNIT_ASSERT_EQUAL(2U, task.attempt);
        CPPUNIT_ASSERT(!cell->leader->workers().is_quarantined(cell->now, base::worker_id{"w0"}));
    }

    void gang_is_stopped_whole_or_not_at_all()
    {
        for (const std::uint32_t members : {4U, 16U}) {
            // Four of 32 runs are within the limit of a quarter, sixteen aren't.
            auto cell = full_cell(
                {}, [&](job_spec& job) { job.steps[0].gang = true; }, members);
            submit_lookups(*cell, 4);
            cell->run_for(2s);
            CPPUNIT_ASSERT_EQUAL(members == 4 ? std::size_t{4} : 0, cell->preemptions.size());
            CPPUNIT_ASSERT_EQUAL(members == 4 ? std::size_t{1} : 0, preempted_jobs(*cell).size());
            cell->run_for(30s);
            CPPUNIT_ASSERT(cell->violations.empty());
        }
    }

    void gang_is_spared_beside_single_runs()
    {
        auto cell = full_cell({}, [](job_spec& job) { job.steps[0].gang = job.id.value() > 1; });
        submit_lookups(*cell, 4);
        cell->run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, preempted_jobs(*cell));
    }

    void urgent_gang_gets_room_for_all_members()
    {
        auto cell = full_cell({});
        auto gang = lookup(first_lookup);
        gang.steps[0].tasks = 6;
        gang.steps[0].gang = true;
        gang.steps[0].size.millicores = 16'000;
        m_submitted = cell->now;
        cell->submit(gang);
        cell->run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, cell->preemptions.size());
        for (std::uint32_t index = 0; index < 6; ++index) {
            const auto start = cell->first_starts.at({job_number{first_lookup}, 0, 0, index});
            CPPUNIT_ASSERT(start - m_submitted <= room_time + stop_time);
        }
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    void bursts_again_and_again_preempt_no_task_more_than_twice()
    {
        auto cell = full_cell({});
        for (int burst = 0; burst < 20; ++burst) {
            submit_lookups(*cell, 16);
            cell->run_for(1500ms);
        }
        CPPUNIT_ASSERT(most_preemptions(*cell) >= 1);
        CPPUNIT_ASSERT(most_preemptions(*cell) <= 2);
    }

    // Guards against counts that are lost with the leader.
    void bursts_under_changing_leaders_preempt_no_task_more_than_twice()
    {
        auto cell = full_cell({.workers = 2});
        for (int burst = 0; burst < 20; ++burst) {
            submit_lookups(*cell, 8);
            cell->run_for(1500ms);
            cell->change_leader();
            cell->run_for(2500ms);
        }
        CPPUNIT_ASSERT(most_preemptions(*cell) >= 1);
        CPPUNIT_ASSERT(most_preemptions(*cell) <= 2);
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    // Guards against room that is booked twice or never given back, and against preemptions beyond
    // two, while leaders change, workers restart, are cut off or ignore stops, and orders are lost.
    void bursts_under_faults_preserve_invariants()
    {
        std::size_t preempted = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            sim_cell cell{seed, {.with_advice = seed % 2 == 0, .urgent_headroom = 0}};
            cell.has_faults = true;
            for (std::uint64_t burst = 0; burst < 20; ++burst) {
                auto job = batch(1 + burst, 12);
                job.steps[0].gang = cell.random.chance(0.3);
                job.steps[0].checkpoints = cell.random.chance(0.5);
                job.steps[0].estimate = 5s;
                cell.submit(job);
                submit_lookups(cell, 12);
                inject_fault(cell);
                cell.run_for(std::chrono::milliseconds{cell.random.between(300, 1'500)});
            }
            cell.settings.lose_request = 0;
            for (auto& [id, worker] : cell.workers) {
                worker.is_partitioned = worker.ignores_stops = false;
            }
            cell.run_for(90s);
            cell.check_acknowledged_ends();
            const auto name = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_MESSAGE(name + (cell.violations.empty() ? "" : cell.violations.front()),
                                   cell.violations.empty());
            CPPUNIT_ASSERT_MESSAGE(name, cell.all_jobs_ended());
            CPPUNIT_ASSERT_MESSAGE(name, most_preemptions(cell) <= 2);
            preempted += cell.preemptions.size();
        }
        CPPUNIT_ASSERT(preempted > 0);
    }

    void cancel_while_runs_are_stopped_gives_room_back()
    {
        auto cell = full_cell({});
        submit_lookups(*cell, 4);
        cell->run_for(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell->preemptions.size());
        for (std::uint64_t i = 0; i < 4; ++i) {
            cell->cancel(job_number{first_lookup + i});
        }
        cell->run_for(2s);
        // The stopped task has started again in the room that was given back.
        CPPUNIT_ASSERT(cell->records.find(cell->preemptions.begin()->first)->placed);
    }

    void leader_lost_while_runs_are_stopped_lookups_start()
    {
        auto cell = full_cell({});
        submit_lookups(*cell, 8);
        cell->run_for(200ms);
        CPPUNIT_ASSERT(!cell->preemptions.empty());
        cell->change_leader();
        cell->run_for(4s);
        check_all_started(*cell, 8);
        CPPUNIT_ASSERT(most_preemptions(*cell) <= 2);
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    // The fleet has room, but the new leader learns it only from the answers to its holds.
    void new_leader_waits_for_its_workers()
    {
        auto cell = std::make_unique<sim_cell>(1, sim_settings{});
        cell->run_for(1s);
        cell->submit(batch(1, 64));
        cell->run_for(1s);
        cell->change_leader();
        submit_lookups(*cell, 5);
        cell->run_for(4s);
        CPPUNIT_ASSERT(cell->preemptions.empty());
        check_all_started(*cell, 5);
    }

    void worker_that_ignores_stop_is_replaced_by_another()
    {
        check_replaced([](sim_worker& worker) { worker.ignores_stops = true; });
    }

    void worker_cut_off_before_stop_is_replaced_by_another()
    {
        check_replaced([](sim_worker& worker) { worker.is_partitioned = true; });
    }

    void account_at_its_limit_preempts_nothing()
    {
        auto cell = full_cell({});
        auto limited = std::make_shared<catalog>(*cell->config);
        limited->accounts["small"] = account_settings{"small", {"key2"}, 1, {2'000, 0, 0}};
        cell->change_config(limited);
        auto job = lookup(first_lookup);
        job.account = "small";
        cell->submit(job);
        cell->run_for(3s);
        CPPUNIT_ASSERT(cell->preemptions.empty());
    }

    void expired_lookup_preempts_nothing()
    {
        auto cell = full_cell({});
        auto job = lookup(first_lookup);
        job.slack_factor = 0;
        job.target_latency = 10ms;
        cell->submit(job);
        cell->run_for(3s);
        CPPUNIT_ASSERT(cell->preemptions.empty());
    }

private:
    static constexpr std::uint32_t tasks_per_job = 8;

    /// Fills the workers with jobs 1, 2, ... of `tasks` runs, which `change` may change.
    template <class Change>
    static void fill(sim_cell& cell, std::uint32_t workers, Change change,
                     std::uint32_t tasks = tasks_per_job)
    {
        const auto all = workers * 4;
        for (std::uint32_t placed = 0; placed < all; placed += tasks) {
            auto job = batch(1 + placed / tasks, std::min(tasks, all - placed));
            change(job);
            cell.submit(job);
        }
        cell.run_for(2s);
    }

    /// Without headroom for urgent work, so that batch work fills the workers.
    std::unique_ptr<sim_cell> full_cell(sim_settings settings)
    {
        return full_cell(settings, [](job_spec&) {});
    }

    template <class Change>
    std::unique_ptr<sim_cell> full_cell(sim_settings settings, Change change,
                                        std::uint32_t tasks = tasks_per_job)
    {
        settings.urgent_headroom = 0;
        auto cell = std::make_unique<sim_cell>(1, settings);
        cell->run_for(1s);
        fill(*cell, settings.workers, change, tasks);
        return cell;
    }

    void submit_lookups(sim_cell& cell, std::uint64_t count, milliseconds target = 2s)
    {
        m_submitted = cell.now;
        m_first = m_next;
        for (std::uint64_t i = 0; i < count; ++i) {
            auto job = lookup(m_next++);
            job.target_latency = target;
            cell.submit(job);
        }
    }

    /// Submits lookups of several accounts, also of the usual one, that no worker can run and that
    /// are due before those that may wait for 300 s.
    static void submit_without_worker(sim_cell& cell, std::uint64_t accounts, std::uint64_t count)
    {
        auto config = std::make_shared<catalog>(*cell.config);
        ++config->version;
        const auto name = [](std::uint64_t number) {
            return number == 0 ? "account" : "account-" + std::to_string(number);
        };
        for (std::uint64_t number = 0; number < accounts; ++number) {
            config->accounts[name(number)] = {name(number), {"key-" + name(number)}, 1, {}};
        }
        cell.change_config(config);
        for (std::uint64_t number = 0; number < accounts * count; ++number) {
            auto job = lookup(1'000'000 + number);
            job.account = name(number % accounts);
            job.target_latency = 200s;
            job.steps[0].required_label = "missing";
            cell.submit(job);
        }
        cell.run_for(1s);
    }

    static void inject_fault(sim_cell& cell)
    {
        auto pick = std::next(cell.workers.begin(),
                              static_cast<std::ptrdiff_t>(cell.random.below(cell.workers.size())));
        switch (cell.random.below(6)) {
        case 0:
            cell.change_leader();
            return;
        case 1:
            cell.restart_worker(pick->first, cell.random.chance(0.5));
            return;
        case 2:
            pick->second.is_partitioned = !pick->second.is_partitioned;
            return;
        case 3:
            pick->second.ignores_stops = !pick->second.ignores_stops;
            return;
        case 4:
            cell.settings.lose_request = cell.random.chance(0.5) ? 0.1 : 0;
            return;
        default:
            return;
        }
    }

    static std::string preempted_jobs(const sim_cell& cell)
    {
        std::string out;
        for (const auto& [task, times] : cell.preemptions) {
            const auto id = std::to_string(task.job.value());
            if (out.find(id) == std::string::npos) {
                out += id;
            }
        }
        return out;
    }

    static std::uint32_t most_preemptions(const sim_cell& cell)
    {
        std::uint32_t most = 0;
        for (const auto& [task, times] : cell.preemptions) {
            most = std::max(most, times);
        }
        return most;
    }

    /// The longest time from the submission to the start of one of the last lookups.
    base::duration first_start_after(const sim_cell& cell, std::uint64_t count) const
    {
        base::duration longest{};
        for (auto id = m_first; id < m_first + count; ++id) {
            const auto start = cell.first_starts.find({job_number{id}, 0, 0, 0});
            longest =
                std::max(longest, start == cell.first_starts.end() ? base::duration::max()
                                                                   : start->second - m_submitted);
        }
        return longest;
    }

    void check_all_started(const sim_cell& cell, std::uint64_t count) const
    {
        CPPUNIT_ASSERT(first_start_after(cell, count) < 1h);
    }

    void check_starts(sim_cell& cell, std::uint64_t count, base::duration bound)
    {
        cell.run_for(3s);
        const auto longest = first_start_after(cell, count);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(longest / 1ms) + " ms", longest <= bound);
        CPPUNIT_ASSERT(!cell.preemptions.empty());
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    /// Breaks the worker of the first run that is stopped, and checks that the lookups start on
    /// another one.
    template <class Fault>
    void check_replaced(Fault fault)
    {
        auto cell = full_cell({});
        submit_lookups(*cell, 2);
        for (int i = 0; i < 500 && cell->preemptions.empty(); ++i) {
            cell->run_for(1ms);
        }
        CPPUNIT_ASSERT(!cell->preemptions.empty());
        const auto& task = *cell->records.find(cell->preemptions.begin()->first);
        fault(cell->workers.at(task.worker));
        cell->run_for(2s);
        check_all_started(*cell, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell->preemptions.size());
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    base::time_point m_submitted;
    std::uint64_t m_first = first_lookup;
    std::uint64_t m_next = first_lookup;
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_test);

} // namespace
