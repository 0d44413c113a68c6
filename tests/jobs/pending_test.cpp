#include "lovagebeam/jobs/ledger.h"

#include "jobs.pb.h"
#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

constexpr auto queue = "queue";

/// The count of pending jobs of a ledger with one job.
class ledger_pending_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ledger_pending_test);
    CPPUNIT_TEST(job_placed_is_pending);
    CPPUNIT_TEST(placement_ended_unstarted_job_is_pending);
    CPPUNIT_TEST(job_begun_is_not_pending);
    CPPUNIT_TEST(job_begun_after_snapshot_is_not_pending);
    CPPUNIT_TEST(job_cancelled_before_it_began_is_not_pending);
    CPPUNIT_TEST(job_unknown_begun_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        proto::jobs::Operation operation;
        *operation.mutable_accept()->mutable_spec() = to_proto(simple_job(1, 2, 1'000));
        apply(operation);
    }

    // Guards against counting a placement as a start: its worker may be gone (review/5).
    void job_placed_is_pending()
    {
        place();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_records.pending(queue));
        CPPUNIT_ASSERT(m_records.find(m_task.job)->state == job_state::queued);
    }

    // Guards against a job that is no longer counted once it waits again.
    void placement_ended_unstarted_job_is_pending()
    {
        place();
        end(proto::jobs::END_KIND_NOT_STARTED);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_records.pending(queue));
        place();
        end(proto::jobs::END_KIND_LAPSED);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_records.pending(queue));
    }

    void job_begun_is_not_pending()
    {
        place();
        begin(m_task.job);
        begin(m_task.job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_records.pending(queue));
        CPPUNIT_ASSERT(m_records.find(m_task.job)->state == job_state::running);
        // A job that has begun and whose run is lost doesn't count as pending again.
        end(proto::jobs::END_KIND_LOST);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_records.pending(queue));
    }

    // Guards against a count that changes when a process restarts from a snapshot.
    void job_begun_after_snapshot_is_not_pending()
    {
        place();
        ledger placed;
        CPPUNIT_ASSERT(placed.decode(m_records.encode()).ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, placed.pending(queue));
        begin(m_task.job);
        ledger begun;
        CPPUNIT_ASSERT(begun.decode(m_records.encode()).ok());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, begun.pending(queue));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, begun.pending());
    }

    // Guards against a job that is taken off the count twice, when a start is confirmed late.
    void job_cancelled_before_it_began_is_not_pending()
    {
        place();
        proto::jobs::Operation operation;
        operation.mutable_cancel()->set_job(m_task.job.value());
        apply(operation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_records.pending(queue));
        begin(m_task.job);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_records.pending(queue));
        CPPUNIT_ASSERT(m_records.find(m_task.job)->state == job_state::cancelled);
    }

    void job_unknown_begun_changes_nothing()
    {
        begin(job_number{77});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_records.pending(queue));
    }

private:
    void apply(const proto::jobs::Operation& operation)
    {
        proto::jobs::Batch batch;
        *batch.add_operations() = operation;
        CPPUNIT_ASSERT(m_records.apply(batch.SerializeAsString()).ok());
    }

    void place()
    {
        proto::jobs::Operation operation;
        auto& placement = *operation.mutable_place()->add_placements();
        *placement.mutable_task() = to_proto(run_key{m_task, ++m_attempt});
        placement.set_worker("w1");
        apply(operation);
    }

    void begin(job_number job)
    {
        proto::jobs::Operation operation;
        operation.mutable_begin()->add_jobs(job.value());
        apply(operation);
    }

    void end(proto::jobs::EndKind how)
    {
        proto::jobs::Operation operation;
        *operation.mutable_end()->mutable_task() = to_proto(run_key{m_task, m_attempt});
        operation.mutable_end()->set_worker("w1");
        operation.mutable_end()->set_how(how);
        apply(operation);
    }

    const task_key m_task{job_number{1}, 0, 0, 0};
    std::uint32_t m_attempt = 0;
    ledger m_records;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ledger_pending_test);

/// The count of pending jobs while workers and leaders are lost.
class pending_jobs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pending_jobs_test);
    CPPUNIT_TEST(worker_lost_jobs_placed_there_are_pending);
    CPPUNIT_TEST(answers_lost_listed_jobs_are_not_pending);
    CPPUNIT_TEST(leader_changes_begun_jobs_are_not_pending);
    CPPUNIT_TEST(worker_restarts_begun_jobs_are_not_pending);
    CPPUNIT_TEST_SUITE_END();

public:
    // Jobs are placed on the only worker with room, which has just lost its power. Guards against
    // leaving them out of the count, both until the placements end and while they wait afterwards.
    void worker_lost_jobs_placed_there_are_pending()
    {
        sim_cell cell{1, {.workers = 3}};
        auto filler = simple_job(100, 8, 16'000);
        filler.steps[0].estimate = 60s;
        cell.submit(filler);
        cell.run_for(1s);
        const auto idle = std::ranges::find_if(
            cell.workers, [](const auto& entry) { return entry.second.runs.empty(); });
        CPPUNIT_ASSERT(idle != cell.workers.end());
        idle->second.is_partitioned = true;
        for (std::uint64_t id = 1; id <= 12; ++id) {
            cell.submit(simple_job(id, 1, 4'000));
        }
        cell.run_for(100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, cell.records.placed_on(idle->first).size());
        for (int second = 0; second < 20; ++second) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, cell.records.pending(queue));
            cell.run_for(1s);
        }
        CPPUNIT_ASSERT(cell.records.placed_on(idle->first).empty());
        idle->second.is_partitioned = false;
        cell.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.records.pending(queue));
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    // Guards against a start that counts only if its own answer arrives.
    void answers_lost_listed_jobs_are_not_pending()
    {
        sim_cell cell{2, {.workers = 3}};
        cell.run_for(1s);
        cell.settings.lose_answer = 0.7;
        submit_long_jobs(cell);
        cell.run_for(5s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.records.pending(queue));
    }

    // Guards against a count that only one leader knows.
    void leader_changes_begun_jobs_are_not_pending()
    {
        sim_cell cell{3, {.workers = 3}};
        submit_long_jobs(cell);
        cell.run_for(1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.records.pending(queue));
        for (auto& [id, worker] : cell.workers) {
            worker.is_partitioned = true;
        }
        cell.change_leader();
        cell.run_for(15s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.records.pending(queue));
    }

    void worker_restarts_begun_jobs_are_not_pending()
    {
        sim_cell cell{4, {.workers = 1}};
        submit_long_jobs(cell);
        cell.run_for(1s);
        cell.workers.begin()->second.is_up = false;
        cell.run_for(3s);
        CPPUNIT_ASSERT(cell.records.placed_on(cell.workers.begin()->first).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.records.pending(queue));
    }

private:
    static void submit_long_jobs(sim_cell& cell)
    {
        for (std::uint64_t id = 1; id <= 5; ++id) {
            auto job = simple_job(id, 2, 1'000);
            job.steps[0].estimate = 60s;
            cell.submit(job);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pending_jobs_test);

} // namespace
