#include "lovagebeam/jobs/advice_scheduler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace std::chrono_literals;

constexpr std::uint64_t agent_count = 20;
constexpr std::uint32_t expired = std::numeric_limits<std::uint32_t>::max();
/// A call about 50 workers takes 750 ms for wide batch work and 110 ms for short batch work.
const advice_policy slow_policy{500ms, 5ms, 1'500ms};
const advice_policy quick_policy{60ms, 1ms, 1'500ms};

/// Twenty agents, on which the service takes as long as its policy says.
class advice_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(advice_scheduler_test);
    CPPUNIT_TEST(long_calls_of_higher_priority_leave_a_share);
    CPPUNIT_TEST(share_that_is_not_asked_for_is_lent);
    CPPUNIT_TEST(expired_steps_have_no_share);
    CPPUNIT_TEST(call_abandoned_gives_its_share_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_advice = advice_scheduler{advice_settings{}};
        m_now = base::time_point{} + 1h;
        m_requested = 0;
    }

    // Slow calls about wide steps of priority 1 take more time than all agents have; steps of
    // priority 2 need a tenth of it. Guards against steps of priority 2 that get no tickets for as
    // long as the load of priority 1 lasts, while a fifth of the fleet is free.
    void long_calls_of_higher_priority_leave_a_share()
    {
        int answered_late = 0;
        run_for(20s, 30, 5, 2, answered_late);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(m_answered[2]) + " of 100 answered",
                               m_answered[2] >= 95);
        CPPUNIT_ASSERT_EQUAL(0, answered_late);
        // The higher priority keeps the rest: 11 of 15 agents, each with 4 calls in 3 s.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(m_answered[1]), m_answered[1] >= 250);
    }

    void share_that_is_not_asked_for_is_lent()
    {
        request(1, slow_policy, 30);
        contact_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, m_advice.take(m_now).size());
    }

    // Guards against tickets for steps that can no longer be in time at the expense of others.
    void expired_steps_have_no_share()
    {
        request(expired, slow_policy, 30);
        request(1, slow_policy, 30);
        contact_all();
        const auto sent = m_advice.take(m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, sent.size());
        for (const auto& order : sent) {
            CPPUNIT_ASSERT(order.step.occurrence == 1);
        }
    }

    // Guards against a share that counts calls which the service never answered.
    void call_abandoned_gives_its_share_back()
    {
        request(2, slow_policy, 20);
        contact_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, m_advice.take(m_now).size());
        m_now += 3s;
        contact_all();
        static_cast<void>(m_advice.take(m_now));
        m_now += 1s;
        contact_all();
        request(1, slow_policy, 30);
        request(2, slow_policy, 30);
        std::size_t of_second = 0;
        for (const auto& order : m_advice.take(m_now)) {
            of_second += order.step.occurrence == 2 ? 1 : 0;
        }
        CPPUNIT_ASSERT(of_second >= 4);
    }

private:
    void contact_all()
    {
        for (std::uint64_t agent = 0; agent < agent_count; ++agent) {
            m_advice.on_agent_contact(m_now, base::node_id{"agent-" + std::to_string(agent)});
        }
    }

    /// Requests calls of `priority`, one for each step. The occurrence of the step says the
    /// priority.
    void request(std::uint32_t priority, const advice_policy& policy, int count)
    {
        std::vector<base::worker_id> workers;
        for (int worker = 0; worker < 50; ++worker) {
            workers.emplace_back("worker-" + std::to_string(worker));
        }
        for (int i = 0; i < count; ++i) {
            const step_key step{job_number{++m_requested}, priority, 0};
            m_advice.request(step, policy, workers,
                             {priority, false, static_cast<std::int64_t>(m_requested)});
            m_requested_at[m_requested] = m_now;
        }
    }

    /// Requests `slow` calls of priority 1 and `quick` ones of priority 2 each second and answers
    /// all calls when they are due. `late` counts answers more than 1 s after the request.
    void run_for(base::duration time, int slow, int quick, std::uint32_t watched, int& late)
    {
        m_answered.clear();
        std::multimap<base::time_point, advice_order> open;
        for (const auto end = m_now + time; m_now < end; m_now += 10ms) {
            contact_all();
            if ((end - m_now) % 1s == 0s) {
                request(1, slow_policy, slow);
                request(2, quick_policy, quick);
            }
            while (!open.empty() && open.begin()->first <= m_now) {
                const auto& order = open.begin()->second;
                m_advice.on_answer(m_now, order.id, std::vector<advice_row>{});
                ++m_answered[order.step.occurrence];
                const auto waited = m_now - m_requested_at[order.step.job.value()];
                late += order.step.occurrence == watched && waited > 1s ? 1 : 0;
                open.erase(open.begin());
            }
            for (auto& order : m_advice.take(m_now)) {
                open.emplace(m_now + order.expected, std::move(order));
            }
        }
    }

    advice_scheduler m_advice{advice_settings{}};
    base::time_point m_now;
    std::uint64_t m_requested = 0;
    std::map<std::uint64_t, base::time_point> m_requested_at;
    std::map<std::uint32_t, int> m_answered;
};

CPPUNIT_TEST_SUITE_REGISTRATION(advice_scheduler_test);

} // namespace
