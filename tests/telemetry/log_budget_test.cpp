#include "lovagebeam/telemetry/log_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::telemetry;

class log_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_budget_test);
    CPPUNIT_TEST(admit_beyond_line_rate_is_dropped);
    CPPUNIT_TEST(admit_routine_flood_still_admits_errors);
    CPPUNIT_TEST(admit_after_refill_is_admitted_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log whose size grows with the load.
    void admit_beyond_line_rate_is_dropped()
    {
        log_budget budget{
            {.lines_per_second = 100, .bytes_per_second = 1e6, .reserved_fraction = 0.2}};
        CPPUNIT_ASSERT_EQUAL(80, admitted(budget, severity::info, 200));
    }

    // Guards against routine lines that use up the budget of warnings and errors.
    void admit_routine_flood_still_admits_errors()
    {
        log_budget budget{
            {.lines_per_second = 100, .bytes_per_second = 1e6, .reserved_fraction = 0.2}};
        admitted(budget, severity::info, 500);
        CPPUNIT_ASSERT_EQUAL(20, admitted(budget, severity::error, 50));
    }

    void admit_after_refill_is_admitted_again()
    {
        log_budget budget{
            {.lines_per_second = 100, .bytes_per_second = 1e6, .reserved_fraction = 0}};
        admitted(budget, severity::info, 500);
        m_now += std::chrono::milliseconds{500};
        CPPUNIT_ASSERT_EQUAL(50, admitted(budget, severity::info, 500));
    }

private:
    int admitted(log_budget& budget, severity level, int lines) const
    {
        int count = 0;
        for (int i = 0; i < lines; ++i) {
            count += budget.admit(m_now, level, 100) ? 1 : 0;
        }
        return count;
    }

    base::time_point m_now{std::chrono::hours{1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_budget_test);

} // namespace
