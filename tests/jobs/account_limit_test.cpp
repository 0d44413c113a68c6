#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <string>

// Load pattern: one account has far more work than its limit lets it run, while the fleet has free
// capacity and other accounts send a little work of the same priority.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

constexpr std::uint64_t backlog = 400;

class account_limit_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(account_limit_test);
    CPPUNIT_TEST(account_at_limit_batch_of_others_is_placed);
    CPPUNIT_TEST(account_at_limit_urgent_of_others_is_placed);
    CPPUNIT_TEST(account_at_limit_with_gangs_others_are_placed);
    CPPUNIT_TEST(account_at_limit_with_advice_others_are_placed);
    CPPUNIT_TEST(account_at_limit_uses_its_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against 32 steps of an account at its limit that end the planning pass for their
    // priority, so that nobody else's steps are planned although most of the fleet is free.
    void account_at_limit_batch_of_others_is_placed()
    {
        auto cell = make_cell(false);
        check_other_is_placed(*cell, 1, 1, 60ms);
    }

    // The same for priority 0, whose steps are looked at on every pass.
    void account_at_limit_urgent_of_others_is_placed()
    {
        auto cell = make_cell(false);
        check_other_is_placed(*cell, 0, 1, 60ms);
    }

    // One member of each gang is within the limit, the whole gang isn't.
    void account_at_limit_with_gangs_others_are_placed()
    {
        auto cell = make_cell(false);
        check_other_is_placed(*cell, 1, 3, 60ms);
    }

    void account_at_limit_with_advice_others_are_placed()
    {
        auto cell = make_cell(true);
        check_other_is_placed(*cell, 1, 1, 200ms);
    }

    // Guards against an account at its limit that isn't planned again once its tasks end, or that
    // gets more than its limit.
    void account_at_limit_uses_its_limit()
    {
        auto cell = make_cell(false);
        submit_capped(*cell, 1, 1);
        cell->run_for(500ms);
        std::int64_t sum = 0;
        for (int sample = 0; sample < 400; ++sample) {
            cell->run_for(10ms);
            const auto used = cell->records.used_by("capped").millicores;
            CPPUNIT_ASSERT(used <= 2'000);
            sum += used;
        }
        // A place stays empty while the end of its task is committed, and for a pass or two.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(sum / 400), sum / 400 >= 1'700);
        CPPUNIT_ASSERT(cell->violations.empty());
    }

private:
    static std::unique_ptr<sim_cell> make_cell(bool with_advice)
    {
        auto cell = std::make_unique<sim_cell>(
            1, sim_settings{.workers = 8, .with_advice = with_advice, .agents = 24});
        cell->config->accounts["capped"] = {"capped", {"key-2"}, 1, {2'000, 0, 0}};
        cell->run_for(1s);
        return cell;
    }

    static void submit_capped(sim_cell& cell, std::uint32_t priority, std::uint32_t width)
    {
        for (std::uint64_t id = 1; id <= backlog; ++id) {
            auto job = simple_job(id, width, 1'000);
            job.account = "capped";
            job.priority = priority;
            job.target_latency = 60s;
            job.steps[0].gang = width > 1;
            cell.submit(job);
        }
    }

    static void check_other_is_placed(sim_cell& cell, std::uint32_t priority, std::uint32_t width,
                                      base::duration time)
    {
        submit_capped(cell, priority, width);
        cell.run_for(500ms);
        auto other = simple_job(backlog + 1, 1, 1'000);
        other.priority = priority;
        other.target_latency = 70s;
        cell.submit(other);
        cell.run_for(cell.settings.commit_time + time);
        CPPUNIT_ASSERT(cell.records.find(other.id) != nullptr);
        CPPUNIT_ASSERT(cell.was_placed(other.id));
        CPPUNIT_ASSERT(cell.violations.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_limit_test);

} // namespace
