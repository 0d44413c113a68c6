#include "worker_choice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <list>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using std::chrono::milliseconds;

class worker_choice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_choice_test);
    CPPUNIT_TEST(chain_contains_longest_later_steps);
    CPPUNIT_TEST(slack_much_slow_worker_is_preferred);
    CPPUNIT_TEST(slack_little_fast_worker_is_preferred);
    CPPUNIT_TEST(slack_none_fast_worker_is_preferred);
    CPPUNIT_TEST(gang_gets_fast_workers);
    CPPUNIT_TEST(gang_too_wide_for_fast_workers_gets_normal_ones);
    CPPUNIT_TEST(gang_too_wide_for_one_class_leaves_out_slow_workers);
    CPPUNIT_TEST(gang_widest_gets_all_workers);
    CPPUNIT_TEST(gang_does_not_count_on_avoided_workers);
    CPPUNIT_TEST(gang_limit_per_worker_counts);
    CPPUNIT_TEST_SUITE_END();

public:
    void chain_contains_longest_later_steps()
    {
        job_spec job;
        job.steps.resize(5);
        for (std::size_t i = 0; i < job.steps.size(); ++i) {
            job.steps[i].estimate = milliseconds{100 << i};
        }
        job.steps[2].depends_on = {0};
        job.steps[3].depends_on = {1};
        job.steps[4].depends_on = {2};
        CPPUNIT_ASSERT_EQUAL(std::int64_t{100 + 400 + 1'600}, remaining_chain(job, 0).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{200 + 800}, remaining_chain(job, 1).count());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'600}, remaining_chain(job, 4).count());
    }

    void slack_much_slow_worker_is_preferred()
    {
        const auto needed = needed_speed(milliseconds{1'000}, milliseconds{10'000});
        CPPUNIT_ASSERT(preference(0.5, needed) < preference(1, needed));
        CPPUNIT_ASSERT(preference(1, needed) < preference(1.6, needed));
    }

    void slack_little_fast_worker_is_preferred()
    {
        const auto needed = needed_speed(milliseconds{1'000}, milliseconds{1'400});
        CPPUNIT_ASSERT(preference(1.6, needed) < preference(1, needed));
        CPPUNIT_ASSERT(preference(1, needed) < preference(0.6, needed));
    }

    void slack_none_fast_worker_is_preferred()
    {
        const auto needed = needed_speed(milliseconds{0}, milliseconds{-5});
        CPPUNIT_ASSERT(std::isinf(needed));
        CPPUNIT_ASSERT(preference(1.6, needed) < preference(1, needed));
    }

    void gang_gets_fast_workers() { check_gang(4, nullptr, "fast"); }
    void gang_too_wide_for_fast_workers_gets_normal_ones() { check_gang(6, nullptr, "normal"); }
    void gang_too_wide_for_one_class_leaves_out_slow_workers()
    {
        check_gang(9, nullptr, "normal fast");
    }
    void gang_widest_gets_all_workers() { check_gang(14, nullptr, "slow normal fast"); }

    void gang_does_not_count_on_avoided_workers()
    {
        const std::set avoided{base::worker_id{"fast"}};
        check_gang(4, &avoided, "normal");
    }

    void gang_limit_per_worker_counts()
    {
        m_step.max_per_worker = 1;
        check_gang(2, nullptr, "normal fast");
    }

private:
    /// Tasks of 1,000 millicores on a slow worker with room for 5, a normal one with room for 6 and
    /// a fast one with room for 4.
    void check_gang(std::size_t tasks, const std::set<base::worker_id>* avoided,
                    const std::string& expected)
    {
        m_step.gang = true;
        m_step.size = {1'000, 10, 0};
        add("slow", 0.6, 5);
        add("normal", 1, 6);
        add("fast", 1.6, 4);
        std::vector<candidate_list::candidate*> eligible;
        for (auto& one : m_candidates) {
            eligible.push_back(&one);
        }
        std::string selected;
        for (const auto* one : select_for_gang(m_step, eligible, tasks, avoided)) {
            selected += (selected.empty() ? "" : " ") + one->info->id.str();
        }
        CPPUNIT_ASSERT_EQUAL(expected, selected);
    }

    void add(const std::string& id, double speed, std::int64_t room)
    {
        auto& info = m_infos.emplace_back();
        info.id = base::worker_id{id};
        auto& candidate = m_candidates.emplace_back();
        candidate.info = &info;
        candidate.free = {room * 1'000, 100'000, 0};
        candidate.speed = speed;
    }

    step_spec m_step;
    std::list<worker_info> m_infos;
    std::list<candidate_list::candidate> m_candidates;
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_choice_test);

} // namespace
