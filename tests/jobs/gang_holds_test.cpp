#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

// Load pattern: more small batch work than fits, and gangs of a higher priority that need an eighth
// of the fleet at once, on workers that the advice service allows.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

job_spec batch(std::uint64_t id)
{
    auto job = simple_job(id, 10, 4'000);
    job.priority = 2;
    job.steps[0].estimate = 2s;
    job.slack_factor = 4;
    return job;
}

job_spec gang(std::uint64_t id)
{
    auto job = simple_job(id, 16, 8'000);
    job.priority = 1;
    job.steps[0].gang = true;
    job.steps[0].estimate = 2s;
    job.slack_factor = 4;
    job.target_latency = 1s;
    return job;
}

class gang_holds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gang_holds_test);
    CPPUNIT_TEST(fleet_full_of_batch_work_gangs_are_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against gangs that wait while small work of a lower priority takes each piece of
    // capacity that becomes free.
    void fleet_full_of_batch_work_gangs_are_in_time()
    {
        sim_cell cell{1, {.workers = 40, .with_advice = true, .agents = 24, .allowed_of_four = 2}};
        cell.config->queues[0].advice = advice_policy{60ms, 1ms, 1'500ms};
        cell.run_for(1s);
        std::uint64_t next_batch = 1'000;
        std::uint64_t next_gang = 1;
        for (int round = 0; round < 40; ++round) {
            for (int i = 0; i < 4; ++i) {
                cell.submit(batch(next_batch++));
            }
            if (round >= 8 && round % 4 == 0) {
                cell.submit(gang(next_gang++));
            }
            cell.run_for(250ms);
        }
        cell.run_for(4s);
        int in_time = 0;
        for (std::uint64_t id = 1; id < next_gang; ++id) {
            const auto& job = *cell.records.find(job_number{id});
            const bool is_done = job.state == job_state::completed;
            in_time += is_done && job.ended - job.accepted <= 9s ? 1 : 0;
        }
        const auto all = static_cast<int>(next_gang - 1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(in_time) + " of " + std::to_string(all),
                               in_time == all);
        CPPUNIT_ASSERT(cell.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gang_holds_test);

} // namespace
