#include "lovagebeam/jobs/crash_attribution.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam::jobs;
using std::chrono::milliseconds;

/// The runs that a worker had when its process ended.
class crash_attribution_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_attribution_test);
    CPPUNIT_TEST(first_crash_every_run_is_suspected);
    CPPUNIT_TEST(prompt_crash_twice_last_started_suspect_is_blamed);
    CPPUNIT_TEST(late_crash_is_blamed_the_third_time);
    CPPUNIT_TEST(other_run_started_later_suspect_is_not_blamed);
    CPPUNIT_TEST(equally_suspected_runs_neither_is_blamed);
    CPPUNIT_TEST(start_time_unknown_run_is_not_blamed);
    CPPUNIT_TEST(run_of_long_duration_is_unrelated);
    CPPUNIT_TEST(last_allowed_crash_task_is_given_up);
    CPPUNIT_TEST(start_unconfirmed_run_is_not_blamed);
    CPPUNIT_TEST(one_crash_confirmed_task_is_not_blamed);
    CPPUNIT_TEST(crashes_and_failures_task_is_given_up);
    CPPUNIT_TEST(gang_members_are_blamed_together);
    CPPUNIT_TEST(long_running_task_is_never_given_up);
    CPPUNIT_TEST_SUITE_END();

public:
    void first_crash_every_run_is_suspected()
    {
        add(0, {}, 10);
        add(0, {}, 800);
        check({crash_verdict::suspected, crash_verdict::suspected});
    }

    // Guards against blaming the tasks beside the one that crashes its workers.
    void prompt_crash_twice_last_started_suspect_is_blamed()
    {
        add(0, {}, 900);
        add(1, 12, 12);
        add(1, 700, 400);
        check({crash_verdict::suspected, crash_verdict::caused, crash_verdict::suspected});
    }

    void late_crash_is_blamed_the_third_time()
    {
        add(1, 2'000, 2'000);
        check({crash_verdict::suspected});
        m_runs.clear();
        add(2, 2'000, 2'000);
        check({crash_verdict::caused});
    }

    // Guards against blaming a sound task beside which one crashes its first worker.
    void other_run_started_later_suspect_is_not_blamed()
    {
        add(2, 100, 500);
        add(0, {}, 10);
        check({crash_verdict::suspected, crash_verdict::suspected});
    }

    void equally_suspected_runs_neither_is_blamed()
    {
        add(1, 12, 12);
        add(1, 12, 12);
        check({crash_verdict::suspected, crash_verdict::suspected});
    }

    // Guards against blame on the word of a leader that didn't see the start.
    void start_time_unknown_run_is_not_blamed()
    {
        add(2, 12, {});
        check({crash_verdict::suspected});
    }

    // Guards against giving up a long-running task because its workers crash once in a while.
    void run_of_long_duration_is_unrelated()
    {
        add(4, 12, 3'600'000);
        check({crash_verdict::unrelated});
    }

    // Guards against a task whose crashes never single it out and that is started for ever.
    void last_allowed_crash_task_is_given_up()
    {
        add(3, 700, 900);
        add(3, 700, 10);
        check({crash_verdict::caused, crash_verdict::caused});
    }

    // Guards against giving up a task whose start never reached the worker.
    void start_unconfirmed_run_is_not_blamed()
    {
        add(2, 12, 12);
        m_runs[0].has_begun = false;
        check({crash_verdict::possible});
    }

    // Guards against giving up a task under which only one worker surely crashed.
    void one_crash_confirmed_task_is_not_blamed()
    {
        add(1, 12, 12);
        m_runs[0].earlier.confirmed = 0;
        check({crash_verdict::suspected});
    }

    // Guards against starting a task for ever that crashes some workers and fails on others.
    void crashes_and_failures_task_is_given_up()
    {
        add(2, 12, {});
        m_runs[0].failures = 1;
        check({crash_verdict::suspected});
        m_runs[0].failures = 2;
        check({crash_verdict::caused});
    }

    // Guards against members of a gang that keep each other from being blamed.
    void gang_members_are_blamed_together()
    {
        add(1, 12, 12);
        add(1, 12, 11);
        for (std::uint32_t index = 0; index < m_runs.size(); ++index) {
            m_runs[index].run.task = {job_number{1}, 0, 0, index};
            m_runs[index].is_gang_member = true;
        }
        check({crash_verdict::caused, crash_verdict::caused});
    }

    // Guards against a service that ends since the worker of one of its tasks crashes by itself
    // again and again (review/2).
    void long_running_task_is_never_given_up()
    {
        for (const std::uint32_t crashes : {2U, 3U, 10U}) {
            m_runs.clear();
            add(crashes, 12, 12);
            m_runs[0].is_long_running = true;
            check({crash_verdict::suspected});
        }
    }

private:
    void add(std::uint32_t crashes, std::optional<int> last_ran, std::optional<int> ran)
    {
        const auto to_ms = [](std::optional<int> value) {
            return value ? std::optional{milliseconds{*value}} : std::nullopt;
        };
        const task_key task{job_number{m_runs.size() + 1}, 0, 0, 0};
        m_runs.push_back(
            {{task, 1}, {crashes, crashes, to_ms(last_ran)}, 0, to_ms(ran), false, true});
    }

    void check(const std::vector<crash_verdict>& expected) const
    {
        const auto verdicts = judge_crash({}, m_runs);
        CPPUNIT_ASSERT_EQUAL(expected.size(), verdicts.size());
        for (std::size_t i = 0; i < expected.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(i), std::string{name_of(expected[i])},
                                         std::string{name_of(verdicts[i])});
        }
    }

    std::vector<crashed_run> m_runs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_attribution_test);

} // namespace
