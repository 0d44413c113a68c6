#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// The only task of the only job of a cell.
const task_record& only_task(const sim_cell& cell)
{
    return cell.records.find(job_number{1})->steps.at(0).tasks.at(0);
}

job_spec long_job()
{
    auto job = simple_job(1, 1, 1'000);
    job.steps[0].estimate = std::chrono::seconds{30};
    return job;
}

constexpr std::uint32_t small_task_count = 600;

/// More tasks than a worker lists ends at a time; all fit on one worker.
job_spec many_small_tasks()
{
    auto job = simple_job(1, small_task_count, 100);
    job.steps[0].size.memory_mb = 64;
    job.steps[0].estimate = 2s;
    return job;
}

/// The worker that has all running tasks of the cell.
base::worker_id only_worker_with_tasks(const sim_cell& cell)
{
    std::vector<base::worker_id> found;
    for (const auto& [id, worker] : cell.workers) {
        if (!worker.runs.empty()) {
            found.push_back(id);
        }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{small_task_count}, cell.workers.at(found.front()).runs.size());
    return found.front();
}

void check_all_done_once(sim_cell& cell)
{
    cell.check_acknowledged_ends();
    CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(),
                           cell.violations.empty());
    const auto& job = *cell.records.find(job_number{1});
    CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, std::string{name_of(job.state)});
    for (const auto& task : job.steps.at(0).tasks) {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, task.attempt);
    }
}

