#include "objectives.h"
#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

job_spec job_of_steps(std::uint64_t id, std::vector<milliseconds> estimates)
{
    auto job = simple_job(id, 1, 40'000);
    const auto first = job.steps[0];
    job.steps.clear();
    for (std::uint32_t step = 0; step < estimates.size(); ++step) {
        job.steps.push_back(first);
        job.steps[step].estimate = estimates[step];
        if (step > 0) {
            job.steps[step].depends_on = {step - 1};
        }
    }
    return job;
}

class objective_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(objective_test);
    CPPUNIT_TEST(steps_in_sequence_each_has_its_remaining_chain);
    CPPUNIT_TEST(steps_side_by_side_longest_chain_counts);
    CPPUNIT_TEST(chain_no_longer_fits_step_waits_behind_job_in_time);
    CPPUNIT_TEST(runs_longer_than_estimated_objective_follows);
    CPPUNIT_TEST(runs_away_from_their_data_correct_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void steps_in_sequence_each_has_its_remaining_chain()
    {
        const auto job = job_of_steps(1, {500ms, 2s, 300ms});
        const auto chains = remaining_chains(job, 20ms, {});
        CPPUNIT_ASSERT((std::vector<milliseconds>{2'860ms, 2'340ms, 320ms} == chains));
        CPPUNIT_ASSERT(objective_of(job, longest_chain(chains), 1) == 6'720ms);
    }

    void steps_side_by_side_longest_chain_counts()
    {
        auto job = job_of_steps(1, {500ms, 2s, 300ms});
        job.steps[2].depends_on = {0};
        const auto chains = remaining_chains(job, 0ms, {});
        CPPUNIT_ASSERT((std::vector<milliseconds>{2'500ms, 2s, 300ms} == chains));
    }

    // Two jobs and room for one of them, 4 s after the first was accepted. The steps of the first
    // take 2.5 s and its objective ends after 6 s, so that only its first step could still be in
    // time. Guards against serving it before a job that can be in time.
    void chain_no_longer_fits_step_waits_behind_job_in_time()
    {
        sim_cell cell{1, {.workers = 0}};
        cell.submit(job_of_steps(1, {500ms, 2s}));
        cell.run_for(3'900ms);
        auto other = simple_job(2, 1, 40'000);
        other.target_latency = 4s;
        cell.submit(other);
        cell.run_for(100ms);
        cell.add_worker("w0");
        cell.run_for(200ms);
        CPPUNIT_ASSERT(cell.was_placed(job_number{2}));
        CPPUNIT_ASSERT(!cell.was_placed(job_number{1}));
    }

    // Tasks take about five times their estimate. Guards against an objective from the estimate
    // alone, by which a job that waits for 2.5 s is late although it isn't.
    void runs_longer_than_estimated_objective_follows()
    {
        sim_cell cell{2, {.workers = 1, .work_factor = 4}};
        for (std::uint64_t id = 1; id <= 30; ++id) {
            cell.submit(simple_job(id, 1, 2'000));
        }
        cell.run_for(10s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        cell.drain_worker(base::worker_id{"w0"});
        cell.submit(simple_job(100, 1, 40'000));
        cell.run_for(2'400ms);
        cell.submit(simple_job(101, 1, 40'000));
        cell.run_for(100ms);
        cell.add_worker("w1");
        cell.run_for(200ms);
        CPPUNIT_ASSERT(cell.was_placed(job_number{100}));
        CPPUNIT_ASSERT(!cell.was_placed(job_number{101}));
    }

    // The same, with tasks whose data are in another rack, which makes them slow. Guards against
    // learning from runs whose duration says nothing about the others.
    void runs_away_from_their_data_correct_nothing()
    {
        sim_cell cell{3, {.workers = 1, .work_factor = 4}};
        for (std::uint64_t id = 1; id <= 30; ++id) {
            auto job = simple_job(id, 1, 2'000);
            job.steps[0].preferred_rack = "another";
            cell.submit(job);
        }
        cell.run_for(10s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        cell.drain_worker(base::worker_id{"w0"});
        cell.submit(simple_job(100, 1, 40'000));
        cell.run_for(2'400ms);
        cell.submit(simple_job(101, 1, 40'000));
        cell.run_for(100ms);
        cell.add_worker("w1");
        cell.run_for(200ms);
        CPPUNIT_ASSERT(!cell.was_placed(job_number{100}));
        CPPUNIT_ASSERT(cell.was_placed(job_number{101}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(objective_test);

} // namespace
