#include "harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::placement;
using namespace lovagebeam::placement::test;

class policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(policy_test);
    CPPUNIT_TEST(service_several_domains_is_spread);
    CPPUNIT_TEST(service_drained_worker_is_replaced_before_it_is_stopped);
    CPPUNIT_TEST(batch_least_slack_goes_first);
    CPPUNIT_TEST(gang_without_room_for_all_starts_none);
    CPPUNIT_TEST(gang_under_steady_small_work_is_eventually_placed);
    CPPUNIT_TEST(urgent_full_fleet_checkpoints_then_starts);
    CPPUNIT_TEST(urgent_full_fleet_of_unrepeatable_work_throttles);
    CPPUNIT_TEST(team_limit_is_not_exceeded_by_gang);
    CPPUNIT_TEST(gang_behind_many_of_team_at_limit_is_placed);
    CPPUNIT_TEST(gang_behind_many_without_room_is_placed);
    CPPUNIT_TEST(team_below_share_gets_capacity_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void service_several_domains_is_spread()
    {
        harness cell;
        for (int i = 0; i < 6; ++i) {
            cell.add_worker("w" + std::to_string(i), 4000, "d" + std::to_string(i / 2));
        }
        cell.submit(job("s", job_kind::service, 1000, 3));
        std::set<std::string> domains;
        for (const worker_command& task : cell.tasks_of("s")) {
            domains.insert(cell.workers.at(task.worker.str()).domain.str());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, domains.size());
    }

    // Guards against a drain that stops a service task before its replacement runs.
    void service_drained_worker_is_replaced_before_it_is_stopped()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("s", job_kind::service, 500));
        cell.announce("w0");
        cell.add_worker("w1", 1000);
        cell.process(worker_draining{base::worker_id{"w0"}, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.tasks_of("s").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.commands(command_kind::stop, "s"));
        cell.announce("w1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.commands(command_kind::stop, "s"));
        CPPUNIT_ASSERT(cell.sent.back().why == reason::stopped_replaced);
    }

    void batch_least_slack_goes_first()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("first", job_kind::batch, 900));
        job_spec relaxed = job("relaxed", job_kind::batch, 900);
        relaxed.deadline = cell.now + 1h;
        job_spec tight = job("tight", job_kind::batch, 900);
        tight.deadline = cell.now + 2min;
        cell.submit(relaxed);
        cell.submit(tight);
        cell.end(cell.tasks_of("first").at(0).task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("tight").size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("relaxed").size());
    }

    void gang_without_room_for_all_starts_none()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.add_worker("w1", 1000);
        cell.submit(job("b", job_kind::batch, 600));
        cell.submit(job("g", job_kind::gang, 900, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("g").size());
        cell.end(cell.tasks_of("b").at(0).task);
        cell.advance(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.tasks_of("g").size());
    }

    // Guards against starvation: small tasks that take all freed capacity before it is enough for
    // the gang.
    void gang_under_steady_small_work_is_eventually_placed()
    {
        scheduler_settings settings;
        settings.gang_wait_timeout = 5s;
        harness cell{settings};
        cell.add_worker("w0", 1000);
        cell.add_worker("w1", 1000);
        for (int i = 0; i < 40; ++i) {
            cell.submit(job("b" + std::to_string(i), job_kind::batch, 300));
        }
        cell.submit(job("g", job_kind::gang, 900, 2));
        for (int i = 0; i < 60 && cell.tasks_of("g").empty(); ++i) {
            cell.advance(200ms);
            for (const worker_command& command : std::exchange(cell.sent, {})) {
                const bool ends = command.kind == command_kind::checkpoint;
                if (ends && cell.held_tasks.contains(command.task.str())) {
                    cell.end(command.task, task_outcome::checkpointed);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(cell.why("g"), std::size_t{2}, cell.tasks_of("g").size());
    }

    void urgent_full_fleet_checkpoints_then_starts()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("b", job_kind::batch, 990));
        cell.advance(1s);
        cell.submit(job("u", job_kind::urgent, 500));
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting_for_preemption"}, cell.why("u"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.commands(command_kind::checkpoint, "b"));
        cell.advance(600ms);
        // The checkpoint is overdue, so the task is stopped.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.commands(command_kind::stop, "b"));
        cell.end(cell.tasks_of("b").at(0).task, task_outcome::stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("u").size());
    }

    // Guards against stopping work that may not be repeated.
    void urgent_full_fleet_of_unrepeatable_work_throttles()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        job_spec once = job("once", job_kind::batch, 990);
        once.repeatable = false;
        once.size.memory = base::bytes{1};
        cell.submit(once);
        cell.submit(job("u", job_kind::urgent, 400));
        cell.advance(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.commands(command_kind::stop, "once"));
        CPPUNIT_ASSERT(cell.commands(command_kind::throttle, "once") > 0);
        cell.process(task_throttled{cell.tasks_of("once").at(0).task, amount(495)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.tasks_of("u").size());
    }

    void team_limit_is_not_exceeded_by_gang()
    {
        harness cell;
        cell.add_worker("w0", 4000);
        team_settings settings;
        settings.limit_cpu = base::millicores{1500};
        cell.process(team_changed{base::team_id{"trust"}, settings});
        cell.submit(job("b", job_kind::batch, 600));
        cell.submit(job("g", job_kind::gang, 500, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("g").size());
        cell.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::string{"waiting_for_team_limit"}, cell.why("g"));
        cell.end(cell.tasks_of("b").at(0).task);
        cell.advance(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cell.tasks_of("g").size());
    }

    // Guards against gangs that no pass tries, since others that can't be placed were accepted
    // before them.
    void gang_behind_many_of_team_at_limit_is_placed()
    {
        harness cell;
        cell.add_worker("w0", 2000);
        team_settings settings;
        settings.limit_cpu = base::millicores{1500};
        cell.process(team_changed{base::team_id{"trust"}, settings});
        cell.submit(job("b", job_kind::batch, 600));
        submit_gangs(cell, 20, 500);
        cell.submit(job("other", job_kind::gang, 900, 2, "other"));
        check_placed_after_growth(cell);
    }

    // None of the first gangs fits on one worker more.
    void gang_behind_many_without_room_is_placed()
    {
        harness cell;
        cell.add_worker("w0", 2000);
        cell.add_worker("w1", 6000);
        cell.submit(job("b", job_kind::batch, 5500));
        submit_gangs(cell, 20, 3000);
        cell.submit(job("other", job_kind::gang, 900, 4, "other"));
        check_placed_after_growth(cell);
    }

    // Guards against a team that used the idle fleet and doesn't give up the excess over its share.
    void team_below_share_gets_capacity_back()
    {
        harness cell;
        cell.add_worker("w0", 1000);
        cell.submit(job("a", job_kind::batch, 200, 8, "borrower"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cell.tasks_of("a").size());
        cell.advance(6s);
        cell.submit(job("b", job_kind::batch, 200, 4, "late"));
        cell.advance(4s);
        CPPUNIT_ASSERT(cell.commands(command_kind::checkpoint, "a") > 0);
    }

private:
    static void submit_gangs(harness& cell, int count, std::int64_t cpu)
    {
        for (int i = 0; i < count; ++i) {
            cell.submit(job("g" + std::to_string(i), job_kind::gang, cpu, 2));
        }
    }

    /// Adds a worker on which, with the others, the gang "other" fits.
    static void check_placed_after_growth(harness& cell)
    {
        cell.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.tasks_of("other").size());
        cell.add_worker("w2", 1800);
        cell.advance(3s);
        CPPUNIT_ASSERT_MESSAGE(cell.why("other"), !cell.tasks_of("other").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(policy_test);

} // namespace
