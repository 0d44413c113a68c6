#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

// Load pattern: gangs on workers whose speed differs by 0.6 to 1.6, with tasks that take seven
// times as long as the others of their step.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// One of its tasks fits on a worker.
job_spec wide_task_gang(std::uint64_t id, std::uint32_t tasks)
{
    auto job = simple_job(id, tasks, 40'000);
    job.steps[0].gang = true;
    job.steps[0].estimate = 3s;
    return job;
}

void set_speeds(sim_cell& cell)
{
    constexpr std::array speeds{0.6, 1.0, 1.6};
    std::size_t index = 0;
    for (auto& [id, worker] : cell.workers) {
        worker.speed = speeds.at(index++ % speeds.size());
    }
}

void check_completed(const sim_cell& cell, std::uint64_t id, std::uint32_t attempt)
{
    const auto& job = *cell.records.find(job_number{id});
    CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, std::string{name_of(job.state)});
    for (const auto& task : job.steps.at(0).tasks) {
        CPPUNIT_ASSERT_EQUAL(attempt, task.attempt);
    }
}

class uneven_workers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(uneven_workers_test);
    CPPUNIT_TEST(gang_with_long_member_is_not_stopped);
    CPPUNIT_TEST(gang_with_hanging_member_is_moved);
    CPPUNIT_TEST(speeds_learned_urgent_jobs_are_in_time);
    CPPUNIT_TEST(speeds_learned_gang_runs_on_fast_workers);
    CPPUNIT_TEST(equal_workers_speeds_stay_equal);
    CPPUNIT_TEST(domain_comes_back_cold_urgent_jobs_are_in_time);
    CPPUNIT_TEST(next_leader_knows_cold_workers_after_heartbeat);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against members that wait at 100% for the others and are taken for stalled: their gang
    // was stopped each time, and their workers were quarantined (487 run_stalled lines and 36
    // worker_quarantined lines on a day without faults on the deployment with uneven workers).
    void gang_with_long_member_is_not_stopped()
    {
        sim_cell cell{1, {.workers = 3}};
        set_speeds(cell);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            cell.submit(wide_task_gang(id, 3));
            cell.lengths[{job_number{id}, 0, 0, static_cast<std::uint32_t>(id - 1)}] = 7;
            cell.run_for(40s);
            check_completed(cell, id, 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.stalled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.quarantined);
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    // Guards against a worker that hangs and is excused because its run is a member of a gang.
    void gang_with_hanging_member_is_moved()
    {
        sim_cell cell{2, {.workers = 4}};
        set_speeds(cell);
        cell.has_faults = true;
        auto& hanging = cell.workers.begin()->second;
        hanging.hangs = true;
        cell.submit(wide_task_gang(1, 4));
        cell.run_for(2s);
        hanging.hangs = false;
        cell.run_for(20s);
        check_completed(cell, 1, 2);
        CPPUNIT_ASSERT(cell.stalled > 0);
    }

    // Guards against urgent jobs on workers of speed 0.6, where they end too late while faster
    // workers have room.
    void speeds_learned_urgent_jobs_are_in_time()
    {
        sim_cell cell{3, {.workers = 12}};
        set_speeds(cell);
        teach(cell);
        check_urgent_jobs(cell, 1'000);
    }

    // Guards against a gang that is as slow as one slow worker, while the same number of fast ones
    // is free.
    void speeds_learned_gang_runs_on_fast_workers()
    {
        sim_cell cell{4, {.workers = 12}};
        set_speeds(cell);
        teach(cell);
        cell.submit(wide_task_gang(1'000, 4));
        cell.run_for(1s);
        for (const auto& task : cell.records.find(job_number{1'000})->steps.at(0).tasks) {
            CPPUNIT_ASSERT_EQUAL(1.6, cell.workers.at(task.worker).speed);
        }
    }

    // Guards against workers that count as slow or fast because durations vary by themselves, here
    // by a factor of four within each step.
    void equal_workers_speeds_stay_equal()
    {
        sim_cell cell{5, {.workers = 12}};
        for (std::uint64_t id = 1; id <= 100; ++id) {
            cell.submit(simple_job(id, 6, 8'000));
            cell.run_for(200ms);
        }
        int unequal = 0;
        for (const auto& [id, worker] : cell.workers) {
            unequal += cell.leader->speeds().speed(id) == 1 ? 0 : 1;
        }
        CPPUNIT_ASSERT_EQUAL(0, unequal);
    }

    // Load: the workers of a failure domain, half of the fleet, come back cold at the same time.
    // Guards against urgent jobs on cold workers while warm ones have room, and against cold
    // workers that get no work.
    void domain_comes_back_cold_urgent_jobs_are_in_time()
    {
        sim_cell cell{6, {.workers = 12}};
        cell.run_for(1s);
        chill_half(cell);
        for (std::uint64_t id = 1; id <= 4; ++id) {
            auto relaxed = simple_job(id, 4, 8'000);
            relaxed.target_latency = 60s;
            submit_with_length(cell, relaxed, 1);
        }
        cell.run_for(100ms);
        std::size_t on_cold = 0;
        for (const auto& [id, worker] : cell.workers) {
            on_cold += cell.now < worker.cold_until ? cell.records.placed_on(id).size() : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, on_cold);
        check_urgent_jobs(cell, 100);
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    void next_leader_knows_cold_workers_after_heartbeat()
    {
        sim_cell cell{7, {.workers = 12}};
        cell.run_for(1s);
        chill_half(cell);
        cell.run_for(100ms);
        cell.change_leader();
        cell.run_for(2s);
        int cold = 0;
        for (const auto& [id, worker] : cell.workers) {
            cold += cell.leader->speeds().is_cold(cell.now, id) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(6, cold);
    }

private:
    static void submit_with_length(sim_cell& cell, const job_spec& job, double length)
    {
        for (std::uint32_t index = 0; index < job.steps[0].tasks; ++index) {
            cell.lengths[{job.id, 0, 0, index}] = length;
        }
        cell.submit(job);
    }

    /// Has each worker run some tasks of steps whose tasks are equally long, but wrongly estimated.
    static void teach(sim_cell& cell)
    {
        for (std::uint64_t id = 1; id <= 6; ++id) {
            submit_with_length(cell, simple_job(id, 12, 40'000), id % 2 == 0 ? 0.4 : 1.8);
            cell.run_for(3s);
        }
    }

    static void chill_half(sim_cell& cell)
    {
        std::size_t index = 0;
        for (const auto& [id, worker] : cell.workers) {
            if (index++ % 2 == 0) {
                cell.chill_worker(id, 20s);
            }
        }
    }

    /// Submits jobs that end in time only where a task takes less than 0.7 s, a few at a time, and
    /// checks that they are in time.
    static void check_urgent_jobs(sim_cell& cell, std::uint64_t first)
    {
        constexpr std::uint64_t count = 20;
        for (auto id = first; id < first + count; ++id) {
            auto job = simple_job(id, 1, 16'000);
            job.slack_factor = 1;
            job.target_latency = 200ms;
            submit_with_length(cell, job, 1);
            cell.run_for(100ms);
        }
        cell.run_for(3s);
        for (auto id = first; id < first + count; ++id) {
            const auto& job = *cell.records.find(job_number{id});
            CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, std::string{name_of(job.state)});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(id) + " on " +
                                       job.steps.at(0).tasks.at(0).worker.str(),
                                   job.ended - job.accepted <= 700ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uneven_workers_test);

} // namespace
