#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// A lookup for which somebody waits: 640 ms on 5 cores, in time within 1.2 s, late until 3.6 s.
job_spec lookup(std::uint64_t id)
{
    auto job = simple_job(id, 1, 5'000);
    job.priority = 0;
    job.slack_factor = 1.5;
    job.target_latency = 250ms;
    job.steps[0].estimate = 640ms;
    return job;
}

class load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_test);
    CPPUNIT_TEST(burst_beyond_capacity_later_lookups_are_in_time);
    CPPUNIT_TEST(wide_gang_among_lookups_is_placed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Pattern: a burst of lookups at three times the fleet's capacity, then ordinary load. Guards
    // against a backlog of lookups that nobody waits for any more, ahead of those that can still be
    // in time.
    void burst_beyond_capacity_later_lookups_are_in_time()
    {
        sim_cell cell{1, {.workers = 4}};
        std::uint64_t next = 1;
        submit_lookups(cell, next, 200, 5s);
        cell.run_for(4s);
        const auto first_later = next;
        submit_lookups(cell, next, 20, 5s);
        cell.run_for(3s);
        int in_time = 0;
        for (auto id = first_later; id < next; ++id) {
            const auto& job = *cell.records.find(job_number{id});
            const bool is_done = job.state == job_state::completed;
            in_time += is_done && job.ended - job.accepted <= 1'210ms ? 1 : 0;
        }
        const auto all = static_cast<int>(next - first_later);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(in_time) + " of " + std::to_string(all),
                               in_time * 10 >= all * 8);
        cell.run_for(20s);
        CPPUNIT_ASSERT(cell.is_settled());
    }

    // Pattern: lookups at half the capacity and a gang that needs a third of the fleet at once.
    void wide_gang_among_lookups_is_placed()
    {
        sim_cell cell{2, {.workers = 6}};
        std::uint64_t next = 1;
        submit_lookups(cell, next, 40, 2s);
        auto gang = simple_job(1'000'000, 7, 18'000);
        gang.steps[0].gang = true;
        gang.steps[0].estimate = 2s;
        cell.submit(gang);
        submit_lookups(cell, next, 40, 6s);
        cell.run_for(1s);
        CPPUNIT_ASSERT_EQUAL(std::string{"completed"},
                             std::string{name_of(cell.records.find(gang.id)->state)});
    }

private:
    static void submit_lookups(sim_cell& cell, std::uint64_t& next, int per_second,
                               std::chrono::seconds time)
    {
        for (int i = 0; i < per_second * time.count(); ++i) {
            cell.submit(lookup(next++));
            cell.run_for(std::chrono::microseconds{1'000'000 / per_second});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_test);

} // namespace
