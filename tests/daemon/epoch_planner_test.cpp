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
    CPPUNIT_TEST(plan_member_within_its_lease_is_retained);
    CPPUNIT_TEST(plan_member_without_contact_is_removed_after_lease_and_drift);
    CPPUNIT_TEST(plan_new_leader_waits_for_leases_granted_by_the_former_leader);
    CPPUNIT_TEST(plan_restarted_member_is_replaced_by_its_new_run);
    CPPUNIT_TEST(plan_leaving_member_is_removed_immediately);
    CPPUNIT_TEST(plan_joining_host_waits_for_join_delay);
    CPPUNIT_TEST(plan_without_any_contact_keeps_the_epoch);
    CPPUNIT_TEST_SUITE_END();

    static base::time_point at(std::chrono::milliseconds time)
    {
        return base::time_point{} + 1h + time;
    }

public:
    void plan_member_within_its_lease_is_retained()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.record_contact(at(2'000ms), host_a, false);
        planner.record_contact(at(1'000ms), host_b, false);
        CPPUNIT_ASSERT(!planner.plan(at(3'020ms), {host_a, host_b}).has_value());
    }

    void plan_member_without_contact_is_removed_after_lease_and_drift()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.record_contact(at(2'000ms), host_a, false);
        planner.record_contact(at(1'000ms), host_b, false);
        const auto plan = planner.plan(at(3'021ms), {host_a, host_b});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT(plan->members == std::vector<host_run>{host_a});
        CPPUNIT_ASSERT(plan->reason == epoch_reason::silent);
    }

    // Guards against two owners of one team: the former leader may have renewed the lease of a
    // member that has not contacted the new leader yet.
    void plan_new_leader_waits_for_leases_granted_by_the_former_leader()
    {
        epoch_planner planner;
        planner.start(at(500ms), {host_a, host_b});
        planner.record_contact(at(2'500ms), host_a, false);
        CPPUNIT_ASSERT(!planner.plan(at(2'520ms), {host_a, host_b}).has_value());
        CPPUNIT_ASSERT(planner.plan(at(2'521ms), {host_a, host_b}).has_value());
    }

    void plan_restarted_member_is_replaced_by_its_new_run()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.record_contact(at(100ms), host_b_restarted, false);
        const auto plan = planner.plan(at(100ms), {host_a, host_b});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT((plan->members == std::vector<host_run>{host_a, host_b_restarted}));
    }

    void plan_leaving_member_is_removed_immediately()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a, host_b});
        planner.record_contact(at(100ms), host_b, true);
        const auto plan = planner.plan(at(100ms), {host_a, host_b});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT(plan->members == std::vector<host_run>{host_a});
        CPPUNIT_ASSERT(plan->reason == epoch_reason::planned_leave);
    }

    void plan_joining_host_waits_for_join_delay()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a});
        planner.on_epoch_installed(at(0ms));
        planner.record_contact(at(100ms), host_b, false);
        CPPUNIT_ASSERT(!planner.plan(at(299ms), {host_a}).has_value());
        const auto plan = planner.plan(at(300ms), {host_a});
        CPPUNIT_ASSERT(plan.has_value());
        CPPUNIT_ASSERT((plan->members == std::vector<host_run>{host_a, host_b}));
    }

    // Guards against an epoch without members, in which teams would have no owner.
    void plan_without_any_contact_keeps_the_epoch()
    {
        epoch_planner planner;
        planner.start(at(0ms), {host_a});
        CPPUNIT_ASSERT(!planner.plan(at(10'000ms), {host_a}).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(epoch_planner_test);

} // namespace
