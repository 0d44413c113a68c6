#include "lovagebeam/scheduling/account_shares.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::scheduling;
using namespace std::chrono_literals;

constexpr base::wall_time begin{std::chrono::hours{400'000}};

class account_weight_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(account_weight_test);
    CPPUNIT_TEST(weight_invalid_is_replaced);
    CPPUNIT_TEST(account_unknown_has_weight_1);
    CPPUNIT_TEST(accelerator_counts_as_8_processors);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a division by zero and against one account that shuts out all others.
    void weight_invalid_is_replaced()
    {
        CPPUNIT_ASSERT_EQUAL(min_weight, effective_weight(0.0));
        CPPUNIT_ASSERT_EQUAL(min_weight, effective_weight(-3.0));
        CPPUNIT_ASSERT_EQUAL(1e6, effective_weight(1e300));
        CPPUNIT_ASSERT_EQUAL(1.0, effective_weight(std::numeric_limits<double>::infinity()));
        CPPUNIT_ASSERT_EQUAL(1.0, effective_weight(std::numeric_limits<double>::quiet_NaN()));
        CPPUNIT_ASSERT_EQUAL(1.0, effective_weight(std::nullopt));
        CPPUNIT_ASSERT_EQUAL(0.25, effective_weight(0.25));
    }

    void account_unknown_has_weight_1()
    {
        account_shares shares;
        shares.set_weights({{"a", 5}, {"zero", 0}});
        CPPUNIT_ASSERT_EQUAL(5.0, shares.weight("a"));
        CPPUNIT_ASSERT_EQUAL(min_weight, shares.weight("zero"));
        CPPUNIT_ASSERT_EQUAL(1.0, shares.weight("b"));
        CPPUNIT_ASSERT_EQUAL(1.0, shares.weight(""));
    }

    void accelerator_counts_as_8_processors()
    {
        CPPUNIT_ASSERT_EQUAL(std::int64_t{17'500}, counted_millicores(1'500, 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_weight_test);

class job_rate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_rate_test);
    CPPUNIT_TEST(rate_kept_all_jobs_are_owed);
    CPPUNIT_TEST(rate_exceeded_weight_jobs_a_second_are_owed);
    CPPUNIT_TEST(rate_exceeded_by_one_account_others_are_owed);
    CPPUNIT_TEST(rate_kept_again_jobs_are_owed_within_window);
    CPPUNIT_TEST(weight_0_first_job_is_owed);
    CPPUNIT_TEST(clock_set_back_rate_is_measured_on);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_shares.set_weights({{"a", 10}, {"b", 10}, {"zero", 0}}); }

    // Also when the jobs of two seconds come at once.
    void rate_kept_all_jobs_are_owed()
    {
        CPPUNIT_ASSERT_EQUAL(200, count("a", begin, 100ms, 200));
        CPPUNIT_ASSERT_EQUAL(20, count("b", begin, 0ms, 20));
        CPPUNIT_ASSERT_EQUAL(20, count("b", begin + 2s, 0ms, 20));
    }

    // 100 jobs a second over 10 s: the allowance of two seconds, then 10 a second.
    void rate_exceeded_weight_jobs_a_second_are_owed()
    {
        const auto owed = count("a", begin, 10ms, 1'000);
        CPPUNIT_ASSERT(owed >= 115 && owed <= 121);
    }

    void rate_exceeded_by_one_account_others_are_owed()
    {
        count("a", begin, 1ms, 2'000);
        CPPUNIT_ASSERT_EQUAL(20, count("b", begin, 100ms, 20));
    }

    void rate_kept_again_jobs_are_owed_within_window()
    {
        count("a", begin, 1ms, 2'000);
        CPPUNIT_ASSERT_EQUAL(20, count("a", begin + 4s, 100ms, 20));
    }

    void weight_0_first_job_is_owed()
    {
        CPPUNIT_ASSERT_EQUAL(1, count("zero", begin, 10ms, 1'000));
    }

    // Guards against an account that isn't owed anything until a clock that was an hour ahead
    // shows that time again.
    void clock_set_back_rate_is_measured_on()
    {
        count("a", begin + 1h, 10ms, 100);
        count("a", begin, 10ms, 100);
        CPPUNIT_ASSERT_EQUAL(20, count("a", begin + 4s, 100ms, 20));
    }

private:
    /// Returns how many of `jobs` jobs are owed.
    int count(const std::string& account, base::wall_time from, std::chrono::milliseconds interval,
              int jobs)
    {
        int owed = 0;
        for (int i = 0; i < jobs; ++i) {
            owed += m_shares.count_job(account, from + i * interval) ? 1 : 0;
        }
        return owed;
    }

    account_shares m_shares;
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_rate_test);

class share_rank_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(share_rank_test);
    CPPUNIT_TEST(accounts_are_ranked_by_use_of_share);
    CPPUNIT_TEST(accounts_about_even_are_equal);
    CPPUNIT_TEST(use_least_after_rank_has_next_rank);
    CPPUNIT_TEST(figures_extreme_rank_is_finite);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_shares.set_weights({{"a", 3}, {"b", 1}, {"zero", 0}}); }

    void accounts_are_ranked_by_use_of_share()
    {
        // The share of a is 75,000, that of b 25,000.
        CPPUNIT_ASSERT(m_shares.rank("a", 60'000, m_fleet) < m_shares.rank("b", 24'000, m_fleet));
        CPPUNIT_ASSERT(m_shares.rank("b", 20'000, m_fleet) < m_shares.rank("a", 70'000, m_fleet));
        CPPUNIT_ASSERT(m_shares.rank("b", 0, m_fleet) < m_shares.rank("a", 2'000, m_fleet));
        CPPUNIT_ASSERT(m_shares.rank("a", 99'000, m_fleet) < m_shares.rank("zero", 1, m_fleet));
    }

    void accounts_about_even_are_equal()
    {
        CPPUNIT_ASSERT_EQUAL(m_shares.rank("a", 60'000, m_fleet),
                             m_shares.rank("b", 20'100, m_fleet));
    }

    void use_least_after_rank_has_next_rank()
    {
        const auto use = m_shares.least_use_after("a", 20, m_fleet);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{21}, m_shares.rank("a", use, m_fleet));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, m_shares.rank("a", use - 1, m_fleet));
    }

    void figures_extreme_rank_is_finite()
    {
        const auto most = std::numeric_limits<std::int64_t>::max();
        CPPUNIT_ASSERT(m_shares.rank("zero", most, {1, 1e6}) > 0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_shares.rank("a", most, {0, 1}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_shares.rank("a", 5, {100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_shares.rank("a", -5, m_fleet));
    }

private:
    account_shares m_shares;
    account_shares::division m_fleet{100'000, 4};
};

CPPUNIT_TEST_SUITE_REGISTRATION(share_rank_test);

} // namespace
