#include "lovagebeam/scheduling/duration_estimates.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::scheduling;
using namespace std::chrono_literals;

/// Load: callers whose estimates are wrong by a common factor, with a tail of slow tasks.
class duration_estimates_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(duration_estimates_test);
    CPPUNIT_TEST(too_few_ends_estimate_is_kept);
    CPPUNIT_TEST(ten_ends_estimate_is_corrected);
    CPPUNIT_TEST(true_estimates_nothing_changes);
    CPPUNIT_TEST(slow_tail_median_stays);
    CPPUNIT_TEST(account_with_enough_ends_has_its_own_factor);
    CPPUNIT_TEST(queues_are_independent);
    CPPUNIT_TEST(durations_change_factor_follows);
    CPPUNIT_TEST(extreme_ratios_correction_is_bounded);
    CPPUNIT_TEST(estimate_zero_counts_as_a_millisecond);
    CPPUNIT_TEST(estimate_of_a_day_is_corrected_like_any_other);
    CPPUNIT_TEST(duration_not_positive_is_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void too_few_ends_estimate_is_kept()
    {
        observe(9, 1s, 3s);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 2s) == 2s);
    }

    void ten_ends_estimate_is_corrected()
    {
        observe(10, 1s, 3s);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 2s) == 6s);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "other", 2s) == 6s);
    }

    // Guards against changing the service of deployments whose callers estimate well: the calls
    // that confirm starts and list ends add some percent to what is observed.
    void true_estimates_nothing_changes()
    {
        observe(30, 1s, 1'050ms);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 2s) == 2s);
    }

    // Three of a hundred tasks take seven times as long. Guards against a mean, which they move by
    // a fifth.
    void slow_tail_median_stays()
    {
        for (int i = 0; i < 100; ++i) {
            observe(1, 1s, i % 33 == 0 ? 14s : 2s);
        }
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 1s) == 2s);
    }

    void account_with_enough_ends_has_its_own_factor()
    {
        observe(30, 1s, 2s);
        for (int i = 0; i < 9; ++i) {
            m_estimates.observe_end("queue", "other", 1s, 500ms);
        }
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "other", 1s) == 2s);
        m_estimates.observe_end("queue", "other", 1s, 500ms);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "other", 1s) == 500ms);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 1s) == 2s);
    }

    void queues_are_independent()
    {
        observe(20, 1s, 2s);
        CPPUNIT_ASSERT(m_estimates.corrected("second", "account", 1s) == 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_estimates.queue_factors().size());
        CPPUNIT_ASSERT_EQUAL(2.0, m_estimates.queue_factors().at("queue"));
    }

    // Guards against ends of long ago that outweigh what callers estimate now.
    void durations_change_factor_follows()
    {
        observe(500, 1s, 4s);
        observe(64, 1s, 2s);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 1s) == 2s);
    }

    void extreme_ratios_correction_is_bounded()
    {
        observe(20, 1s, 1h);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 1s) == 10s);
        observe(100, 1s, 1ms);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 1s) == 100ms);
    }

    void estimate_zero_counts_as_a_millisecond()
    {
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 0s) == 1ms);
        observe(20, 0s, 4ms);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 0s) == 4ms);
    }

    void estimate_of_a_day_is_corrected_like_any_other()
    {
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 24h) == 24h);
        observe(20, 24h, 12h);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 24h) == 12h);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", base::duration::max()) > 24h);
    }

    void duration_not_positive_is_ignored()
    {
        observe(20, 1s, 0s);
        observe(20, 1s, -1s);
        CPPUNIT_ASSERT(m_estimates.corrected("queue", "account", 1s) == 1s);
    }

private:
    void observe(int times, base::duration estimate, base::duration took)
    {
        for (int i = 0; i < times; ++i) {
            m_estimates.observe_end("queue", "account", estimate, took);
        }
    }

    duration_estimates m_estimates;
};

CPPUNIT_TEST_SUITE_REGISTRATION(duration_estimates_test);

} // namespace
