#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>

// Load pattern: a fleet that is full of batch work, with much more of it waiting, and a
// long-running task that has run for longer than any objective when its worker crashes.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

constexpr job_number service_id{1'000'000};

job_spec service()
{
    auto job = simple_job(service_id.value(), 1, 8'000);
    job.steps[0].long_running = true;
    job.steps[0].estimate = 0ms;
    return job;
}

class service_restart_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(service_restart_test);
    CPPUNIT_TEST(worker_crashed_on_full_fleet_service_runs_again_first);
    CPPUNIT_TEST(worker_crashed_with_advice_service_runs_again_first);
    CPPUNIT_TEST(leader_changed_service_runs_again_first);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a long-running task that counts as expired because its job was accepted long
    // ago, and so waits behind all batch work.
    void worker_crashed_on_full_fleet_service_runs_again_first()
    {
        auto cell = make_cell(false);
        cell->restart_worker(host(*cell), false);
        check_restart(*cell, 1'500ms);
    }

    void worker_crashed_with_advice_service_runs_again_first()
    {
        auto cell = make_cell(true);
        cell->restart_worker(host(*cell), false);
        check_restart(*cell, 2'500ms);
    }

    // Guards against a leader that knows only of the restarts that it has seen begin.
    void leader_changed_service_runs_again_first()
    {
        auto cell = make_cell(false);
        cell->restart_worker(host(*cell), false);
        const auto until = cell->now + 5s;
        while (cell->records.find(service_id)->placed > 0 && cell->now < until) {
            cell->run_for(5ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, cell->records.find(service_id)->placed);
        cell->change_leader();
        // The next leader begins up to 1.2 s later.
        check_restart(*cell, 2'700ms);
    }

private:
    /// The service runs, and all batch work that is accepted from now on fits only when other
    /// batch work ends.
    std::unique_ptr<sim_cell> make_cell(bool with_advice)
    {
        m_last_batch = 0;
        auto cell = std::make_unique<sim_cell>(
            1, sim_settings{
                   .workers = 4, .with_advice = with_advice, .agents = 24, .allowed_of_four = 4});
        cell->run_for(1s);
        cell->submit(service());
        cell->run_for(2s);
        CPPUNIT_ASSERT(!host(*cell).str().empty());
        for (int round = 0; round < 80; ++round) {
            submit_batch(*cell);
            cell->run_for(100ms);
        }
        CPPUNIT_ASSERT(!host(*cell).str().empty());
        return cell;
    }

    /// The worker that runs the service; empty if none does.
    static base::worker_id host(const sim_cell& cell)
    {
        for (const auto& [id, worker] : cell.workers) {
            for (const auto& [run, state] : worker.runs) {
                if (run.task.job == service_id && worker.is_up) {
                    return id;
                }
            }
        }
        return {};
    }

    /// Submits about twice as much as ends in 100 ms.
    void submit_batch(sim_cell& cell)
    {
        for (int i = 0; i < 10; ++i) {
            auto job = simple_job(++m_last_batch, 1, 8'000);
            job.target_latency = 3s;
            cell.submit(job);
        }
    }

    void check_restart(sim_cell& cell, base::duration time)
    {
        const auto from = cell.now;
        while (host(cell).str().empty() && cell.now < from + 20s) {
            submit_batch(cell);
            cell.run_for(100ms);
        }
        const auto took = std::chrono::duration_cast<milliseconds>(cell.now - from);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ms", took <= time);
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    std::uint64_t m_last_batch = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_restart_test);

} // namespace
