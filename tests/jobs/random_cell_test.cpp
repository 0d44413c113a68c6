#include "sim_cell.h"
#include "support/seed.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

job_spec random_job(base::random_source& random, std::uint64_t id)
{
    auto job = simple_job(id, static_cast<std::uint32_t>(random.between(1, 6)),
                          static_cast<std::int64_t>(random.between(1, 20)) * 1'000);
    job.priority = static_cast<std::uint32_t>(random.below(3));
    job.steps[0].estimate = std::chrono::milliseconds{random.between(100, 3'000)};
    job.steps[0].gang = random.chance(0.4);
    job.steps[0].max_per_worker = random.chance(0.2) ? 2 : 0;
    if (random.chance(0.3)) {
        auto next = job.steps[0];
        next.depends_on = {0};
        next.gang = random.chance(0.4);
        job.steps.push_back(next);
    }
    return job;
}

/// Injects or ends one random fault.
void inject_fault(sim_cell& cell)
{
    auto pick = std::next(cell.workers.begin(),
                          static_cast<std::ptrdiff_t>(cell.random.below(cell.workers.size())));
    auto& worker = pick->second;
    switch (cell.random.below(8)) {
    case 0:
        cell.change_leader();
        return;
    case 1:
        cell.restart_worker(pick->first, cell.random.chance(0.5));
        return;
    case 2:
        worker.is_partitioned = !worker.is_partitioned;
        return;
    case 3:
        worker.fails_all = !worker.fails_all;
        return;
    case 4:
        worker.hangs = !worker.hangs;
        return;
    case 5:
        cell.settings.apply_late = cell.random.chance(0.5) ? 0.06 : 0;
        cell.settings.apply_hold_late = cell.settings.apply_late;
        return;
    case 6:
        cell.settings.lose_answer = cell.random.chance(0.5) ? 0.1 : 0;
        return;
    default:
        cell.settings.lose_request = cell.random.chance(0.5) ? 0.1 : 0;
        return;
    }
}

void clear_faults(sim_cell& cell)
{
    cell.settings.apply_late = cell.settings.apply_hold_late = 0;
    cell.settings.lose_answer = cell.settings.lose_request = 0;
    for (auto& [id, worker] : cell.workers) {
        worker.is_partitioned = worker.fails_all = worker.hangs = false;
    }
}

class random_cell_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(random_cell_test);
    CPPUNIT_TEST(coordinator_under_faults_preserves_invariants);
    CPPUNIT_TEST(coordinator_without_faults_ends_every_job);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tasks that run twice, over capacity or limit, out of order, after too many
    // failures or after a cancel, and against accepted jobs that never end, while leaders change,
    // workers restart, are partitioned, fail or hang, tasks crash their workers, and orders are
    // lost or carried out late.
    void coordinator_under_faults_preserves_invariants()
    {
        const auto& seeds = lovagebeam::test::seeds();
        const auto runs = seeds.runs == 0 ? 60 : seeds.runs;
        for (std::uint64_t seed = seeds.first; seed < seeds.first + runs; ++seed) {
            run_with_faults(seed);
        }
    }

    // Guards against a gang whose members don't all start in time, and against jobs that are never
    // planned.
    void coordinator_without_faults_ends_every_job()
    {
        const auto& seeds = lovagebeam::test::seeds();
        const auto runs = seeds.runs == 0 ? 20 : seeds.runs;
        for (std::uint64_t seed = seeds.first; seed < seeds.first + runs; ++seed) {
            sim_settings settings;
            settings.with_advice = seed % 2 == 0;
            sim_cell cell{seed, settings};
            std::uint64_t next = 1;
            for (int second = 0; second < 10; ++second) {
                for (auto count = cell.random.below(5); count > 0; --count) {
                    cell.submit(random_job(cell.random, next++));
                }
                cell.run_for(1s);
            }
            cell.run_for(60s);
            check(seed, cell);
            for (const auto& [id, job] : cell.records.jobs()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("seed ", seed, " job ", id.value()),
                                             std::string{"completed"},
                                             std::string{name_of(job.state)});
            }
        }
    }

private:
    static void check(std::uint64_t seed, sim_cell& cell)
    {
        cell.check_acknowledged_ends();
        cell.check_failed_jobs();
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed, ": ",
                                            cell.violations.empty() ? "" : cell.violations.front()),
                               cell.violations.empty());
        std::string open;
        for (const auto id : cell.records.open_jobs()) {
            const auto& job = *cell.records.find(id);
            absl::StrAppend(&open, " ", id.value(), "(", std::string{name_of(job.state)},
                            " placed=", job.placed, ")");
        }
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed, " open jobs:", open),
                               cell.all_jobs_ended());
    }

    static void run_with_faults(std::uint64_t seed)
    {
        sim_settings settings;
        settings.fail_run = 0.02;
        settings.with_advice = seed % 2 == 0;
        sim_cell cell{seed, settings};
        cell.config->accounts.at("account").limit.millicores = 300'000;
        cell.has_faults = true;
        std::uint64_t next = 1;
        for (int part = 0; part < 40; ++part) {
            for (auto count = cell.random.below(3); count > 0; --count) {
                const auto job = random_job(cell.random, next++);
                if (cell.random.chance(0.08)) {
                    cell.crashing_tasks.emplace(
                        task_key{job.id, 0, 0, 0},
                        std::chrono::milliseconds{cell.random.between(5, 400)});
                }
                cell.submit(job);
            }
            if (next > 2 && cell.random.chance(0.1)) {
                cell.cancel(job_number{cell.random.between(1, next - 1)});
            }
            if (cell.random.chance(0.6)) {
                inject_fault(cell);
            }
            cell.run_for(std::chrono::milliseconds{cell.random.between(100, 900)});
        }
        clear_faults(cell);
        cell.run_for(90s);
        check(seed, cell);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_cell_test);

} // namespace