class worker_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_table_test);
    CPPUNIT_TEST(worker_lost_for_good_tasks_run_elsewhere);
    CPPUNIT_TEST(worker_partitioned_task_waits_for_lease_expiry);
    CPPUNIT_TEST(worker_lists_ends_in_parts_tasks_run_once);
    CPPUNIT_TEST(worker_lists_ends_in_parts_to_next_leader_tasks_run_once);
    CPPUNIT_TEST(worker_lists_ends_in_parts_unstarted_tasks_run_later);
    CPPUNIT_TEST(worker_silent_its_tasks_are_not_suspected);
    CPPUNIT_TEST(worker_silent_under_suspected_task_counts_as_possible_crash);
    CPPUNIT_TEST(worker_leaves_its_tasks_are_not_suspected);
    CPPUNIT_TEST(worker_restarted_task_runs_again_at_once);
    CPPUNIT_TEST(worker_restarted_late_start_is_refused);
    CPPUNIT_TEST(worker_restarted_late_hold_extends_no_lease);
    CPPUNIT_TEST(worker_restarted_first_hold_is_direct);
    CPPUNIT_TEST(worker_restarted_unnoticed_check_acknowledges_no_end);
    CPPUNIT_TEST(worker_cut_off_by_resets_tasks_run_once);
    CPPUNIT_TEST(worker_process_ended_task_runs_elsewhere_at_once);
    CPPUNIT_TEST(worker_restarted_unregistered_gets_no_tasks);
    CPPUNIT_TEST(worker_hangs_task_is_stopped_and_moved);
    CPPUNIT_TEST(worker_fails_everything_is_quarantined);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against failed holds that extend the leases of a lost worker, so that its tasks never
    // run again (pmpg-beam, mix --seed 576088349965).
    void worker_lost_for_good_tasks_run_elsewhere()
    {
        sim_cell cell{1, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        const auto first = only_task(cell).worker;
        cell.workers.at(first).is_partitioned = true;
        cell.run_for(8s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, only_task(cell).attempt);
        CPPUNIT_ASSERT(only_task(cell).worker != first);
    }

    // Guards against a second run while a partitioned worker still holds its lease.
    void worker_partitioned_task_waits_for_lease_expiry()
    {
        sim_cell cell{2, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        const auto first = only_task(cell).worker;
        cell.workers.at(first).is_partitioned = true;
        cell.run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, only_task(cell).attempt);
        cell.run_for(10s);
        CPPUNIT_ASSERT(cell.violations.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, only_task(cell).attempt);
    }

    // Guards against a second run of tasks that ended on a partitioned worker, whose first lists
    // after that lack some of the ends.
    void worker_lists_ends_in_parts_tasks_run_once()
    {
        sim_cell cell{10, {.workers = 3}};
        cell.submit(many_small_tasks());
        cell.run_for(800ms);
        auto& worker = cell.workers.at(only_worker_with_tasks(cell));
        worker.is_partitioned = true;
        cell.run_for(4s);
        CPPUNIT_ASSERT(worker.runs.empty());
        worker.is_partitioned = false;
        cell.run_for(3s);
        check_all_done_once(cell);
    }

    // The same with a leader that took over after the ends and sent none of the starts.
    void worker_lists_ends_in_parts_to_next_leader_tasks_run_once()
    {
        sim_cell cell{11, {.workers = 3}};
        cell.submit(many_small_tasks());
        cell.run_for(800ms);
        auto& worker = cell.workers.at(only_worker_with_tasks(cell));
        worker.is_partitioned = true;
        cell.change_leader();
        cell.run_for(4s);
        worker.is_partitioned = false;
        cell.run_for(3s);
        check_all_done_once(cell);
    }

    // Guards against tasks that wait for ever for a worker that never started them, since its lists
    // were incomplete when they should have told.
    void worker_lists_ends_in_parts_unstarted_tasks_run_later()
    {
        sim_cell cell{12, {.workers = 1}};
        cell.submit(many_small_tasks());
        cell.run_for(800ms);
        auto& worker = cell.workers.at(only_worker_with_tasks(cell));
        auto later = simple_job(2, 10, 1'000);
        cell.submit(later);
        worker.is_partitioned = true;
        cell.run_for(4s);
        worker.is_partitioned = false;
        cell.run_for(12s);
        check_all_done_once(cell);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed"},
                             std::string{name_of(cell.records.find(later.id)->state)});
    }

    // Guards against taking the silence of a worker for a crash that one of its tasks caused.
    void worker_silent_its_tasks_are_not_suspected()
    {
        sim_cell cell{2, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        for (int loss = 0; loss < 4; ++loss) {
            const auto worker = only_task(cell).worker;
            cell.workers.at(worker).is_partitioned = true;
            cell.run_for(8s);
            cell.workers.at(worker).is_partitioned = false;
            cell.run_for(1s);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, only_task(cell).crashes.count);
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    // Guards against a task that crashes its workers behind a partition, where nobody sees it.
    void worker_silent_under_suspected_task_counts_as_possible_crash()
    {
        sim_cell cell{2, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(2s);
        for (int crash = 0; crash < 2; ++crash) {
            cell.restart_worker(only_task(cell).worker, false);
            cell.run_for(5s);
        }
        CPPUNIT_ASSERT(only_task(cell).crashes.count == 2 &&
                       only_task(cell).crashes.confirmed == 2);
        cell.workers.at(only_task(cell).worker).is_partitioned = true;
        cell.run_for(8s);
        CPPUNIT_ASSERT(only_task(cell).crashes.count == 3 &&
                       only_task(cell).crashes.confirmed == 2);
    }

    // Guards against taking the planned end of a worker's process for a crash.
    void worker_leaves_its_tasks_are_not_suspected()
    {
        sim_cell cell{2, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        const auto worker = only_task(cell).worker;
        cell.drain_worker(worker);
        cell.run_for(1s);
        cell.restart_worker(worker, false);
        cell.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, only_task(cell).attempt);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, only_task(cell).crashes.count);
    }

    // Guards against waiting for the expiry of leases that ended with the worker's process.
    void worker_restarted_task_runs_again_at_once()
    {
        sim_cell cell{3, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        cell.restart_worker(only_task(cell).worker, true);
        cell.run_for(4s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, only_task(cell).attempt);
    }

    // A start gets no answer, the task runs elsewhere, and the worker restarts under its id before
    // the start arrives. Guards against a second run of the task there (review/6).
    void worker_restarted_late_start_is_refused()
    {
        sim_cell cell{13, {.workers = 3, .least_delay = 8s, .longest_delay = 8s}};
        // The deadline of the start is then far ahead on the clock of the next process.
        cell.run_for(20s);
        cell.settings.apply_late = 1;
        cell.submit(long_job());
        cell.run_for(50ms);
        const auto first = only_task(cell).worker;
        cell.settings.apply_late = 0;
        cell.run_for(1s);
        CPPUNIT_ASSERT(only_task(cell).attempt > 1);
        cell.restart_worker(first, true);
        cell.run_for(6s);
        CPPUNIT_ASSERT(only_task(cell).worker != first);
        cell.run_for(6s);
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(),
                               cell.violations.empty());
    }

    // A hold gets no answer, and the worker restarts under its id, gets a task and is cut off
    // before the hold arrives. Guards against a lease that outlasts the leader's estimate, because
    // the deadline of the hold was meant for the clock of the earlier process.
    void worker_restarted_late_hold_extends_no_lease()
    {
        sim_cell cell{14, {.workers = 1, .least_delay = 7s, .longest_delay = 7s}};
        cell.run_for(20s);
        const auto id = cell.workers.begin()->first;
        cell.settings.apply_hold_late = 1;
        cell.run_for(1200ms);
        cell.settings.apply_hold_late = 0;
        cell.replace_worker(id, 100ms);
        cell.submit(long_job());
        cell.run_for(2s);
        auto& worker = cell.workers.at(id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker.runs.size());
        worker.is_partitioned = true;
        const auto attempt = only_task(cell).attempt;
        cell.add_worker("w1");
        cell.run_for(12s);
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(),
                               cell.violations.empty());
        CPPUNIT_ASSERT_EQUAL(attempt + 1, only_task(cell).attempt);
    }

    // Guards against a first hold to a new process that waits behind the starts of the earlier one,
    // where calls are relayed.
    void worker_restarted_first_hold_is_direct()
    {
        sim_cell cell{16, {.workers = 3}};
        cell.run_for(1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.direct_holds);
        cell.replace_worker(cell.workers.begin()->first, 100ms);
        cell.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cell.direct_holds);
    }

    // While a hold gets no answer, the worker restarts under its id and is given a task, which it
    // ends. Guards against a check that acknowledges this end with the count of the earlier
    // process, so that the task runs again (jobs_test --seed 110).
    void worker_restarted_unnoticed_check_acknowledges_no_end()
    {
        sim_cell cell{15, {.workers = 1, .least_delay = 8s, .longest_delay = 8s}};
        cell.submit(simple_job(1, 4, 1'000));
        cell.run_for(3s);
        cell.settings.apply_hold_late = 1;
        cell.run_for(1100ms);
        cell.settings.apply_hold_late = 0;
        cell.replace_worker(cell.workers.begin()->first, 3s);
        auto quick = simple_job(2, 1, 1'000);
        quick.steps[0].estimate = 40ms;
        cell.submit(quick);
        cell.run_for(100ms);
        cell.settings.lose_answer = 1;
        cell.submit(simple_job(3, 1, 1'000));
        cell.run_for(400ms);
        cell.settings.lose_answer = 0;
        cell.run_for(10s);
        cell.check_acknowledged_ends();
        CPPUNIT_ASSERT_MESSAGE(cell.violations.empty() ? "" : cell.violations.front(),
                               cell.violations.empty());
        CPPUNIT_ASSERT(cell.all_jobs_ended());
    }

    // A network that resets all connections to a worker looks as if nothing listened there. Guards
    // against taking that for the end of the worker's process and starting its tasks elsewhere
    // while they run (kowhai-desk, node_cut with how = "servers reset").
    void worker_cut_off_by_resets_tasks_run_once()
    {
        sim_cell cell{9, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        const auto first = only_task(cell).worker;
        cell.workers.at(first).is_cut_by_resets = true;
        cell.workers.at(first).is_partitioned = true;
        cell.run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, only_task(cell).attempt);
        cell.workers.at(first).is_partitioned = false;
        cell.run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, only_task(cell).attempt);
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    // Workers crash for good, with members of gangs on them. Guards against waiting 5 s for leases
    // that ended with the worker's process: connections to it are refused.
    void worker_process_ended_task_runs_elsewhere_at_once()
    {
        sim_cell cell{7, {.workers = 3}};
        cell.submit(long_job());
        cell.run_for(1s);
        const auto first = only_task(cell).worker;
        cell.workers.at(first).is_up = false;
        cell.run_for(1500ms);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, only_task(cell).attempt);
        CPPUNIT_ASSERT(only_task(cell).worker != first);
    }

    // A worker's process was replaced, and its next heartbeat comes a second later. Guards against
    // placing tasks on the instance that is gone, where they can't start.
    void worker_restarted_unregistered_gets_no_tasks()
    {
        sim_cell cell{8, {.workers = 3}};
        cell.run_for(1s);
        const auto restarted = cell.workers.begin()->first;
        cell.replace_worker(restarted, 1s);
        cell.run_for(500ms);
        for (std::uint64_t id = 1; id <= 9; ++id) {
            cell.submit(simple_job(id, 1, 16'000));
        }
        cell.run_for(300ms);
        CPPUNIT_ASSERT(cell.records.placed_on(restarted).empty());
        cell.run_for(20s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
    }

    void worker_hangs_task_is_stopped_and_moved()
    {
        sim_cell cell{4, {.workers = 3}};
        for (auto& [id, worker] : cell.workers) {
            worker.hangs = true;
        }
        cell.submit(long_job());
        cell.run_for(1s);
        const auto first = only_task(cell).worker;
        for (auto& [id, worker] : cell.workers) {
            worker.hangs = false;
        }
        cell.run_for(6s);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, only_task(cell).attempt);
        CPPUNIT_ASSERT(only_task(cell).worker != first);
    }

    // Guards against a worker that fails all its tasks and is therefore always free, so that all
    // work is placed on it.
    void worker_fails_everything_is_quarantined()
    {
        sim_cell cell{5, {.workers = 6}};
        cell.workers.begin()->second.fails_all = true;
        for (std::uint64_t id = 1; id <= 60; ++id) {
            cell.submit(simple_job(id, 1, 1'000));
            cell.run_for(50ms);
        }
        cell.run_for(5s);
        for (const auto& [id, job] : cell.records.jobs()) {
            CPPUNIT_ASSERT_EQUAL(std::string{"completed"}, std::string{name_of(job.state)});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_table_test);

} // namespace
