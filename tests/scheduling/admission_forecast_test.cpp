#include "lovagebeam/scheduling/admission_forecast.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::scheduling;
using namespace std::chrono_literals;

/// Load: a pool of 100 processors with more waiting work than can end in time.
class admission_forecast_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_forecast_test);
    CPPUNIT_TEST(nothing_waits_job_is_admitted);
    CPPUNIT_TEST(work_ahead_too_long_job_is_refused);
    CPPUNIT_TEST(processors_free_job_is_admitted);
    CPPUNIT_TEST(waiting_work_cannot_use_free_processors_job_is_admitted);
    CPPUNIT_TEST(work_due_later_is_not_ahead);
    CPPUNIT_TEST(lower_priority_is_not_ahead);
    CPPUNIT_TEST(urgent_job_is_judged_by_urgent_work_only);
    CPPUNIT_TEST(higher_priority_keeps_arriving_wait_is_longer);
    CPPUNIT_TEST(long_running_tasks_reduce_the_rate);
    CPPUNIT_TEST(accepted_work_late_jobs_that_cannot_be_in_time_are_refused);
    CPPUNIT_TEST(expired_work_is_not_ahead);
    CPPUNIT_TEST(leader_new_refuses_nothing);
    CPPUNIT_TEST(contact_lost_refuses_nothing_for_a_while);
    CPPUNIT_TEST(exempt_job_is_admitted);
    CPPUNIT_TEST(refused_job_returns_in_time_is_admitted);
    CPPUNIT_TEST(refused_jobs_return_times_are_spread_in_order);
    CPPUNIT_TEST(refused_job_returns_early_keeps_its_place);
    CPPUNIT_TEST(refused_job_does_not_return_place_is_dropped);
    CPPUNIT_TEST(removed_and_updated_work_is_exact);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { advance(4s); }

    void nothing_waits_job_is_admitted() { CPPUNIT_ASSERT(judge(1).is_admitted); }

    void work_ahead_too_long_job_is_refused()
    {
        put_seconds_of_work(1, 10s);
        const auto verdict = judge(2);
        CPPUNIT_ASSERT(!verdict.is_admitted);
        CPPUNIT_ASSERT(verdict.retry_after >= 1s);
        CPPUNIT_ASSERT(verdict.expected_end > 9s);
        CPPUNIT_ASSERT_EQUAL(work_rate, verdict.rate);
    }

    void processors_free_job_is_admitted()
    {
        put_seconds_of_work(1, 10s);
        m_available.free = 9'000;
        CPPUNIT_ASSERT(judge(2).is_admitted);
        // Work that is ahead takes them first.
        m_forecast.update({1, 0, 0}, {1'000'000, 4'000, 0});
        put_seconds_of_work(3, 10s);
        CPPUNIT_ASSERT(!judge(2).is_admitted);
    }

    // The account of the waiting work is at its limit.
    void waiting_work_cannot_use_free_processors_job_is_admitted()
    {
        put_seconds_of_work(1, 10s, 50'000);
        m_available.free = 30'000;
        advance(100ms);
        CPPUNIT_ASSERT(!judge(2).is_admitted);
        advance(600ms);
        CPPUNIT_ASSERT(judge(2).is_admitted);
    }

    // Guards against refusing jobs with short objectives because of those with long ones.
    void work_due_later_is_not_ahead()
    {
        put_seconds_of_work(1, 10s);
        put(2, 10s, m_wall + 60s);
        m_objective = 2s;
        m_forecast.remove(1);
        CPPUNIT_ASSERT(judge(3).is_admitted);
    }

    void lower_priority_is_not_ahead()
    {
        put_seconds_of_work(1, 10s);
        m_priority = 1;
        CPPUNIT_ASSERT(judge(2).is_admitted);
    }

    void urgent_job_is_judged_by_urgent_work_only()
    {
        put_seconds_of_work(1, 100s);
        m_priority = 0;
        const auto verdict = judge(2);
        CPPUNIT_ASSERT(verdict.is_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, verdict.work_ahead);
        put_seconds_of_work(3, 10s);
        CPPUNIT_ASSERT(!judge(2).is_admitted);
    }

    // Half the pool goes to a higher priority. Guards against a forecast that counts only what has
    // arrived already.
    void higher_priority_keeps_arriving_wait_is_longer()
    {
        m_priority = 1;
        // Five times the window of the average.
        for (std::uint64_t id = 100; id < 1'600; ++id) {
            put(id, 50ms, m_wall + 3s);
            m_forecast.remove(id);
            advance(100ms);
        }
        m_priority = 2;
        const auto verdict = judge(1);
        CPPUNIT_ASSERT(verdict.rate > 44'000 && verdict.rate < 49'000);
    }

    void long_running_tasks_reduce_the_rate()
    {
        m_forecast.put({1, 0, 0}, "pool", 1, m_wall + 3s, {0, 0, 40'000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{46'750}, judge(2).rate);
        m_forecast.update({1, 0, 0}, {0, 0, 10'000});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{72'250}, judge(2).rate);
    }

    // Planning serves jobs that can be in time before late ones. Guards against accepting so many
    // of them that the late ones are worth nothing in the end.
    // Guards against accepting each further group of jobs late while an overload lasts, and against
    // refusing jobs that can be in time because others are late.
    void accepted_work_late_jobs_that_cannot_be_in_time_are_refused()
    {
        put_seconds_of_work(1, 1s);
        CPPUNIT_ASSERT(judge(2).is_admitted);
        advance(3'500ms);
        CPPUNIT_ASSERT(judge(2).is_admitted);
        put_seconds_of_work(3, 2s);
        CPPUNIT_ASSERT(!judge(4).is_admitted);
        // For a while after the late work has ended, too.
        m_forecast.remove(1);
        CPPUNIT_ASSERT(judge(4).is_admitted);
        put_seconds_of_work(5, 1s);
        CPPUNIT_ASSERT(!judge(6).is_admitted);
        m_forecast.remove(3);
        m_forecast.remove(5);
        advance(11s);
        put_seconds_of_work(7, 3s);
        CPPUNIT_ASSERT(judge(8).is_admitted);
    }

    void expired_work_is_not_ahead()
    {
        put_seconds_of_work(1, 10s);
        m_forecast.expire(1, 0);
        CPPUNIT_ASSERT(judge(2).is_admitted);
        m_forecast.update({1, 0, 0}, {work_rate * 10'000, 1'000, 0});
        CPPUNIT_ASSERT(judge(2).is_admitted);
        m_forecast.remove(1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_forecast.work("pool", 2));
    }

    void leader_new_refuses_nothing()
    {
        admission_forecast fresh{{}, m_now};
        fresh.put({1, 0, 0}, "pool", 2, m_wall + 3s, {work_rate * 10'000, 1'000, 0});
        CPPUNIT_ASSERT(fresh.judge(m_now + 2'999ms, m_wall, job(2), m_available).is_admitted);
        CPPUNIT_ASSERT(!fresh.judge(m_now + 3s, m_wall, job(2), m_available).is_admitted);
    }

    void contact_lost_refuses_nothing_for_a_while()
    {
        put_seconds_of_work(1, 10s);
        m_usable = 4;
        advance(100ms);
        CPPUNIT_ASSERT(judge(2).is_admitted);
        advance(3s);
        CPPUNIT_ASSERT(!judge(2).is_admitted);
    }

    void exempt_job_is_admitted()
    {
        put_seconds_of_work(1, 10s);
        auto exempt = job(2);
        exempt.is_exempt = true;
        CPPUNIT_ASSERT(m_forecast.judge(m_now, m_wall, exempt, m_available).is_admitted);
    }

    void refused_job_returns_in_time_is_admitted()
    {
        put_seconds_of_work(1, 10s);
        const auto verdict = judge(2);
        CPPUNIT_ASSERT(!verdict.is_admitted);
        m_forecast.remove(1);
        advance(verdict.retry_after);
        put_seconds_of_work(3, 1'500ms);
        CPPUNIT_ASSERT(judge(2).is_admitted);
    }

    // Jobs of a tenth of a second of the pool each. Guards against return times that let all of
    // them come back together, or the last ones first.
    void refused_jobs_return_times_are_spread_in_order()
    {
        put_seconds_of_work(1, 10s);
        std::chrono::milliseconds first{0};
        std::chrono::milliseconds last{0};
        std::set<std::chrono::milliseconds> times;
        for (std::uint64_t id = 10; id < 110; ++id) {
            last = judge(id).retry_after;
            first = id == 10 ? last : first;
            times.insert(last);
        }
        CPPUNIT_ASSERT(last - first > 8s && last - first < 12s);
        CPPUNIT_ASSERT(times.size() >= 90);
    }

    void refused_job_returns_early_keeps_its_place()
    {
        put_seconds_of_work(1, 10s);
        const auto verdict = judge(2);
        for (std::uint64_t id = 10; id < 30; ++id) {
            judge(id);
        }
        advance(2s);
        CPPUNIT_ASSERT_EQUAL((verdict.retry_after - 2s).count(), judge(2).retry_after.count());
    }

    void refused_job_does_not_return_place_is_dropped()
    {
        put_seconds_of_work(1, 10s);
        for (std::uint64_t id = 10; id < 110; ++id) {
            judge(id);
        }
        m_forecast.remove(1);
        put_seconds_of_work(2, 1s);
        CPPUNIT_ASSERT(!judge(3).is_admitted);
        m_forecast.remove(2);
        CPPUNIT_ASSERT(judge(4).is_admitted);
        advance(60s);
        put_seconds_of_work(5, 1s);
        CPPUNIT_ASSERT(judge(6).is_admitted);
    }

    void removed_and_updated_work_is_exact()
    {
        m_forecast.put({1, 0, 0}, "pool", 2, m_wall + 3s, {1'000, 10, 0});
        m_forecast.put({1, 0, 1}, "pool", 2, m_wall + 3s, {500, 0, 0});
        m_forecast.put({2, 0, 0}, "pool", 2, m_wall + 3s, {0, 0, 0});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'500}, m_forecast.work("pool", 2));
        m_forecast.update({1, 0, 0}, {200, 0, 0});
        m_forecast.update({3, 0, 0}, {200, 0, 0});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{700}, m_forecast.work("pool", 2));
        m_forecast.remove(1);
        m_forecast.remove(2);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_forecast.work("pool", 2));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_forecast.work("none", 2));
    }

private:
    void advance(base::duration time)
    {
        m_now += time;
        m_wall += std::chrono::duration_cast<std::chrono::milliseconds>(time);
        m_forecast.tick(m_now, m_wall, {{"pool", m_available}}, 10, m_usable);
    }

    void put(std::uint64_t id, std::chrono::milliseconds time, base::wall_time due,
             std::int64_t waiting = 0)
    {
        m_forecast.put({id, 0, 0}, "pool", m_priority, due, {work_rate * time.count(), waiting, 0});
    }

    /// Work that the pool does in this time.
    void put_seconds_of_work(std::uint64_t id, std::chrono::milliseconds time,
                             std::int64_t waiting = 0)
    {
        put(id, time, m_wall + 3s, waiting);
    }

    admission_forecast::new_job job(std::uint64_t id) const
    {
        admission_forecast::new_job out;
        out.id = id;
        out.pool = "pool";
        out.priority = m_priority;
        out.due = m_wall + m_objective;
        out.objective = m_objective;
        out.chain = 1s;
        out.work = work_rate * 100;
        out.first_millicores = 4'000;
        return out;
    }

    admission_forecast::verdict judge(std::uint64_t id)
    {
        return m_forecast.judge(m_now, m_wall, job(id), m_available);
    }

    /// Of priorities after 0: what the headroom and the tail of slow tasks leave.
    static constexpr std::int64_t work_rate = 80'750;

    base::time_point m_now{1h};
    base::wall_time m_wall{std::chrono::hours{400'000}};
    std::uint32_t m_priority = 2;
    std::chrono::milliseconds m_objective{3'000};
    std::size_t m_usable = 10;
    admission_forecast::supply m_available{100'000, 0};
    admission_forecast m_forecast{{}, m_now};
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_forecast_test);

} // namespace
