#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>

// Load pattern: many steps that can't be placed come before steps of the same priority that can.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// A task that can be placed may not wait for longer while nothing of its account runs.
constexpr base::duration longest_pause = 3s;
/// As many steps as make planning passes as rare as they get.
constexpr std::uint64_t large_backlog = 1'200;
constexpr std::uint64_t first_small = 1'000'000;

class blocked_steps_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(blocked_steps_test);
    CPPUNIT_TEST(limit_lowered_urgent_steps_within_it_run);
    CPPUNIT_TEST(limit_lowered_large_backlog_steps_within_it_run);
    CPPUNIT_TEST(memory_limit_lowered_steps_within_it_run);
    CPPUNIT_TEST(accelerator_limit_lowered_steps_within_it_run);
    CPPUNIT_TEST(limit_lowered_expired_steps_within_it_run);
    CPPUNIT_TEST(limit_lowered_with_advice_steps_within_it_run);
    CPPUNIT_TEST(leader_changed_steps_within_limit_run);
    CPPUNIT_TEST(gangs_at_limit_single_tasks_run);
    CPPUNIT_TEST(several_accounts_at_limit_steps_within_it_run);
    CPPUNIT_TEST(label_missing_urgent_step_behind_is_placed);
    CPPUNIT_TEST(label_missing_large_backlog_step_behind_is_placed);
    CPPUNIT_TEST(label_missing_expired_step_behind_is_placed);
    CPPUNIT_TEST(label_missing_with_advice_step_behind_is_placed);
    CPPUNIT_TEST(accelerators_missing_step_behind_is_placed);
    CPPUNIT_TEST(steps_of_other_accounts_unplaceable_step_behind_is_placed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against small jobs that stand still on an idle fleet behind jobs that a lowered limit
    // of their account doesn't admit.
    void limit_lowered_urgent_steps_within_it_run()
    {
        check_small_run({8'000, 0, 0}, {9'000, 64, 0}, {3'000, 64, 0}, 0, 100);
    }

    // Passes are so rare here that a step which was looked at in vain may be looked at in each.
    void limit_lowered_large_backlog_steps_within_it_run()
    {
        check_small_run({8'000, 0, 0}, {9'000, 64, 0}, {3'000, 64, 0}, 1, large_backlog);
    }

    void memory_limit_lowered_steps_within_it_run()
    {
        check_small_run({0, 4'000, 0}, {1'000, 5'000, 0}, {1'000, 1'500, 0}, 2, large_backlog);
    }

    void accelerator_limit_lowered_steps_within_it_run()
    {
        check_small_run({0, 0, 1}, {1'000, 64, 2}, {1'000, 64, 1}, 0, 100);
    }

    // The jobs are older than three times their objective when the limit is lowered.
    void limit_lowered_expired_steps_within_it_run()
    {
        check_small_run({8'000, 0, 0}, {9'000, 64, 0}, {3'000, 64, 0}, 1, 200, 1s);
    }

    void limit_lowered_with_advice_steps_within_it_run()
    {
        check_small_run({8'000, 0, 0}, {9'000, 64, 0}, {3'000, 64, 0}, 1, large_backlog, 300s,
                        true);
    }

    // The next leader knows neither where passes have ended nor which workers advice allows.
    void leader_changed_steps_within_limit_run()
    {
        auto cell = make_cell(true);
        limit(*cell, "account", {8'000, 0, 0});
        for (std::uint64_t id = 1; id <= large_backlog; ++id) {
            cell->submit(make_job(id, {9'000, 64, 0}, 1));
        }
        cell->run_for(1s);
        cell->change_leader();
        cell->run_for(200ms);
        check_placed_soon(*cell, make_job(first_small, {3'000, 64, 0}, 1));
    }

    // One member of each gang is within the limit, the whole gang isn't.
    void gangs_at_limit_single_tasks_run()
    {
        auto cell = make_cell();
        limit(*cell, "account", {8'000, 0, 0});
        for (std::uint64_t id = 1; id <= large_backlog; ++id) {
            auto job = make_job(id, {3'000, 64, 0}, 1);
            job.steps[0].tasks = 3;
            job.steps[0].gang = true;
            cell->submit(job);
        }
        cell->run_for(200ms);
        check_placed_soon(*cell, make_job(first_small, {3'000, 64, 0}, 1));
    }

    void several_accounts_at_limit_steps_within_it_run()
    {
        auto cell = make_cell();
        for (std::uint64_t number = 0; number < 12; ++number) {
            const auto account = "account-" + std::to_string(number);
            limit(*cell, account, {8'000, 0, 0});
            for (std::uint64_t id = 1; id <= 100; ++id) {
                auto job = make_job(number * 1'000 + id, {9'000, 64, 0}, 0);
                job.account = account;
                cell->submit(job);
            }
        }
        cell->run_for(200ms);
        auto small = make_job(first_small, {3'000, 64, 0}, 0);
        small.account = "account-3";
        check_placed_soon(*cell, small);
    }

    // Guards against steps that no worker can run and that keep all others of their priority from
    // being looked at.
    void label_missing_urgent_step_behind_is_placed()
    {
        auto cell = make_cell();
        submit_without_worker(*cell, 0, 200);
        check_placed_soon(*cell, make_job(first_small, {3'000, 64, 0}, 0));
    }

    void label_missing_large_backlog_step_behind_is_placed()
    {
        auto cell = make_cell();
        submit_without_worker(*cell, 1, large_backlog);
        check_placed_soon(*cell, make_job(first_small, {3'000, 64, 0}, 1));
    }

    void label_missing_expired_step_behind_is_placed()
    {
        auto cell = make_cell();
        submit_without_worker(*cell, 0, 200, 1s);
        auto last = make_job(first_small, {3'000, 64, 0}, 0, 1s);
        last.steps[0].required_label = "later";
        cell->submit(last);
        cell->run_for(10s);
        CPPUNIT_ASSERT(!cell->was_placed(last.id));
        auto& worker = cell->workers.begin()->second;
        worker.info.labels.emplace_back("later");
        cell->change_capacity(worker.info.id, worker.info.capacity.millicores);
        cell->run_for(1'500ms + longest_pause);
        CPPUNIT_ASSERT(cell->was_placed(last.id));
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    void label_missing_with_advice_step_behind_is_placed()
    {
        auto cell = make_cell(true);
        submit_without_worker(*cell, 1, large_backlog);
        check_placed_soon(*cell, make_job(first_small, {3'000, 64, 0}, 1));
    }

    void accelerators_missing_step_behind_is_placed()
    {
        auto cell = make_cell();
        for (std::uint64_t id = 1; id <= large_backlog; ++id) {
            cell->submit(make_job(id, {1'000, 64, 4}, 1));
        }
        cell->run_for(200ms);
        check_placed_soon(*cell, make_job(first_small, {3'000, 64, 0}, 1));
    }

    // Each account gets few looks then.
    void steps_of_other_accounts_unplaceable_step_behind_is_placed()
    {
        auto cell = make_cell();
        for (std::uint64_t number = 0; number < 12; ++number) {
            for (std::uint64_t id = 1; id <= 100; ++id) {
                auto job = make_job(number * 1'000 + id, {1'000, 64, 0}, 0);
                job.account = "account-" + std::to_string(number);
                job.steps[0].required_label = "missing";
                cell->submit(job);
            }
        }
        cell->run_for(200ms);
        auto small = make_job(first_small, {3'000, 64, 0}, 0);
        small.account = "account-3";
        check_placed_soon(*cell, small);
    }

private:
    static std::unique_ptr<sim_cell> make_cell(bool with_advice = false)
    {
        auto cell = std::make_unique<sim_cell>(
            1, sim_settings{.workers = 8, .with_advice = with_advice, .agents = 24});
        cell->run_for(1s);
        return cell;
    }

    static job_spec make_job(std::uint64_t id, const size& task, std::uint32_t priority,
                             milliseconds target = 300s)
    {
        auto job = simple_job(id, 1, task.millicores);
        job.steps[0].size = task;
        job.priority = priority;
        job.target_latency = target;
        return job;
    }

    static void limit(sim_cell& cell, const std::string& account, const size& most)
    {
        auto next = std::make_shared<catalog>(*cell.config);
        ++next->version;
        next->accounts[account] = {account, {"key-" + account}, 1, most};
        cell.change_config(next);
    }

    static void submit_without_worker(sim_cell& cell, std::uint32_t priority, std::uint64_t count,
                                      milliseconds target = 300s)
    {
        for (std::uint64_t id = 1; id <= count; ++id) {
            auto job = make_job(id, {1'000, 64, 0}, priority, target);
            job.steps[0].required_label = "missing";
            cell.submit(job);
        }
        cell.run_for(200ms);
    }

    static void check_placed_soon(sim_cell& cell, const job_spec& job)
    {
        cell.submit(job);
        cell.run_for(cell.settings.commit_time + longest_pause);
        CPPUNIT_ASSERT(cell.was_placed(job.id));
        CPPUNIT_ASSERT(cell.violations.empty());
    }

    /// Submits `count` large and ten small jobs, the small ones last, while the account may run
    /// nothing, and then admits the small ones.
    static void check_small_run(const size& most, const size& large, const size& small,
                                std::uint32_t priority, std::uint64_t count,
                                milliseconds target = 300s, bool with_advice = false)
    {
        auto cell = make_cell(with_advice);
        for (auto& [id, worker] : cell->workers) {
            worker.info.capacity.accelerators = 4;
            cell->change_capacity(id, worker.info.capacity.millicores);
        }
        limit(*cell, "account", {1, 1, 1});
        cell->run_for(2s);
        for (std::uint64_t id = 1; id <= count; ++id) {
            cell->submit(make_job(id, large, priority, target));
        }
        for (std::uint64_t id = first_small; id < first_small + 10; ++id) {
            cell->submit(make_job(id, small, priority, target));
        }
        cell->run_for(target <= 1s ? 10s : 1s);
        limit(*cell, "account", most);
        auto last_active = cell->now;
        while (count_waiting(*cell) > 0) {
            cell->run_for(10ms);
            if (cell->records.used_by("account").millicores > 0) {
                last_active = cell->now;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count_waiting(*cell)) + " small jobs wait",
                                   cell->now - last_active <= longest_pause);
        }
        for (std::uint64_t id = 1; id <= count; ++id) {
            CPPUNIT_ASSERT(!cell->was_placed(job_number{id}));
        }
        CPPUNIT_ASSERT(cell->violations.empty());
    }

    static std::int64_t count_waiting(const sim_cell& cell)
    {
        std::int64_t waiting = 0;
        for (std::uint64_t id = first_small; id < first_small + 10; ++id) {
            waiting += cell.was_placed(job_number{id}) ? 0 : 1;
        }
        return waiting;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(blocked_steps_test);

} // namespace
