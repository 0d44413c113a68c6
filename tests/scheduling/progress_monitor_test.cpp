#include "lovagebeam/scheduling/progress_monitor.h"

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::scheduling;
using namespace std::chrono_literals;

class progress_monitor_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(progress_monitor_test);
    CPPUNIT_TEST(run_unchanged_is_stalled_after_timeout);
    CPPUNIT_TEST(run_reported_stalled_gets_another_timeout);
    CPPUNIT_TEST(run_long_on_slow_worker_is_not_stalled);
    CPPUNIT_TEST(run_slower_than_expected_sets_its_own_timeout);
    CPPUNIT_TEST(run_expected_to_take_years_timeout_is_bounded);
    CPPUNIT_TEST(percentage_falls_is_no_progress);
    CPPUNIT_TEST(percentage_out_of_range_is_no_progress);
    CPPUNIT_TEST(gang_member_done_waits_for_others);
    CPPUNIT_TEST(gang_member_hangs_while_others_progress_is_stalled);
    CPPUNIT_TEST(gang_member_hangs_at_zero_after_start_is_stalled);
    CPPUNIT_TEST(gang_not_all_started_is_not_stalled);
    CPPUNIT_TEST(gang_member_left_alone_is_stalled);
    CPPUNIT_TEST(gang_all_done_without_end_is_stalled_once);
    CPPUNIT_TEST(gang_member_unreported_others_wait);
    CPPUNIT_TEST(next_leader_judges_after_whole_timeout);
    CPPUNIT_TEST(run_forgotten_leaves_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void run_unchanged_is_stalled_after_timeout()
    {
        check(0, 40, progress_verdict::fine);
        m_now += 3400ms;
        check(0, 40, progress_verdict::fine);
        m_now += 200ms;
        check(0, 40, progress_verdict::stalled);
    }

    void run_reported_stalled_gets_another_timeout()
    {
        run_unchanged_is_stalled_after_timeout();
        m_now += 1s;
        check(0, 40, progress_verdict::fine);
        m_now += 3s;
        check(0, 40, progress_verdict::stalled);
    }

    // Guards against stopping a task of 200 s, seven times as long as expected, on a worker of
    // speed 0.6, which advances one percent in 23 s.
    void run_long_on_slow_worker_is_not_stalled()
    {
        m_expected = 200s;
        for (std::uint32_t percent = 0; percent < 5; ++percent) {
            for (int second = 0; second < 23; ++second) {
                check(0, percent, progress_verdict::fine);
                m_now += 1s;
            }
        }
    }

    // Guards against a task whose estimate is far too small: one percent in 3 s, then in 5 s.
    void run_slower_than_expected_sets_its_own_timeout()
    {
        m_expected = 1s;
        check(0, 0, progress_verdict::fine);
        m_now += 3s;
        check(0, 1, progress_verdict::fine);
        m_now += 5s;
        check(0, 1, progress_verdict::fine);
        m_now += 5s;
        check(0, 1, progress_verdict::stalled);
    }

    void run_expected_to_take_years_timeout_is_bounded()
    {
        CPPUNIT_ASSERT(m_monitor.timeout(std::chrono::hours{24 * 365 * 100}, {}) < 24h * 30);
        CPPUNIT_ASSERT(m_monitor.timeout(-1s, {}) == 3500ms);
    }

    void percentage_falls_is_no_progress()
    {
        check(0, 40, progress_verdict::fine);
        m_now += 2s;
        check(0, 30, progress_verdict::fine);
        m_now += 1s;
        check(0, 40, progress_verdict::fine);
        m_now += 1s;
        check(0, 35, progress_verdict::stalled);
    }

    void percentage_out_of_range_is_no_progress()
    {
        check(0, 40, progress_verdict::fine);
        m_now += 2s;
        check(0, 101, progress_verdict::fine);
        m_now += 2s;
        check(0, 4'000'000'000, progress_verdict::stalled);
    }

    // Guards against stopping the members that are done while the slowest one works.
    void gang_member_done_waits_for_others()
    {
        m_gang_size = 3;
        for (std::uint32_t percent = 1; percent < 100; ++percent) {
            check(0, 100, progress_verdict::fine);
            check(1, 100, progress_verdict::fine);
            check(2, percent, progress_verdict::fine);
            m_now += 500ms;
        }
    }

    // Guards against a worker that hangs and is excused by the progress of the other members.
    void gang_member_hangs_while_others_progress_is_stalled()
    {
        m_gang_size = 2;
        for (std::uint32_t second = 0; second < 4; ++second) {
            check(0, 30 + second, progress_verdict::fine);
            check(1, 20, progress_verdict::fine);
            m_now += 1s;
        }
        check(0, 34, progress_verdict::fine);
        check(1, 20, progress_verdict::stalled);
    }

    void gang_member_hangs_at_zero_after_start_is_stalled()
    {
        m_gang_size = 2;
        check(0, 0, progress_verdict::fine);
        m_now += 3s;
        check(1, 0, progress_verdict::fine);
        m_now += 3s;
        check(0, 0, progress_verdict::fine);
        check(1, 20, progress_verdict::fine);
        m_now += 1s;
        check(0, 0, progress_verdict::stalled);
        check(1, 30, progress_verdict::fine);
    }

    // Workers end the wait of a member for the others themselves, after 4 s.
    void gang_not_all_started_is_not_stalled()
    {
        m_gang_size = 3;
        for (int second = 0; second < 8; ++second) {
            check(0, 0, progress_verdict::fine);
            check(1, 0, progress_verdict::fine);
            m_now += 1s;
        }
    }

    // The other members have ended unseen, before a change of leader. Guards against a member that
    // hangs at 0% and counts as waiting for ever (random_cell_test --seed 27).
    void gang_member_left_alone_is_stalled()
    {
        m_gang_size = 3;
        check(0, 0, progress_verdict::fine);
        m_now += 5s;
        check(0, 0, progress_verdict::fine);
        m_now += 4s;
        check(0, 0, progress_verdict::stalled);
    }

    // Guards against a gang that never ends because each member counts as waiting for the others.
    void gang_all_done_without_end_is_stalled_once()
    {
        m_gang_size = 2;
        check(0, 100, progress_verdict::fine);
        check(1, 100, progress_verdict::fine);
        m_now += 4s;
        check(0, 100, progress_verdict::fine);
        check(1, 100, progress_verdict::gang_stalled);
        check(0, 100, progress_verdict::fine);
    }

    // The worker of one member is cut off: its run may go on until the lease ends.
    void gang_member_unreported_others_wait()
    {
        m_gang_size = 2;
        check(0, 100, progress_verdict::fine);
        check(1, 50, progress_verdict::fine);
        for (int second = 0; second < 10; ++second) {
            m_now += 1s;
            check(0, 100, progress_verdict::fine);
        }
    }

    void next_leader_judges_after_whole_timeout()
    {
        m_gang_size = 2;
        check(0, 100, progress_verdict::fine);
        check(1, 57, progress_verdict::fine);
        m_monitor = progress_monitor{{}};
        m_now += 10s;
        check(0, 100, progress_verdict::fine);
        check(1, 57, progress_verdict::fine);
        m_now += 4s;
        check(0, 100, progress_verdict::fine);
        check(1, 57, progress_verdict::stalled);
    }

    void run_forgotten_leaves_nothing()
    {
        m_gang_size = 2;
        check(0, 1, progress_verdict::fine);
        check(1, 1, progress_verdict::fine);
        m_monitor.forget(run(0));
        m_monitor.forget(run(0));
        m_monitor.forget(run(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_monitor.run_count());
    }

private:
    static run_id run(std::uint32_t index) { return {{7, 0, 0}, 1, index}; }

    void check(std::uint32_t index, std::uint32_t percent, progress_verdict expected)
    {
        const auto verdict =
            m_monitor.observe(m_now, {run(index), percent, m_gang_size, m_expected});
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected), static_cast<int>(verdict));
    }

    progress_monitor m_monitor{{}};
    base::time_point m_now{1h};
    std::uint32_t m_gang_size = 1;
    base::duration m_expected = 10s;
};

CPPUNIT_TEST_SUITE_REGISTRATION(progress_monitor_test);

} // namespace
