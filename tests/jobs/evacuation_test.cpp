#include "lovagebeam/jobs/evacuation.h"
#include "lovagebeam/jobs/ledger.h"

#include "sim_cell.h"
#include "support/seed.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace std::chrono_literals;
namespace sim = lovagebeam::jobs::test;

const base::failure_domain north{"north"};
const base::failure_domain south{"south"};

/// Evacuations in a simulated cell, which reports each start that is sent to an evacuated domain.
class evacuation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(burst_in_evacuated_domain_runs_elsewhere);
    CPPUNIT_TEST(running_tasks_continue_through_leader_change);
    CPPUNIT_TEST(committed_placement_that_was_not_sent_is_withdrawn);
    CPPUNIT_TEST(gang_with_unsent_member_is_withdrawn_as_a_whole);
    CPPUNIT_TEST(withdrawn_tasks_are_placed_elsewhere_at_once);
    CPPUNIT_TEST(gangs_while_domain_is_evacuated_all_end);
    CPPUNIT_TEST(withdrawn_domain_gets_tasks_again);
    CPPUNIT_TEST(worker_that_registers_later_gets_no_tasks);
    CPPUNIT_TEST(worker_that_moves_to_evacuated_domain_gets_no_tasks);
    CPPUNIT_TEST(queued_advice_calls_leave_out_evacuated_workers);
    CPPUNIT_TEST(all_domains_evacuated_tasks_wait_until_withdrawal);
    CPPUNIT_TEST(random_orders_with_faults_keep_the_rules);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starts that were planned, committed or on their way to the commit when the
    // order came.
    void burst_in_evacuated_domain_runs_elsewhere()
    {
        auto cell = make_cell(9, 3);
        submit(cell, 1, 60, 8, 1'000);
        cell.run_for(30ms);
        cell.order_evacuation("d1", true);
        submit(cell, 100, 60, 8, 1'000);
        cell.run_for(20s);
        check_rules(cell);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cell.logged_events["evacuation_in_force"]);
        check_no_task_in(cell, "d1");
    }

    // Guards against a next leader that stops or loses what runs in the domain, and against one
    // that starts more there.
    void running_tasks_continue_through_leader_change()
    {
        auto cell = make_cell(4, 2);
        auto job = simple_job_of(1, 40, 4'000);
        job.steps[0].estimate = 12s; // each task takes 6 to 24 s
        cell.submit(job);
        cell.run_for(600ms);
        const auto running = tasks_in(cell, "d0");
        CPPUNIT_ASSERT(running > 0);
        cell.order_evacuation("d0", true);
        cell.run_for(200ms);
        CPPUNIT_ASSERT_EQUAL(running, tasks_in(cell, "d0"));
        cell.change_leader();
        cell.run_for(1'500ms);
        CPPUNIT_ASSERT(cell.leader != nullptr);
        CPPUNIT_ASSERT_EQUAL(running, tasks_in(cell, "d0"));
        cell.run_for(40s);
        check_rules(cell);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        for (const auto& task : cell.records.find(job_number{1})->steps[0].tasks) {
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, task.attempt);
        }
    }

    // Guards against a start that is ready to be sent when the order is applied.
    void committed_placement_that_was_not_sent_is_withdrawn()
    {
        auto cell = make_cell(2, 2);
        cell.run_for(1s);
        const auto placement = commit_placement_of(cell, simple_job_of(1, 60, 2'000));
        cell.leader->on_applied(cell.now, placement);
        evacuate_now(cell, "d0");
        const auto out = cell.leader->take(cell.now, cell.wall());
        CPPUNIT_ASSERT(!out.starts.empty());
        for (const auto& start : out.starts) {
            CPPUNIT_ASSERT_EQUAL(std::string{"w1"}, start.to.worker.str());
        }
        const auto placed_there = cell.records.placed_on(base::worker_id{"w0"}).size();
        CPPUNIT_ASSERT(placed_there > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{placed_there}, out.withheld_starts);
        CPPUNIT_ASSERT_EQUAL(placed_there, not_started_ends(out));
    }

    // Guards against members of a gang that are sent and wait for others that were withdrawn.
    void gang_with_unsent_member_is_withdrawn_as_a_whole()
    {
        auto cell = make_cell(2, 2);
        cell.run_for(1s);
        auto job = simple_job_of(1, 4, 30'000);
        job.steps[0].gang = true;
        const auto placement = commit_placement_of(cell, job);
        cell.leader->on_applied(cell.now, placement);
        evacuate_now(cell, "d0");
        const auto out = cell.leader->take(cell.now, cell.wall());
        CPPUNIT_ASSERT(out.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, out.withheld_starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, not_started_ends(out));
    }

    // Guards against the pause after refused starts, which grows to 1.6 s with each end of the
    // step.
    void withdrawn_tasks_are_placed_elsewhere_at_once()
    {
        auto cell = make_cell(2, 2);
        cell.run_for(1s);
        const auto placement = commit_placement_of(cell, simple_job_of(1, 30, 2'000));
        cell.leader->on_applied(cell.now, placement);
        const auto& first = cell.records.find(job_number{1})->steps[0].tasks[0];
        evacuate_now(cell, cell.records.workers().at(first.worker).domain.str());
        const auto out = cell.leader->take(cell.now, cell.wall());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{30}, out.withheld_starts);
        for (const auto& [id, batch] : out.batches) {
            apply(cell, batch);
            cell.leader->on_applied(cell.now, batch);
        }
        static_cast<void>(next_placement(cell));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{30}, cell.records.find(job_number{1})->placed);
        CPPUNIT_ASSERT(cell.now - cell.leading_since < 1s + 60ms);
    }

    void gangs_while_domain_is_evacuated_all_end()
    {
        auto cell = make_cell(9, 3);
        cell.run_for(1s);
        for (std::uint64_t id = 1; id <= 30; ++id) {
            auto job = simple_job_of(id, 6, 16'000);
            job.steps[0].gang = true;
            cell.submit(job);
        }
        cell.run_for(60ms);
        cell.order_evacuation("d2", true);
        cell.run_for(30s);
        check_rules(cell);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
    }

    void withdrawn_domain_gets_tasks_again()
    {
        auto cell = make_cell(4, 2);
        cell.order_evacuation("d0", true);
        cell.run_for(1s);
        submit(cell, 1, 1, 64, 2'000);
        cell.run_for(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tasks_in(cell, "d0"));
        cell.order_evacuation("d0", false);
        submit(cell, 2, 1, 128, 2'000);
        cell.run_for(300ms);
        CPPUNIT_ASSERT(tasks_in(cell, "d0") > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cell.logged_events["evacuation_withdrawn"]);
        check_rules(cell);
    }

    void worker_that_registers_later_gets_no_tasks()
    {
        auto cell = make_cell(2, 2);
        cell.order_evacuation("d0", true);
        cell.run_for(1s);
        cell.add_worker("w2"); // in d0
        CPPUNIT_ASSERT_EQUAL(std::string{"d0"},
                             cell.workers.at(base::worker_id{"w2"}).info.domain.str());
        cell.run_for(1s);
        submit(cell, 1, 10, 16, 4'000);
        cell.run_for(10s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        check_rules(cell);
    }

    // Guards against a worker that is judged by the domain of an earlier instance.
    void worker_that_moves_to_evacuated_domain_gets_no_tasks()
    {
        auto cell = make_cell(3, 3);
        cell.order_evacuation("d1", true);
        cell.run_for(1s);
        const base::worker_id moved{"w0"};
        cell.workers.at(moved).info.domain = base::failure_domain{"d1"};
        cell.replace_worker(moved, 10ms);
        cell.run_for(2s);
        CPPUNIT_ASSERT(cell.records.is_evacuated(moved));
        submit(cell, 1, 10, 16, 4'000);
        cell.run_for(10s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        check_rules(cell);
    }

    // Guards against calls that ask for tickets which can't be used. The cell reports each call
    // that names a worker of an evacuated domain; with two agents most calls are queued.
    void queued_advice_calls_leave_out_evacuated_workers()
    {
        sim::sim_settings settings;
        settings.workers = 12;
        settings.domains = 3;
        settings.with_advice = true;
        settings.agents = 2;
        sim::sim_cell cell{7, settings};
        cell.run_for(1s);
        for (std::uint64_t id = 1; id <= 40; ++id) {
            auto job = simple_job_of(id, 4, 8'000);
            job.steps[0].gang = id % 2 == 0;
            cell.submit(job);
        }
        cell.run_for(70ms);
        cell.order_evacuation("d0", true);
        cell.run_for(30s);
        check_rules(cell);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
    }

    void all_domains_evacuated_tasks_wait_until_withdrawal()
    {
        auto cell = make_cell(4, 2);
        cell.order_evacuation("d0", true);
        cell.order_evacuation("d1", true);
        cell.run_for(1s);
        submit(cell, 1, 5, 4, 1'000);
        cell.run_for(3s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cell.starts);
        cell.order_evacuation("d1", false);
        cell.run_for(5s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        check_rules(cell);
    }

    // Repeated, late and crossed orders while workers restart, orders are lost and leaders change.
    void random_orders_with_faults_keep_the_rules()
    {
        const auto& seeds = lovagebeam::test::seeds();
        for (auto seed = seeds.first; seed < seeds.first + seeds.runs_or(12); ++seed) {
            sim::sim_settings settings;
            settings.workers = 9;
            settings.domains = 3;
            settings.lose_request = 0.02;
            settings.lose_answer = 0.02;
            settings.with_advice = seed % 2 == 0;
            sim::sim_cell cell{seed, settings};
            cell.has_faults = true;
            cell.run_for(1s);
            std::uint64_t next = 1;
            for (int round = 0; round < 40; ++round) {
                for (int i = 0; i < 4; ++i) {
                    auto job = simple_job_of(
                        next++, static_cast<std::uint32_t>(cell.random.between(1, 6)),
                        static_cast<std::int64_t>(cell.random.between(1, 16)) * 1'000);
                    job.steps[0].gang = cell.random.chance(0.4);
                    cell.submit(job);
                }
                if (cell.random.chance(0.5)) {
                    cell.order_evacuation(absl::StrCat("d", cell.random.below(3)),
                                          cell.random.chance(0.6));
                }
                if (cell.random.chance(0.05)) {
                    cell.change_leader();
                }
                if (cell.random.chance(0.05)) {
                    cell.restart_worker(base::worker_id{absl::StrCat("w", cell.random.below(9))},
                                        true);
                }
                cell.run_for(milliseconds{cell.random.between(20, 400)});
            }
            for (const auto* const domain : {"d0", "d1", "d2"}) {
                cell.order_evacuation(domain, false);
            }
            cell.run_for(60s);
            check_rules(cell, seed);
            CPPUNIT_ASSERT_MESSAGE(absl::StrCat("seed ", seed), cell.all_jobs_ended());
        }
    }

private:
    static job_spec simple_job_of(std::uint64_t id, std::uint32_t tasks, std::int64_t millicores)
    {
        return sim::simple_job(id, tasks, millicores);
    }

    static sim::sim_cell make_cell(std::uint32_t workers, std::uint32_t domains)
    {
        sim::sim_settings settings;
        settings.workers = workers;
        settings.domains = domains;
        return sim::sim_cell{1, settings};
    }

    static void submit(sim::sim_cell& cell, std::uint64_t first, std::uint64_t jobs,
                       std::uint32_t tasks, std::int64_t millicores)
    {
        for (std::uint64_t id = first; id < first + jobs; ++id) {
            cell.submit(simple_job_of(id, tasks, millicores));
        }
    }

    static void check_rules(sim::sim_cell& cell, std::uint64_t seed = 0)
    {
        cell.check_acknowledged_ends();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("seed ", seed), std::string{},
                                     absl::StrJoin(cell.violations, "\n"));
    }

    static std::size_t tasks_in(const sim::sim_cell& cell, const std::string& domain)
    {
        std::size_t count = 0;
        for (const auto& [id, worker] : cell.workers) {
            count += worker.info.domain.str() == domain ? worker.runs.size() : 0;
        }
        return count;
    }

    static void check_no_task_in(const sim::sim_cell& cell, const std::string& domain)
    {
        for (const auto& [id, info] : cell.records.workers()) {
            CPPUNIT_ASSERT(info.domain.str() != domain || cell.records.placed_on(id).empty());
        }
    }

    /// Applies the submission at once, and then the placement that the leader decides on, but not
    /// to the leader. Returns the batch with the placement.
    static proto::jobs::Batch commit_placement_of(sim::sim_cell& cell, const job_spec& job)
    {
        proto::jobs::Batch submission;
        *submission.add_operations()->mutable_accept()->mutable_spec() = to_proto(job);
        apply(cell, submission);
        cell.leader->on_applied(cell.now, submission);
        return next_placement(cell);
    }

    static proto::jobs::Batch next_placement(sim::sim_cell& cell)
    {
        for (int i = 0; i < 100; ++i) {
            cell.now += 1ms;
            cell.leader->tick(cell.now, cell.wall());
            for (auto& [number, batch] : cell.leader->take(cell.now, cell.wall()).batches) {
                if (std::ranges::any_of(batch.operations(), &proto::jobs::Operation::has_place)) {
                    apply(cell, batch);
                    return batch;
                }
            }
        }
        CPPUNIT_FAIL("nothing was placed");
        return {};
    }

    static void apply(sim::sim_cell& cell, const proto::jobs::Batch& batch)
    {
        CPPUNIT_ASSERT(cell.records.apply(batch.SerializeAsString()).ok());
    }

    static void evacuate_now(sim::sim_cell& cell, const std::string& domain)
    {
        proto::jobs::Batch batch;
        auto& operation = *batch.add_operations()->mutable_put_evacuation();
        operation.set_domain(domain);
        operation.set_evacuated(true);
        apply(cell, batch);
        cell.leader->on_applied(cell.now, batch);
    }

    static std::size_t not_started_ends(const coordinator_output& out)
    {
        std::size_t count = 0;
        for (const auto& [id, batch] : out.batches) {
            for (const auto& operation : batch.operations()) {
                count += operation.has_end() &&
                                 operation.end().how() == proto::jobs::END_KIND_NOT_STARTED
                             ? 1
                             : 0;
            }
        }
        return count;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace
