#include "sim_cell.h"

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

/// A job of one task of 1 s with an objective of 3 s.
job_spec batch_job(std::uint64_t id, std::int64_t millicores = 4'000)
{
    auto job = simple_job(id, 1, millicores);
    job.priority = 2;
    job.steps[0].estimate = 1s;
    return job;
}

/// Callers that submit a refused job again after the Retry-After, in whole seconds.
class callers {
public:
    explicit callers(sim_cell& on) : cell{on} {}

    sim_cell& cell;
    std::map<job_number, base::time_point> accepted;
    std::map<job_number, int> refusals;

    bool offer(const job_spec& job)
    {
        const auto verdict = cell.leader->judge_admission(cell.now, cell.wall(), job);
        if (verdict.is_admitted) {
            accepted.emplace(job.id, cell.now);
            cell.submit(job);
            return true;
        }
        ++refusals[job.id];
        m_returns.emplace(cell.now + std::chrono::ceil<std::chrono::seconds>(verdict.retry_after),
                          job);
        return false;
    }

    void run_for(base::duration time)
    {
        const auto until = cell.now + time;
        while (!m_returns.empty() && m_returns.begin()->first <= until) {
            const auto [when, job] = *m_returns.begin();
            m_returns.erase(m_returns.begin());
            cell.run_for(std::max(base::duration{0}, when - cell.now));
            offer(job);
        }
        cell.run_for(std::max(base::duration{0}, until - cell.now));
    }

    void offer_at_rate(std::uint64_t& next, int per_second, std::chrono::milliseconds time,
                       std::uint32_t priority = 2)
    {
        for (int i = 0; i < per_second * time.count() / 1'000; ++i) {
            auto job = batch_job(next++);
            job.priority = priority;
            offer(job);
            run_for(std::chrono::microseconds{1'000'000 / per_second});
        }
    }

    /// Number of accepted jobs of the range that ended within `time` of their acceptance.
    [[nodiscard]] int ended_within(base::duration time, std::uint64_t from = 0,
                                   std::uint64_t to = 1'000'000) const
    {
        return static_cast<int>(std::ranges::count_if(accepted, [&](const auto& each) {
            const auto& job = *cell.records.find(each.first);
            return each.first.value() >= from && each.first.value() < to &&
                   job.state == job_state::completed && job.ended - job.accepted <= time;
        }));
    }
    [[nodiscard]] std::string summary() const
    {
        int most = 0;
        for (const auto& [id, count] : refusals) {
            most = std::max(most, count);
        }
        return absl::StrCat("accepted=", accepted.size(), " refused=", refusals.size(),
                            " in_time=", ended_within(3s), " in_three=", ended_within(9s),
                            " most_refusals=", most, " waiting=", m_returns.size());
    }

private:
    std::multimap<base::time_point, job_spec> m_returns;
};

/// Load: more work of a priority than its pool can do in time. Two workers of 64 processors serve
/// about 25 of the jobs a second, since tasks take half to twice their estimate.
class admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(burst_accepted_jobs_end_refused_ones_are_taken_later);
    CPPUNIT_TEST(overload_lasts_accepted_jobs_end);
    CPPUNIT_TEST(higher_priority_arrives_it_is_not_refused);
    CPPUNIT_TEST(fleet_idle_nothing_is_refused);
    CPPUNIT_TEST(leader_new_refuses_nothing_at_first);
    CPPUNIT_TEST(no_workers_long_queue_is_refused);
    CPPUNIT_TEST(account_at_limit_others_are_not_refused);
    CPPUNIT_TEST(large_and_small_jobs_have_the_same_chance);
    CPPUNIT_TEST(scheduled_and_long_running_jobs_are_never_refused);
    CPPUNIT_TEST(job_not_committed_counts_for_a_while_only);
    CPPUNIT_TEST(all_jobs_ended_nothing_is_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Three times the capacity for 6 s. Guards against accepting jobs that expire, and against a
    // Retry-After after which the job is refused again.
    void burst_accepted_jobs_end_refused_ones_are_taken_later()
    {
        sim_cell cell{1, {.workers = 2}};
        cell.run_for(4s);
        callers all{cell};
        std::uint64_t next = 1;
        all.offer_at_rate(next, 75, 6s);
        all.run_for(40s);
        const auto accepted = static_cast<int>(all.accepted.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(all.summary(), 450, accepted);
        CPPUNIT_ASSERT_MESSAGE(all.summary(), all.refusals.size() >= 100);
        CPPUNIT_ASSERT_MESSAGE(all.summary(), all.ended_within(9s) >= 440);
        const auto taken_at_once =
            std::ranges::count_if(all.refusals, [](const auto& each) { return each.second == 1; });
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(all.summary(), " at once ", taken_at_once),
                               taken_at_once * 10 >=
                                   static_cast<std::int64_t>(all.refusals.size()) * 9);
    }

    // The same load for 30 s. Guards against each further group of jobs being late
    // for the one before it.
    void overload_lasts_accepted_jobs_end()
    {
        sim_cell cell{2, {.workers = 2}};
        cell.run_for(4s);
        callers all{cell};
        std::uint64_t next = 1;
        all.offer_at_rate(next, 75, 30s);
        all.run_for(60s);
        const auto accepted = static_cast<int>(all.accepted.size());
        CPPUNIT_ASSERT_MESSAGE(all.summary(), all.ended_within(9s) * 100 >= accepted * 95);
    }

    // A full queue of the lowest priority, then jobs of a higher one at half the capacity, beside
    // as many of the lowest. Guards against refusing the higher ones for work that they go before,
    // and against accepting lower ones as if these kept the whole pool.
    void higher_priority_arrives_it_is_not_refused()
    {
        sim_cell cell{3, {.workers = 2}};
        cell.run_for(4s);
        callers low{cell};
        callers high{cell};
        std::uint64_t next = 1;
        std::uint64_t next_high = 100'000;
        low.offer_at_rate(next, 75, 3s);
        for (int i = 0; i < 120; ++i) {
            high.offer_at_rate(next_high, 12, 84ms, 1);
            low.offer(batch_job(next++));
            low.run_for(42ms);
            low.offer(batch_job(next++));
            low.run_for(42ms);
        }
        const auto later = 225 + 120;
        low.run_for(40s);
        const auto message = absl::StrCat(low.summary(), "; higher ", high.summary());
        CPPUNIT_ASSERT_MESSAGE(message, high.refusals.empty());
        CPPUNIT_ASSERT_MESSAGE(message, high.ended_within(3s) >= 115);
        CPPUNIT_ASSERT_MESSAGE(message, !low.refusals.empty());
        CPPUNIT_ASSERT_MESSAGE(message, low.ended_within(9s, later) >= 108);
    }

    void fleet_idle_nothing_is_refused()
    {
        sim_cell cell{4, {.workers = 2}};
        cell.run_for(4s);
        callers all{cell};
        std::uint64_t next = 1;
        all.offer_at_rate(next, 15, 20s);
        // More at once than fits into the free processors, but little to wait for.
        for (int i = 0; i < 30; ++i) {
            all.offer(batch_job(next++));
        }
        all.run_for(10s);
        CPPUNIT_ASSERT_MESSAGE(all.summary(), all.refusals.empty());
    }

    // The backlog is known at once, the capacity isn't.
    void leader_new_refuses_nothing_at_first()
    {
        sim_cell cell{5, {.workers = 2}};
        cell.run_for(4s);
        callers all{cell};
        std::uint64_t next = 1;
        all.offer_at_rate(next, 300, 2s);
        CPPUNIT_ASSERT(!all.refusals.empty());
        cell.change_leader();
        cell.run_for(1'300ms);
        CPPUNIT_ASSERT(cell.leader != nullptr);
        const auto since = cell.leading_since;
        const auto refused = all.refusals.size();
        while (cell.now < since + 2'900ms) {
            CPPUNIT_ASSERT(all.offer(batch_job(next++)));
            cell.run_for(20ms);
        }
        CPPUNIT_ASSERT_EQUAL(refused, all.refusals.size());
        cell.run_for(200ms);
        CPPUNIT_ASSERT(!all.offer(batch_job(next++)));
    }

    void no_workers_long_queue_is_refused()
    {
        sim_cell cell{6, {.workers = 0}};
        callers all{cell};
        std::uint64_t next = 1;
        all.offer_at_rate(next, 50, 2'900ms);
        CPPUNIT_ASSERT_MESSAGE(all.summary(), all.refusals.empty());
        cell.run_for(200ms);
        CPPUNIT_ASSERT(!all.offer(batch_job(next++)));
    }

    // The backlog is of an account that may use a quarter of the fleet. Guards against refusing
    // others' jobs while there are free processors.
    void account_at_limit_others_are_not_refused()
    {
        sim_cell cell{7, {.workers = 2}};
        auto config = std::make_shared<catalog>(*cell.config);
        config->accounts["account"].limit = {32'000, 0, 0};
        config->accounts.emplace("other", account_settings{"other", {"key2"}, 1, {}});
        cell.change_config(config);
        cell.run_for(2s);
        std::uint64_t next = 1;
        for (int i = 0; i < 200; ++i) {
            cell.submit(batch_job(next++));
        }
        cell.run_for(2s);
        callers others{cell};
        for (int i = 0; i < 20; ++i) {
            auto job = batch_job(next++);
            job.account = "other";
            others.offer(job);
            cell.run_for(100ms);
        }
        CPPUNIT_ASSERT_MESSAGE(others.summary(), others.refusals.empty());
    }

    // Every tenth job takes eight times the processors. Guards against refusing large jobs more
    // often than small ones, and the reverse.
    void large_and_small_jobs_have_the_same_chance()
    {
        sim_cell cell{8, {.workers = 2}};
        cell.run_for(4s);
        callers all{cell};
        int large = 0;
        int small = 0;
        std::uint64_t next = 1;
        for (int i = 0; i < 1'200; ++i) {
            const bool is_large = i % 10 == 0;
            const bool is_admitted = all.offer(batch_job(next++, is_large ? 16'000 : 2'000));
            (is_large ? large : small) += is_admitted ? 1 : 0;
            cell.run_for(16ms);
        }
        const auto message = absl::StrCat("large ", large, " of 120, small ", small, " of 1080");
        CPPUNIT_ASSERT_MESSAGE(message, small < 1'000);
        CPPUNIT_ASSERT_MESSAGE(message, large * 9 * 2 >= small);
        CPPUNIT_ASSERT_MESSAGE(message, small * 2 >= large * 9);
    }

    void scheduled_and_long_running_jobs_are_never_refused()
    {
        sim_cell cell{9, {.workers = 2}};
        cell.run_for(4s);
        callers all{cell};
        std::uint64_t next = 1;
        all.offer_at_rate(next, 300, 2s);
        CPPUNIT_ASSERT(!all.offer(batch_job(next++)));
        auto scheduled = batch_job(next++);
        scheduled.occurrences = 3;
        scheduled.start = cell.wall() + 1s;
        scheduled.interval = 1s;
        CPPUNIT_ASSERT(all.offer(scheduled));
        auto service = batch_job(next++);
        service.steps[0].long_running = true;
        CPPUNIT_ASSERT(all.offer(service));
        // A job that is accepted already is never judged.
        CPPUNIT_ASSERT(
            cell.leader->judge_admission(cell.now, cell.wall(), batch_job(1)).is_admitted);
    }

    // The commit of an admitted job fails. Guards against work that counts forever.
    void job_not_committed_counts_for_a_while_only()
    {
        sim_cell cell{10, {.workers = 2}};
        cell.run_for(4s);
        CPPUNIT_ASSERT(
            cell.leader->judge_admission(cell.now, cell.wall(), batch_job(1)).is_admitted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000'000}, cell.leader->forecast().work("pool", 2));
        cell.run_for(5'100ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, cell.leader->forecast().work("pool", 2));
    }

    // Jobs of several steps, through lost orders, failed runs and a change of the leader. Guards
    // against an incremental count that drifts away from the work.
    void all_jobs_ended_nothing_is_counted()
    {
        sim_cell cell{11, {.workers = 2, .lose_answer = 0.1, .fail_run = 0.1}};
        cell.has_faults = true;
        cell.run_for(4s);
        callers all{cell};
        for (std::uint64_t id = 1; id <= 40; ++id) {
            auto job = batch_job(id);
            job.steps.push_back(job.steps[0]);
            job.steps[1].depends_on = {0};
            job.steps[1].tasks = 3;
            job.steps[1].gang = id % 2 == 0;
            all.offer(job);
            cell.run_for(50ms);
        }
        CPPUNIT_ASSERT(cell.leader->forecast().work("pool", 2) > 0);
        cell.change_leader();
        cell.run_for(60s);
        CPPUNIT_ASSERT(cell.all_jobs_ended());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, cell.leader->forecast().work("pool", 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace
