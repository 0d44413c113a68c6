#include "lovagebeam/scheduling/preemption_planner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace std::chrono_literals;
using planner = scheduling::preemption_planner;

constexpr std::int64_t worker_millicores = 64'000;

/// Workers w1, w2, ... with the victims that run on them.
class fleet {
public:
    explicit fleet(std::size_t workers) : m_victims(workers), m_free(workers) {}

    /// A run of 16 processors that has lost 10 core-seconds and a tenth of its job's value.
    planner::victim& add_run(std::uint64_t job, std::size_t worker)
    {
        return add_gang(job, {worker});
    }

    /// A victim with a run on each of the workers.
    planner::victim& add_gang(std::uint64_t job, const std::vector<std::size_t>& on)
    {
        auto& added = m_all.emplace_back();
        added.priority = 2;
        added.lost_work = 10;
        added.loss = 0.1;
        added.is_gang = on.size() > 1;
        for (std::uint32_t index = 0; index < on.size(); ++index) {
            added.runs.push_back({{{job, 0, 0, index}, 1}, id(on[index]), {16'000, 1'000, 0}});
            m_victims[on[index] - 1].push_back(&added);
        }
        return added;
    }

    void set_free(std::size_t worker, std::int64_t millicores)
    {
        m_free[worker - 1].millicores = millicores;
    }

    [[nodiscard]] std::vector<planner::worker> workers() const
    {
        std::vector<planner::worker> out;
        for (std::size_t i = 0; i < m_victims.size(); ++i) {
            auto free = m_free[i];
            free.memory_mb = 100'000;
            out.push_back(
                {id(i + 1), free, std::numeric_limits<std::uint32_t>::max(), &m_victims[i]});
        }
        return out;
    }

    [[nodiscard]] std::int64_t millicores() const
    {
        return static_cast<std::int64_t>(m_victims.size()) * worker_millicores;
    }

    static base::worker_id id(std::size_t worker)
    {
        return base::worker_id{"w" + std::to_string(worker)};
    }

private:
    std::deque<planner::victim> m_all;
    std::vector<std::vector<const planner::victim*>> m_victims;
    std::vector<planner::amount> m_free;
};

/// Load pattern: lookups on a pool that is full of batch work.
class preemption_planner_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(preemption_planner_test);
    CPPUNIT_TEST(expired_run_goes_before_lower_priority);
    CPPUNIT_TEST(lower_priority_goes_before_less_lost_work);
    CPPUNIT_TEST(least_lost_work_goes_first);
    CPPUNIT_TEST(run_of_same_priority_is_never_stopped);
    CPPUNIT_TEST(run_worth_more_than_the_need_is_never_stopped);
    CPPUNIT_TEST(runs_worth_more_together_are_not_stopped);
    CPPUNIT_TEST(long_running_step_is_never_stopped);
    CPPUNIT_TEST(task_preempted_twice_is_not_stopped_again);
    CPPUNIT_TEST(preemptions_under_earlier_leader_count);
    CPPUNIT_TEST(forgotten_job_with_largest_number_leaves_others_counted);
    CPPUNIT_TEST(gang_is_stopped_whole);
    CPPUNIT_TEST(gang_is_spared_while_single_runs_will_do);
    CPPUNIT_TEST(expired_gang_goes_before_live_runs);
    CPPUNIT_TEST(gang_with_member_preempted_twice_is_spared);
    CPPUNIT_TEST(no_more_is_stopped_than_needed);
    CPPUNIT_TEST(free_worker_needs_no_stop);
    CPPUNIT_TEST(room_on_the_way_counts);
    CPPUNIT_TEST(room_on_the_way_that_is_booked_does_not_count);
    CPPUNIT_TEST(overdue_stop_is_no_room_and_its_worker_is_avoided);
    CPPUNIT_TEST(fraction_under_preemption_is_limited);
    CPPUNIT_TEST(single_run_beyond_the_limit_is_stopped_alone);
    CPPUNIT_TEST(whole_need_gets_all_or_nothing);
    CPPUNIT_TEST(tasks_per_worker_are_limited);
    CPPUNIT_TEST(ended_run_is_reported_as_preempted_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void expired_run_goes_before_lower_priority()
    {
        fleet cell{4};
        cell.add_run(1, 1).priority = 9;
        auto& expired = cell.add_run(2, 2);
        expired.is_expired = true;
        expired.lost_work = 1'000;
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    void lower_priority_goes_before_less_lost_work()
    {
        fleet cell{4};
        cell.add_run(1, 1).lost_work = 1;
        auto& lower = cell.add_run(2, 2);
        lower.priority = 3;
        lower.lost_work = 100;
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    void least_lost_work_goes_first()
    {
        fleet cell{4};
        cell.add_run(1, 1).lost_work = 20;
        cell.add_run(2, 1).lost_work = 5;
        cell.add_run(3, 2).lost_work = 10;
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    void run_of_same_priority_is_never_stopped()
    {
        fleet cell{4};
        auto& urgent = cell.add_run(1, 1);
        urgent.priority = 0;
        urgent.is_expired = true;
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, need()));
    }

    void run_worth_more_than_the_need_is_never_stopped()
    {
        fleet cell{4};
        cell.add_run(1, 1).loss = 1;
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, need()));
        auto& expired = cell.add_run(2, 2);
        expired.loss = 1;
        expired.is_expired = true;
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    // Each run is worth less than the urgent task, but two of them aren't.
    void runs_worth_more_together_are_not_stopped()
    {
        fleet cell{8};
        cell.add_run(1, 1).loss = 0.6;
        cell.add_run(2, 1).loss = 0.6;
        auto wanted = need();
        wanted.size.millicores = 32'000;
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, wanted));
    }

    void long_running_step_is_never_stopped()
    {
        fleet cell{4};
        auto& service = cell.add_run(1, 1);
        service.is_long_running = true;
        service.is_expired = true;
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, need()));
    }

    void task_preempted_twice_is_not_stopped_again()
    {
        fleet cell{4};
        auto& victim = cell.add_run(1, 1);
        for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
            victim.runs[0].id.attempt = attempt;
            const auto expected = attempt <= 2 ? std::string{"1"} : std::string{};
            CPPUNIT_ASSERT_EQUAL(expected, stopped(cell, need()));
            m_planner.on_stop_ordered(m_now, "pool", victim);
            m_planner.on_run_ended(victim.runs[0].id);
        }
    }

    void preemptions_under_earlier_leader_count()
    {
        fleet cell{4};
        const auto& victim = cell.add_run(1, 1);
        m_planner.assume(victim.runs[0].id.task, 2);
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, need()));
    }

    // Callers choose the numbers of jobs, so the largest one occurs.
    void forgotten_job_with_largest_number_leaves_others_counted()
    {
        constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
        m_planner.assume({7, 0, 0, 0}, 2);
        m_planner.assume({largest, 0, 0, 3}, 2);
        m_planner.forget(largest);
        CPPUNIT_ASSERT_EQUAL(0U, m_planner.times_preempted({largest, 0, 0, 3}));
        CPPUNIT_ASSERT_EQUAL(2U, m_planner.times_preempted({7, 0, 0, 0}));
    }

    void gang_is_stopped_whole()
    {
        fleet cell{16};
        cell.add_gang(1, {1, 2, 3});
        const auto plan = m_planner.make_plan(m_now, need_of(cell, need()), cell.workers());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.stops.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, plan.stops[0]->runs.size());
    }

    void gang_is_spared_while_single_runs_will_do()
    {
        fleet cell{16};
        auto& gang = cell.add_gang(1, {1, 2});
        gang.priority = 9;
        gang.lost_work = 0;
        cell.add_run(2, 1).lost_work = 100;
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    void expired_gang_goes_before_live_runs()
    {
        fleet cell{16};
        cell.add_gang(1, {1, 2}).is_expired = true;
        cell.add_run(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, stopped(cell, need()));
    }

    void gang_with_member_preempted_twice_is_spared()
    {
        fleet cell{16};
        const auto& gang = cell.add_gang(1, {1, 2});
        m_planner.assume(gang.runs[1].id.task, 2);
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, need()));
    }

    // The small run comes first in the order, but the large one, which is needed anyway, suffices.
    void no_more_is_stopped_than_needed()
    {
        fleet cell{4};
        auto& small = cell.add_run(1, 1);
        small.lost_work = 1;
        small.runs[0].size.millicores = 1'000;
        cell.add_run(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    void free_worker_needs_no_stop()
    {
        fleet cell{4};
        cell.add_run(1, 1);
        cell.set_free(3, 16'000);
        const auto plan = m_planner.make_plan(m_now, need_of(cell, need()), cell.workers());
        CPPUNIT_ASSERT(plan.stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"w3"}, plan.rooms.at(0).str());
    }

    // Guards against a second stop for a need that the first one serves.
    void room_on_the_way_counts()
    {
        fleet cell{4};
        m_planner.on_stop_ordered(m_now, "pool", cell.add_run(1, 1));
        cell.add_run(2, 2).is_expired = true;
        const auto plan = m_planner.make_plan(m_now, need_of(cell, need()), cell.workers());
        CPPUNIT_ASSERT(plan.stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"w1"}, plan.rooms.at(0).str());
    }

    void room_on_the_way_that_is_booked_does_not_count()
    {
        fleet cell{4};
        m_planner.on_stop_ordered(m_now, "pool", cell.add_run(1, 1));
        cell.set_free(1, -16'000);
        cell.add_run(2, 2);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, stopped(cell, need()));
    }

    void overdue_stop_is_no_room_and_its_worker_is_avoided()
    {
        fleet cell{4};
        m_planner.on_stop_ordered(m_now, "pool", cell.add_run(1, 1));
        cell.add_run(2, 1).is_expired = true;
        cell.add_run(3, 2);
        m_now += 1s;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_planner.on_the_way(m_now, fleet::id(1)).millicores);
        CPPUNIT_ASSERT_EQUAL(std::string{"3"}, stopped(cell, need()));
    }

    void fraction_under_preemption_is_limited()
    {
        fleet cell{4}; // 256 processors: four runs of 16 are a quarter
        for (std::uint64_t job = 1; job <= 12; ++job) {
            cell.add_run(job, 1 + job % 4);
        }
        auto wanted = need();
        wanted.tasks = 12;
        const auto plan = m_planner.make_plan(m_now, need_of(cell, wanted), cell.workers());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan.stops.size());
        for (const auto* const each : plan.stops) {
            m_planner.on_stop_ordered(m_now, "pool", *each);
            for (const auto& run : each->runs) {
                const auto number = std::stoull(run.worker.str().substr(1));
                cell.set_free(number, cell.workers()[number - 1].free.millicores - 16'000);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, need()));
        m_planner.on_run_ended(plan.stops[0]->runs[0].id);
        CPPUNIT_ASSERT(!stopped(cell, need()).empty());
    }

    // Guards against pools of few workers, on which a quarter is less than one run.
    void single_run_beyond_the_limit_is_stopped_alone()
    {
        fleet cell{1};
        cell.add_run(1, 1).runs[0].size.millicores = 32'000;
        cell.add_run(2, 1).runs[0].size.millicores = 32'000;
        auto wanted = need();
        wanted.tasks = 4;
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, stopped(cell, wanted));
    }

    void whole_need_gets_all_or_nothing()
    {
        fleet cell{16};
        cell.add_run(1, 1);
        cell.add_run(2, 2);
        auto wanted = need();
        wanted.tasks = 3;
        CPPUNIT_ASSERT_EQUAL(std::string{"12"}, stopped(cell, wanted));
        wanted.is_whole = true;
        CPPUNIT_ASSERT_EQUAL(std::string{}, stopped(cell, wanted));
        wanted.tasks = 2;
        CPPUNIT_ASSERT_EQUAL(std::string{"12"}, stopped(cell, wanted));
    }

    void tasks_per_worker_are_limited()
    {
        fleet cell{16};
        cell.add_run(1, 1).lost_work = 0;
        cell.add_run(2, 1).lost_work = 0;
        cell.add_run(3, 2);
        auto workers = cell.workers();
        workers[0].max_tasks = 1;
        auto wanted = need();
        wanted.tasks = 2;
        const auto plan = m_planner.make_plan(m_now, need_of(cell, wanted), workers);
        CPPUNIT_ASSERT_EQUAL(std::string{"13"}, jobs_of(plan));
    }

    void ended_run_is_reported_as_preempted_once()
    {
        fleet cell{4};
        const auto& victim = cell.add_run(1, 1);
        const auto id = victim.runs[0].id;
        CPPUNIT_ASSERT(!m_planner.on_run_ended(id));
        m_planner.on_stop_ordered(m_now, "pool", victim);
        CPPUNIT_ASSERT(m_planner.is_stopping(id));
        CPPUNIT_ASSERT(m_planner.on_run_ended(id));
        CPPUNIT_ASSERT(!m_planner.on_run_ended(id));
        CPPUNIT_ASSERT(m_planner.stopping().empty());
    }

private:
    /// One task of 16 processors that is worth a whole job.
    static planner::need need()
    {
        planner::need wanted;
        wanted.pool = "pool";
        wanted.size = {16'000, 1'000, 0};
        wanted.worth = 1;
        return wanted;
    }

    static planner::need need_of(const fleet& cell, planner::need wanted)
    {
        wanted.pool_millicores = cell.millicores();
        return wanted;
    }

    /// The numbers of the jobs whose runs the plan stops, in order.
    static std::string jobs_of(const planner::plan& plan)
    {
        std::string out;
        for (const auto* const each : plan.stops) {
            out += std::to_string(each->runs.at(0).id.task.job);
        }
        std::ranges::sort(out);
        return out;
    }

    std::string stopped(const fleet& cell, const planner::need& wanted)
    {
        return jobs_of(m_planner.make_plan(m_now, need_of(cell, wanted), cell.workers()));
    }

    planner m_planner{scheduling::preemption_settings{}};
    base::time_point m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_planner_test);

} // namespace
