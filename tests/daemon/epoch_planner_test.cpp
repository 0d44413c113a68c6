#include "epoch_planner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lovagebeam;
using namespace std::chrono_literals;
using daemon::epoch_planner;
using daemon::epoch_reason;
using daemon::host_run;

const host_run host_a{base::node_id{"a"}, 1};
const host_run host_b{base::node_id{"b"}, 1};
const host_run host_b_restarted{base::node_id{"b"}, 2};

class epoch_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(epoch_planner_test);
    CPPUNIT_TEST(plan_member_within_its_lease_is_kept);
    CPPUNIT_TEST(plan_silent_member_is_removed_after_lease_and_drift);
    CPPUNIT_TEST(plan_new_leader_waits_for_leases_of_the_former_one);
    CPPUNIT_TEST(plan_restarted_member_is_replaced_by_its_new_run);
    CPPUNIT_TEST(plan_leaving_member_is_removed_at_once);
    CPPUNIT_TEST(plan_joining_host_waits_until_others_are_gathered);
    CPPUNIT_TEST(plan_nobody_heard_keeps_the_epoch);
    CPPUNIT_TEST_SUITE_END();

    static base::time_point at(std::chrono::milliseconds time)
    {
        return base::time_point{} + 1h + time;
    }

public:
    void plan_member_within_its_lease_is_kept()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.heard(at(2'000ms), host_a, false);
        planner.heard(at(1'000ms), host_b, false);
        CPPUNIT_ASSERT(!planner.plan(at(3'020ms), {host_a, host_b}).has_value());
    }

    void plan_silent_member_is_removed_after_lease_and_drift()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.heard(at(2'000ms), host_a, false);
        planner.heard(at(1'000ms), host_b, false);
        const auto plan = planner.plan(at(3'021ms), {host_a, host_b});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT(plan->members == std::vector<host_run>{host_a});
        CPPUNIT_ASSERT(plan->reason == epoch_reason::silent);
    }

    // Guards against two owners of one team: the former leader may have renewed the lease of a
    // member that the new one has never heard.
    void plan_new_leader_waits_for_leases_of_the_former_one()
    {
        epoch_planner planner;
        planner.start(at(500ms), {host_a, host_b});
        planner.heard(at(2'500ms), host_a, false);
        CPPUNIT_ASSERT(!planner.plan(at(2'520ms), {host_a, host_b}).has_value());
        CPPUNIT_ASSERT(planner.plan(at(2'521ms), {host_a, host_b}).has_value());
    }

    void plan_restarted_member_is_replaced_by_its_new_run()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.heard(at(100ms), host_b_restarted, false);
        const auto plan = planner.plan(at(100ms), {host_a, host_b});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT((plan->members == std::vector<host_run>{host_a, host_b_restarted}));
    }

    void plan_leaving_member_is_removed_at_once()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.heard(at(100ms), host_b, true);
        const auto plan = planner.plan(at(100ms), {host_a, host_b});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT(plan->members == std::vector<host_run>{host_a});
        CPPUNIT_ASSERT(plan->reason == epoch_reason::planned_leave);
    }

    void plan_joining_host_waits_until_others_are_gathered()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a});
        planner.installed(at(0ms));
        planner.heard(at(100ms), host_b, false);
        CPPUNIT_ASSERT(!planner.plan(at(299ms), {host_a}).has_value());
        const auto plan = planner.plan(at(300ms), {host_a});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT((plan->members == std::vector<host_run>{host_a, host_b}));
    }

    // An epoch without members would leave no owner; the last one stays in force instead.
    void plan_nobody_heard_keeps_the_epoch()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a});
        CPPUNIT_ASSERT(!planner.plan(at(10'000ms), {host_a}).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(epoch_planner_test);

} // namespace
