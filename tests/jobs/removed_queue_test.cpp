#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// A job of two steps, on a queue with an advice service that is removed during the first step.
class removed_queue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(removed_queue_test);
    CPPUNIT_TEST(queue_removed_next_step_starts);
    CPPUNIT_TEST(queue_removed_next_step_starts_under_next_leader);
    CPPUNIT_TEST(job_after_snapshot_has_its_policy);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starts without a ticket, which the workers refuse for ever (review/3).
    void queue_removed_next_step_starts()
    {
        sim_cell cell{1, {.workers = 8, .with_advice = true}};
        begin_first_step(cell);
        remove_queue(cell);
        check_completed(cell);
    }

    // Guards against a policy that is known only as long as the leader's process runs.
    void queue_removed_next_step_starts_under_next_leader()
    {
        sim_cell cell{2, {.workers = 8, .with_advice = true}};
        begin_first_step(cell);
        remove_queue(cell);
        cell.change_leader();
        check_completed(cell);
    }

    void job_after_snapshot_has_its_policy()
    {
        sim_cell cell{3, {.workers = 8, .with_advice = true}};
        begin_first_step(cell);
        ledger restored;
        CPPUNIT_ASSERT(restored.decode(cell.records.encode()).ok());
        CPPUNIT_ASSERT(restored.find(job_number{1})->spec.advice ==
                       cell.config->queues.front().advice);
    }

private:
    static void begin_first_step(sim_cell& cell)
    {
        cell.run_for(1s);
        auto job = simple_job(1, 2, 4'000);
        job.steps[0].estimate = 2s;
        job.steps.push_back(job.steps[0]);
        job.steps[1].depends_on = {0};
        cell.submit(job);
        cell.run_for(500ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cell.starts);
    }

    static void remove_queue(sim_cell& cell)
    {
        auto next = std::make_shared<catalog>(*cell.config);
        ++next->version;
        next->queues.front().name = "other";
        cell.change_config(std::move(next));
    }

    static void check_completed(sim_cell& cell)
    {
        cell.run_for(12s);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed"},
                             std::string{name_of(cell.records.find(job_number{1})->state)});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, cell.starts);
        CPPUNIT_ASSERT(cell.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(removed_queue_test);

} // namespace
