#include "lovagebeam/base/random_source.h"
#include "lovagebeam/scheduling/worker_speeds.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::scheduling;
using namespace std::chrono_literals;

/// Three workers of one pool, the middle one of which is the median.
class worker_speeds_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_speeds_test);
    CPPUNIT_TEST(steps_of_equal_tasks_three_runs_show_speeds);
    CPPUNIT_TEST(step_not_ended_says_nothing);
    CPPUNIT_TEST(rare_long_tasks_do_not_change_speeds);
    CPPUNIT_TEST(noisy_durations_speeds_are_equal);
    CPPUNIT_TEST(worker_becomes_slow_later_runs_show_it);
    CPPUNIT_TEST(worker_restarted_is_learned_again);
    CPPUNIT_TEST(run_of_earlier_or_unknown_instance_is_ignored);
    CPPUNIT_TEST(implausible_durations_are_ignored);
    CPPUNIT_TEST(speeds_are_clamped);
    CPPUNIT_TEST(cold_worker_is_slow_until_warm);
    CPPUNIT_TEST(runs_on_cold_worker_do_not_count);
    CPPUNIT_TEST(worker_unknown_has_speed_one);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (const auto& id : m_ids) {
            m_speeds.on_instance(id, "pool", first_instance);
        }
    }

    void steps_of_equal_tasks_three_runs_show_speeds()
    {
        run_steps({0.6, 1, 1.6}, 3);
        check({0.6, 1, 1.6});
    }

    void step_not_ended_says_nothing()
    {
        for (int round = 0; round < 12; ++round) {
            run_step({0.6, 1, 1.6}, 4, 1s);
        }
        check({1, 1, 1});
    }

    // 3% of the tasks take seven times as long as the others of their step.
    void rare_long_tasks_do_not_change_speeds()
    {
        base::random_source random{1};
        for (int round = 0; round < 100; ++round) {
            std::vector<double> speeds{0.6, 1, 1.6};
            for (auto& speed : speeds) {
                speed /= random.chance(0.03) ? 7 : 1;
            }
            run_step(speeds, 3, 1s);
            m_speeds.update();
            if (round > 10) {
                check({0.6, 1, 1.6});
            }
        }
    }

    // Guards against workers that count as slow or fast by chance: durations within each step vary
    // by a factor of four.
    void noisy_durations_speeds_are_equal()
    {
        base::random_source random{2};
        int unequal = 0;
        for (int round = 0; round < 300; ++round) {
            run_step({1 / (0.5 + 1.5 * random.unit()), 1 / (0.5 + 1.5 * random.unit()),
                      1 / (0.5 + 1.5 * random.unit())},
                     3, 1s);
            m_speeds.update();
            for (const auto& id : m_ids) {
                unequal += m_speeds.speed(id) == 1 ? 0 : 1;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(unequal) + " of 900", unequal <= 27);
    }

    void worker_becomes_slow_later_runs_show_it()
    {
        run_steps({1, 1, 1}, 10);
        check({1, 1, 1});
        run_steps({0.4, 1, 1}, 5);
        check({0.4, 1, 1});
    }

    void worker_restarted_is_learned_again()
    {
        run_steps({0.6, 1, 1.6}, 3);
        m_speeds.on_instance(m_ids[0], "pool", first_instance + 1s);
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed(m_ids[0]));
        check({1, 1, 1.6});
    }

    void run_of_earlier_or_unknown_instance_is_ignored()
    {
        m_speeds.on_instance(m_ids[0], "pool", first_instance + 1s);
        run_steps({0.3, 1, 1}, 5);
        check({1, 1, 1});
        const base::worker_id unknown{"unknown"};
        m_speeds.observe_run(m_now, unknown, first_instance, {{1, 0, 0}, 3, 1s});
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed(unknown));
    }

    // Clocks that jump, and ends that are listed together with their starts.
    void implausible_durations_are_ignored()
    {
        for (const base::duration took : {base::duration{0}, base::duration{-5s},
                                          base::duration{1ms}, base::duration{24h * 400}}) {
            for (int round = 0; round < 10; ++round) {
                m_speeds.observe_run(m_now, m_ids[0], first_instance, {{++m_step, 0, 0}, 3, took});
                m_speeds.observe_run(m_now, m_ids[1], first_instance, {{m_step, 0, 0}, 3, 1s});
                m_speeds.observe_run(m_now, m_ids[2], first_instance, {{m_step, 0, 0}, 3, 1s});
            }
        }
        check({1, 1, 1});
    }

    void speeds_are_clamped()
    {
        run_steps({0.01, 1, 90}, 20);
        check({0.25, 1, 4});
    }

    void cold_worker_is_slow_until_warm()
    {
        CPPUNIT_ASSERT(m_speeds.set_cold(m_now, m_ids[0], first_instance, m_now + 5s));
        CPPUNIT_ASSERT(!m_speeds.set_cold(m_now, m_ids[0], first_instance, m_now + 4s));
        // A late report of an earlier instance.
        CPPUNIT_ASSERT(!m_speeds.set_cold(m_now, m_ids[1], first_instance - 1s, m_now + 5s));
        CPPUNIT_ASSERT(!m_speeds.is_cold(m_now, m_ids[1]));
        CPPUNIT_ASSERT_EQUAL(0.5, m_speeds.speed_at(m_now + 3s, m_ids[0]));
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed_at(m_now + 4s, m_ids[0]));
        CPPUNIT_ASSERT(m_speeds.set_cold(m_now, m_ids[0], first_instance, m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed_at(m_now, m_ids[0]));
    }

    void runs_on_cold_worker_do_not_count()
    {
        m_speeds.set_cold(m_now, m_ids[0], first_instance, m_now + 1h);
        run_steps({0.3, 1, 1}, 5);
        check({1, 1, 1});
    }

    void worker_unknown_has_speed_one()
    {
        m_speeds.forget(m_ids[0]);
        m_speeds.forget(m_ids[0]);
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed_at(m_now, m_ids[0]));
    }

private:
    static constexpr base::wall_time first_instance{std::chrono::hours{400'000}};

    /// One task on each worker.
    void run_step(const std::vector<double>& speeds, std::uint32_t step_tasks,
                  std::chrono::duration<double> work)
    {
        ++m_step;
        for (std::size_t i = 0; i < m_ids.size(); ++i) {
            m_now += 10ms;
            m_speeds.observe_run(m_now, m_ids[i], first_instance,
                                 {{m_step, 0, 0},
                                  step_tasks,
                                  std::chrono::duration_cast<base::duration>(work / speeds[i])});
        }
    }

    void run_steps(const std::vector<double>& speeds, int count)
    {
        for (int i = 0; i < count; ++i) {
            // Steps differ in length.
            run_step(speeds, 3, std::chrono::duration<double>{20.0 + i});
            m_speeds.update();
        }
    }

    void check(const std::vector<double>& expected)
    {
        m_speeds.update();
        for (std::size_t i = 0; i < m_ids.size(); ++i) {
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(m_ids[i].str(), expected[i],
                                                 m_speeds.speed(m_ids[i]), expected[i] * 0.15);
        }
    }

    std::vector<base::worker_id> m_ids{base::worker_id{"a"}, base::worker_id{"b"},
                                       base::worker_id{"c"}};
    worker_speeds m_speeds{{}};
    base::time_point m_now{10h};
    std::uint64_t m_step = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_speeds_test);

} // namespace
