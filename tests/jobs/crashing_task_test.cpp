#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

const job_number crashing_job{1'000'000};

/// A cell with lookups, and a job with tasks that crash the workers that start them.
class crashing_task_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_task_test);
    CPPUNIT_TEST(task_crashes_its_workers_job_fails_within_budget);
    CPPUNIT_TEST(task_crashes_its_workers_late_job_fails_within_budget);
    CPPUNIT_TEST(leader_changes_between_crashes_job_fails_within_budget);
    CPPUNIT_TEST(member_of_gang_crashes_its_workers_job_fails_within_budget);
    CPPUNIT_TEST(all_tasks_of_job_crash_their_workers_few_workers_crash);
    CPPUNIT_TEST(workers_crash_by_themselves_no_job_fails);
    CPPUNIT_TEST(worker_crashes_repeatedly_long_running_job_goes_on);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that is placed on worker after worker and crashes each of them, because
    // only runs that end as failed count towards its attempts.
    void task_crashes_its_workers_job_fails_within_budget()
    {
        sim_cell cell{1, {.workers = 12}};
        submit_lookups(cell, 20, 1s);
        submit_crashing(cell, lookup(crashing_job.value()), 1, 10ms);
        submit_lookups(cell, 20, 10s);
        cell.run_for(10s);
        check_outcome(cell);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cell.crashes), cell.crashes <= 3);
    }

    // Guards against recognizing only tasks that crash their worker as they start, and against
    // starting other tasks beside one that is tried again, so that its crash doesn't tell the
    // cause.
    void task_crashes_its_workers_late_job_fails_within_budget()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            sim_cell cell{seed, {.workers = 4}};
            m_next = 1;
            submit_lookups(cell, 40, 1s);
            auto job = lookup(crashing_job.value());
            job.steps[0].estimate = 5s;
            submit_crashing(cell, job, 1, 1500ms);
            submit_lookups(cell, 40, 25s);
            cell.run_for(10s);
            check_outcome(cell);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(cell.crashes), cell.crashes <= 3);
        }
    }

    // Guards against a new leader that doesn't know how many workers crashed under a task.
    void leader_changes_between_crashes_job_fails_within_budget()
    {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            sim_cell cell{seed, {.workers = 12}};
            cell.has_faults = true;
            m_next = 1;
            submit_lookups(cell, 20, 1s);
            submit_crashing(cell, lookup(crashing_job.value()), 1, 10ms);
            for (int change = 0; change < 6; ++change) {
                submit_lookups(cell, 20, 1s);
                cell.change_leader();
                submit_lookups(cell, 20, 1s);
            }
            cell.run_for(20s);
            check_outcome(cell);
        }
    }

    // Guards against a gang that takes the workers of all its members out of service on each
    // attempt, although one member crashes its own.
    void member_of_gang_crashes_its_workers_job_fails_within_budget()
    {
        sim_cell cell{4, {.workers = 12}};
        cell.has_faults = true;
        submit_lookups(cell, 20, 1s);
        auto gang = lookup(crashing_job.value());
        gang.steps[0].tasks = 4;
        gang.steps[0].gang = true;
        gang.steps[0].estimate = 3s;
        submit_crashing(cell, gang, 1, 10ms);
        submit_lookups(cell, 20, 15s);
        cell.run_for(20s);
        check_outcome(cell);
    }

    // A job of eight tasks, each of which crashes its worker. Guards against a fleet that is down
    // because all of them are tried again and again.
    void all_tasks_of_job_crash_their_workers_few_workers_crash()
    {
        sim_cell cell{5, {.workers = 24}};
        submit_lookups(cell, 20, 1s);
        submit_crashing(cell, lookup(crashing_job.value()), 8, 10ms);
        submit_lookups(cell, 20, 10s);
        cell.run_for(20s);
        check_outcome(cell);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(cell.crashes), cell.crashes <= 16);
    }

    // One of 24 workers crashes every two seconds, whatever runs there. Guards against giving up
    // sound tasks that lost their workers several times.
    void workers_crash_by_themselves_no_job_fails()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            sim_cell cell{seed, {.workers = 24}};
            cell.has_faults = true;
            m_next = 1;
            for (int crash = 0; crash < 15; ++crash) {
                const auto picked = cell.random.below(cell.workers.size());
                const auto worker =
                    std::next(cell.workers.begin(), static_cast<std::ptrdiff_t>(picked));
                cell.restart_worker(worker->first, cell.random.chance(0.5));
                submit_lookups(cell, 120, 2s);
            }
            cell.run_for(30s);
            check_outcome(cell);
        }
    }

    // A service with a task on each worker, one of which crashes every ten seconds. Guards against
    // giving up the service because of that worker (review/2).
    void worker_crashes_repeatedly_long_running_job_goes_on()
    {
        sim_cell cell{6, {.workers = 8}};
        cell.has_faults = true;
        auto service = simple_job(1, 8, 16'000);
        service.steps[0].long_running = true;
        service.steps[0].max_per_worker = 1;
        service.steps[0].estimate = 10min;
        cell.submit(service);
        cell.run_for(3s);
        const auto crashing = cell.workers.begin()->first;
        for (int crash = 0; crash < 6; ++crash) {
            cell.restart_worker(crashing, true);
            cell.run_for(10s);
            CPPUNIT_ASSERT_EQUAL(std::string{"running"},
                                 std::string{name_of(cell.records.find(service.id)->state)});
            for (const auto& [id, worker] : cell.workers) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id.str(), std::size_t{1}, worker.runs.size());
            }
        }
        CPPUNIT_ASSERT(cell.violations.empty());
    }

private:
    static job_spec lookup(std::uint64_t id)
    {
        auto job = simple_job(id, 1, 5'000);
        job.priority = 0;
        return job;
    }

    /// Submits a job of which `tasks` tasks crash their workers after `delay`.
    static void submit_crashing(sim_cell& cell, job_spec job, std::uint32_t tasks,
                                base::duration delay)
    {
        job.steps[0].tasks = std::max(job.steps[0].tasks, tasks);
        for (std::uint32_t index = 0; index < tasks; ++index) {
            cell.crashing_tasks.emplace(task_key{job.id, 0, 0, index}, delay);
        }
        cell.submit(job);
    }

    void submit_lookups(sim_cell& cell, int per_second, std::chrono::milliseconds time)
    {
        for (int i = 0; i < per_second * time.count() / 1'000; ++i) {
            cell.submit(lookup(m_next++));
            cell.run_for(std::chrono::microseconds{1'000'000 / per_second});
        }
    }

    /// Checks that the crashing job failed, and no other one.
    static void check_outcome(sim_cell& cell)
    {
        cell.check_failed_jobs();
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(),
                               cell.violations.empty());
        for (const auto& [id, job] : cell.records.jobs()) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(format_job_id(id),
                                         std::string{id == crashing_job ? "failed" : "completed"},
                                         std::string{name_of(job.state)});
        }
    }

    std::uint64_t m_next = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_task_test);

} // namespace
