#include "fleet_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

/// Hosts that report the true time every 450 ms, but for those whose clocks have jumped.
class fleet_clock_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_clock_test);
    CPPUNIT_TEST(no_reports_own_clock_is_used);
    CPPUNIT_TEST(own_clock_jumps_ahead_time_is_unchanged);
    CPPUNIT_TEST(own_clock_jumps_back_time_is_unchanged);
    CPPUNIT_TEST(minority_jumps_and_returns_time_is_unchanged);
    CPPUNIT_TEST(hosts_silent_their_readings_expire);
    CPPUNIT_TEST_SUITE_END();

public:
    void no_reports_own_clock_is_used()
    {
        CPPUNIT_ASSERT(true_time() + 5s == m_clock.wall(m_now, true_time() + 5s));
    }

    // Guards against a leader whose clock jumps ahead, which starts scheduled jobs before their
    // time and treats jobs as expired.
    void own_clock_jumps_ahead_time_is_unchanged() { check_own_jump(2'400ms); }

    // Guards against a leader whose clock jumps back, which starts scheduled jobs late.
    void own_clock_jumps_back_time_is_unchanged() { check_own_jump(-2'400ms); }

    // The clocks of 4 of 12 hosts jump ahead and return, as those of a rack with a bad time source.
    void minority_jumps_and_returns_time_is_unchanged()
    {
        for (const auto jump : {0ms, 3'000ms, 0ms, -3'000ms, 0ms}) {
            for (int round = 0; round < 4; ++round) {
                report(12, 4, jump);
                m_now += 450ms;
                CPPUNIT_ASSERT(true_time() == m_clock.wall(m_now, true_time() + jump));
            }
        }
    }

    void hosts_silent_their_readings_expire()
    {
        report(12, 0, 0ms);
        CPPUNIT_ASSERT(true_time() == m_clock.wall(m_now, true_time() + 5s));
        m_now += 4s;
        CPPUNIT_ASSERT(true_time() + 5s == m_clock.wall(m_now, true_time() + 5s));
    }

private:
    [[nodiscard]] base::wall_time true_time() const
    {
        return base::wall_time{
            1'700'000'000s +
            std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())};
    }

    /// Lets `hosts` hosts report. The clocks of the first `jumped` of them are off by `jump`.
    void report(int hosts, int jumped, std::chrono::milliseconds jump)
    {
        for (int host = 0; host < hosts; ++host) {
            m_clock.on_reading(m_now, "host-" + std::to_string(host),
                               true_time() + (host < jumped ? jump : 0ms));
        }
    }

    void check_own_jump(std::chrono::milliseconds jump)
    {
        report(3, 0, 0ms);
        CPPUNIT_ASSERT(true_time() == m_clock.wall(m_now, true_time()));
        m_now += 10ms;
        CPPUNIT_ASSERT(true_time() == m_clock.wall(m_now, true_time() + jump));
        m_now += 200ms;
        CPPUNIT_ASSERT(true_time() == m_clock.wall(m_now, true_time() + jump));
    }

    fleet_clock m_clock;
    base::time_point m_now{1'000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_clock_test);

} // namespace
