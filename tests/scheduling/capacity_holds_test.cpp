#include "lovagebeam/scheduling/capacity_holds.h"

#include <cppunit/extensions/HelperMacros.h>

// Load pattern: a fleet full of small batch tasks, and gangs of a higher priority that need room
// for all their members at once.

namespace {

using namespace lovagebeam::scheduling;

class capacity_holds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(capacity_holds_test);
    CPPUNIT_TEST(gang_waits_workers_with_most_room_are_held);
    CPPUNIT_TEST(gang_waits_full_workers_count_for_one_task);
    CPPUNIT_TEST(held_worker_is_free_for_equal_and_higher_priority);
    CPPUNIT_TEST(many_gangs_wait_part_of_the_fleet_stays_free);
    CPPUNIT_TEST(next_pass_starts_without_holds);
    CPPUNIT_TEST(candidate_outside_the_fleet_is_left_out);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_holds.begin_pass(20); }

    // Guards against holding more workers than the gang needs.
    void gang_waits_workers_with_most_room_are_held()
    {
        m_holds.hold(1, 5, {{0, 0}, {1, 3}, {2, 1}, {3, 2}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_holds.held());
        CPPUNIT_ASSERT(m_holds.is_held_from(1, 2));
        CPPUNIT_ASSERT(m_holds.is_held_from(3, 2));
        CPPUNIT_ASSERT(!m_holds.is_held_from(0, 2));
    }

    // Guards against a gang for which nothing is held because nothing is free now.
    void gang_waits_full_workers_count_for_one_task()
    {
        m_holds.hold(1, 3, {{0, 0}, {1, 0}, {2, 0}, {3, 0}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_holds.held());
    }

    // Guards against keeping urgent work from capacity that waits for a gang.
    void held_worker_is_free_for_equal_and_higher_priority()
    {
        m_holds.hold(1, 1, {{0, 1}});
        CPPUNIT_ASSERT(!m_holds.is_held_from(0, 0));
        CPPUNIT_ASSERT(!m_holds.is_held_from(0, 1));
        CPPUNIT_ASSERT(m_holds.is_held_from(0, 2));
    }

    // Guards against a fleet that idles because many gangs wait.
    void many_gangs_wait_part_of_the_fleet_stays_free()
    {
        std::vector<gang_candidate> all;
        for (std::size_t worker = 0; worker < 20; ++worker) {
            all.push_back({worker, 0});
        }
        m_holds.hold(1, 100, all);
        m_holds.hold(0, 100, all);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, m_holds.held());
        CPPUNIT_ASSERT(m_holds.is_held_from(0, 1));
    }

    void next_pass_starts_without_holds()
    {
        m_holds.hold(1, 1, {{0, 1}});
        m_holds.begin_pass(20);
        CPPUNIT_ASSERT(!m_holds.is_held_from(0, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_holds.held());
    }

    void candidate_outside_the_fleet_is_left_out()
    {
        m_holds.hold(1, 1, {{20, 1}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_holds.held());
        CPPUNIT_ASSERT(!m_holds.is_held_from(20, 2));
    }

private:
    capacity_holds m_holds{0.25};
};

CPPUNIT_TEST_SUITE_REGISTRATION(capacity_holds_test);

} // namespace
