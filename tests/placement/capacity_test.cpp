#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::placement;
using namespace lovagebeam::placement::test;

class capacity_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(capacity_test);
    CPPUNIT_TEST(place_full_worker_task_waits_for_reported_end);
    CPPUNIT_TEST(place_uncommitted_worker_is_not_notified);
    CPPUNIT_TEST(commit_failed_placement_is_undone_and_tried_again);
    CPPUNIT_TEST(lease_expired_without_drift_keeps_capacity);
    CPPUNIT_TEST(lease_expired_task_reported_again_keeps_capacity);
    CPPUNIT_TEST(task_ended_repeated_report_frees_once);
    CPPUNIT_TEST(worker_returns_with_unknown_task_capacity_is_taken);
    CPPUNIT_TEST(worker_returns_with_unknown_unsized_task_gets_no_work);
    CPPUNIT_TEST(recovered_placement_counts_before_worker_announces);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against booking more than the worker's capacity.
    void place_full_worker_task_waits_for_reported_end()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("a", job_kind::batch, 700));
        cell.submit(job("b", job_kind::batch, 700));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("b").size());
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting_for_capacity"}, cell.why("b"));
        cell.end(cell.tasks_of("a").at(0).task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("b").size());
    }

    // Guards against starting a task on a worker before its placement is in the replicated state.
    void place_uncommitted_worker_is_not_notified()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.auto_commit = false;
        cell.submit(job("a", job_kind::batch, 700));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.uncommitted.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.sent.size());
        cell.process(decision_committed{cell.uncommitted.at(0).id});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.sent.size());
    }

    void commit_failed_placement_is_undone_and_tried_again()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.auto_commit = false;
        cell.submit(job("a", job_kind::batch, 700));
        cell.process(decision_failed{cell.uncommitted.at(0).id});
        CPPUNIT_ASSERT(resources{} == cell.target().fleet().booked);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.sent.size());
        cell.auto_commit = true;
        cell.uncommitted.clear();
        cell.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("a").size());
    }

    // Guards against releasing capacity while a worker with a slow clock still runs the task.
    void lease_expired_without_drift_keeps_capacity()
    {
        scheduler_settings settings;
        settings.clock_drift = 0.1;
        harness cell{settings};
        cell.add_worker("w0", 1000);
        cell.submit(job("a", job_kind::batch, 700));
        cell.process(lease_expired{cell.tasks_of("a").at(0).task});
        cell.now += 900ms;
        cell.process(tick{});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{700}, cell.target().fleet().booked.cpu.value());
        cell.held_tasks.clear();
        cell.now += 1s;
        cell.process(tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("a").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.sent.size());
    }

    void lease_expired_task_reported_again_keeps_capacity()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("a", job_kind::batch, 700));
        cell.process(lease_expired{cell.tasks_of("a").at(0).task});
        cell.announce("w0");
        cell.now += 5s;
        cell.process(tick{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{700}, cell.target().fleet().booked.cpu.value());
    }

    void task_ended_repeated_report_frees_once()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("a", job_kind::batch, 400));
        cell.submit(job("b", job_kind::batch, 400));
        const base::task_id ended = cell.tasks_of("a").at(0).task;
        cell.end(ended);
        cell.end(ended);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{400}, cell.target().fleet().booked.cpu.value());
    }

    // Guards against booking capacity that is used by a task that an earlier leader started.
    void worker_returns_with_unknown_task_capacity_is_taken()
    {
        harness cell;
        worker_seen seen;
        seen.worker = base::worker_id{"w0"};
        seen.domain = base::failure_domain{"d0"};
        seen.capacity = amount(1000, 1000);
        seen.running.push_back({base::task_id{"stray"}, amount(600), std::nullopt});
        cell.process(seen);
        cell.submit(job("a", job_kind::batch, 700));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("a").size());
        CPPUNIT_ASSERT(cell.sent.at(0).why == reason::stopped_unknown_task);
        cell.end(base::task_id{"stray"}, task_outcome::stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("a").size());
    }

    void worker_returns_with_unknown_unsized_task_gets_no_work()
    {
        harness cell;
        worker_seen seen;
        seen.worker = base::worker_id{"w0"};
        seen.domain = base::failure_domain{"d0"};
        seen.capacity = amount(1000, 1000);
        seen.running.push_back({base::task_id{"stray"}, std::nullopt, std::nullopt});
        cell.process(seen);
        cell.submit(job("a", job_kind::batch, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("a").size());
    }

    // Guards against a new leader that books capacity of placements that the earlier leader
    // committed.
    void recovered_placement_counts_before_worker_announces()
    {
        recovered_state state;
        state.jobs.push_back({job("a", job_kind::batch, 700), {}, {}, {}, false, true});
        state.placements.push_back(
            {base::task_id{"a.0.1.1"}, base::job_id{"a"}, 0, base::worker_id{"w0"}, amount(700)});
        state.generation = 2;
        harness cell{{}, state};
        cell.add_worker("w0", 1000);
        cell.submit(job("b", job_kind::batch, 700));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("b").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("a").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(capacity_test);

} // namespace
