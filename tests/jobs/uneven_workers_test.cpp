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
};

CPPUNIT_TEST_SUITE_REGISTRATION(uneven_workers_test);

} // namespace
