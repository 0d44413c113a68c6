#include "lovagebeam/scheduling/overload_gate.h"

#include <cppunit/extensions/HelperMacros.h>

// Load pattern: a burst of lookups on a leader that has too little processor time for the starts of
// batch work beside it.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::scheduling;
using namespace std::chrono_literals;

class overload_gate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(overload_gate_test);
    CPPUNIT_TEST(loop_quick_all_work_is_planned);
    CPPUNIT_TEST(loop_slow_batch_work_is_planned_seldom);
    CPPUNIT_TEST(loop_quick_again_all_work_is_planned);
    CPPUNIT_TEST(host_suspended_once_is_not_overloaded);
    CPPUNIT_TEST(clock_not_advancing_is_not_overloaded);
    CPPUNIT_TEST_SUITE_END();

public:
    void loop_quick_all_work_is_planned() { CPPUNIT_ASSERT_EQUAL(100, admitted(100, 10ms)); }

    // Guards against batch work that takes the processor time which lookups need, and against batch
    // work that is never planned while the overload lasts.
    void loop_slow_batch_work_is_planned_seldom()
    {
        admitted(50, 18ms);
        CPPUNIT_ASSERT(m_gate.is_overloaded());
        const auto count = admitted(100, 18ms);
        CPPUNIT_ASSERT(count >= 6 && count <= 8);
    }

    void loop_quick_again_all_work_is_planned()
    {
        admitted(50, 18ms);
        admitted(30, 2ms);
        CPPUNIT_ASSERT_EQUAL(50, admitted(50, 5ms));
    }

    void host_suspended_once_is_not_overloaded()
    {
        admitted(50, 5ms);
        m_now += 5s;
        CPPUNIT_ASSERT_EQUAL(50, admitted(50, 5ms));
    }

    void clock_not_advancing_is_not_overloaded() { CPPUNIT_ASSERT_EQUAL(10, admitted(10, 0ms)); }

private:
    /// Runs iterations of a duration and returns how many passes could place batch work.
    int admitted(int iterations, base::duration each)
    {
        int count = 0;
        for (int i = 0; i < iterations; ++i) {
            m_now += each;
            m_gate.on_iteration(m_now);
            count += m_gate.admits_batch(m_now) ? 1 : 0;
        }
        return count;
    }

    base::time_point m_now = base::time_point{} + 1h;
    overload_gate m_gate{overload_settings{}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_gate_test);

} // namespace
