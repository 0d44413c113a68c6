#include "lovagebeam/base/random_source.h"
#include "lovagebeam/jobs/step_order.h"

#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

constexpr base::wall_time begin{std::chrono::hours{400'000}};

step_order::step_rank rank(std::uint64_t job, std::uint32_t priority, milliseconds due)
{
    return {false, priority, true, false, begin + due, {job_number{job}, 0, 0}};
}

class step_order_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(step_order_test);
    CPPUNIT_TEST(capacity_free_order_is_that_of_ranks);
    CPPUNIT_TEST(jobs_beyond_rate_follow_those_owed);
    CPPUNIT_TEST(account_alone_order_is_that_of_ranks);
    CPPUNIT_TEST(fleet_full_account_below_share_is_first);
    CPPUNIT_TEST(use_that_grows_in_pass_changes_order);
    CPPUNIT_TEST(step_with_many_tasks_leaves_room_for_other_account);
    CPPUNIT_TEST(account_unplaceable_is_passed_over_up_to_next_priority);
    CPPUNIT_TEST(steps_left_out_are_looked_at_in_later_passes);
    CPPUNIT_TEST(steps_left_out_beyond_rate_are_looked_at_in_later_passes);
    CPPUNIT_TEST(first_steps_are_looked_at_in_each_pass);
    CPPUNIT_TEST(step_that_fits_behind_large_ones_is_looked_at_in_first_pass);
    CPPUNIT_TEST(urgent_steps_too_large_for_free_capacity_are_looked_at);
    CPPUNIT_TEST(step_removed_in_pass_others_follow);
    CPPUNIT_TEST(job_resent_counts_once);
    CPPUNIT_TEST(record_counted_again_gives_same_order);
    CPPUNIT_TEST_SUITE_END();

public:
    // Equal weights, no account beyond its rate and free capacity: the order is the one of the
    // ranks, whichever account the steps belong to.
    void capacity_free_order_is_that_of_ranks()
    {
        base::random_source random{7};
        std::set<step_order::step_rank> expected;
        step_order order;
        for (std::uint64_t job = 1; job <= 500; ++job) {
            const step_order::step_rank one{random.chance(0.2),
                                            static_cast<std::uint32_t>(random.below(3)),
                                            random.chance(0.9),
                                            random.chance(0.3),
                                            begin + milliseconds{random.below(50)},
                                            {job_number{job}, 0, 0}};
            expected.insert(one);
            order.insert("account-" + std::to_string(random.below(5)), one);
        }
        std::vector<step_key> keys;
        for (const auto& one : expected) {
            keys.push_back(std::get<step_key>(one));
        }
        CPPUNIT_ASSERT(keys == keys_of(order, false));
    }

    void jobs_beyond_rate_follow_those_owed()
    {
        step_order order;
        accept(order, "a", 1, 2);
        accept(order, "a", 2, 2);
        accept(order, "a", 3, 1); // beyond two jobs at a time, the default weight
        accept(order, "b", 4, 9);
        CPPUNIT_ASSERT((std::vector<std::uint64_t>{1, 2, 4, 3}) == jobs_of(order, false));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, order.counts().at("a").jobs_beyond_rate);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, order.counts().at("a").waiting_steps);
    }

    void account_alone_order_is_that_of_ranks()
    {
        step_order order;
        accept(order, "a", 1, 2);
        accept(order, "a", 2, 3);
        accept(order, "a", 3, 1);
        CPPUNIT_ASSERT((std::vector<std::uint64_t>{3, 1, 2}) == jobs_of(order, true));
    }

    void fleet_full_account_below_share_is_first()
    {
        step_order order;
        order.insert("a", rank(1, 1, 1ms));
        order.insert("a", rank(2, 0, 5ms));
        order.insert("b", rank(3, 1, 2ms));
        m_used = {{"a", 60'000}, {"b", 40'000}};
        CPPUNIT_ASSERT((std::vector<std::uint64_t>{2, 1, 3}) == jobs_of(order, false));
        CPPUNIT_ASSERT((std::vector<std::uint64_t>{2, 3, 1}) == jobs_of(order, true));
    }

    // Each step that is planned takes a tenth of the fleet.
    void use_that_grows_in_pass_changes_order()
    {
        step_order order;
        for (std::uint64_t job = 1; job <= 4; ++job) {
            order.insert("a", rank(job, 1, milliseconds{job}));
            order.insert("b", rank(10 + job, 1, milliseconds{10 + job}));
        }
        m_used = {{"a", 10'000}, {"b", 0}};
        planning_order pass{order, input(true)};
        std::vector<std::uint64_t> jobs;
        while (const auto next = pass.next()) {
            const auto job = next->key.job.value();
            jobs.push_back(job);
            m_used[job > 10 ? "b" : "a"] += 10'000;
            pass.on_planned(obstacle::none);
        }
        CPPUNIT_ASSERT((std::vector<std::uint64_t>{11, 1, 12, 2, 13, 3, 14, 4}) == jobs);
    }

    // Guards against one step that takes all free places at once, far beyond its account's share.
    void step_with_many_tasks_leaves_room_for_other_account()
    {
        step_order order;
        order.insert("a", rank(1, 1, 1ms));
        order.insert("b", rank(2, 1, 2ms));
        m_used = {{"a", 20'000}, {"b", 30'000}};
        planning_order pass{order, input(true)};
        const auto first = pass.next();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, first->key.job.value());
        // Up to 31,000, from where a comes after b.
        CPPUNIT_ASSERT_EQUAL(std::int64_t{11'000}, first->budget);
        m_used["a"] = 32'000;
        pass.on_planned(obstacle::share);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, pass.next()->key.job.value());
        m_used["b"] = 40'000;
        pass.on_planned(obstacle::share);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pass.next()->key.job.value());
        pass.on_planned(obstacle::none);
        const auto last = pass.next();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, last->key.job.value());
        CPPUNIT_ASSERT_EQUAL(planning_order::unlimited, last->budget);
        pass.on_planned(obstacle::none);
        CPPUNIT_ASSERT(!pass.next());
    }

    // Guards against one account whose steps fit nowhere and end the pass for all others.
    void account_unplaceable_is_passed_over_up_to_next_priority()
    {
        step_order order;
        for (std::uint64_t job = 1; job <= 100; ++job) {
            order.insert("a", rank(job, 1, milliseconds{job}));
        }
        order.insert("a", rank(200, 2, 1ms));
        order.insert("b", rank(300, 1, 1'000ms));
        for (const auto outcome : {obstacle::no_capacity, obstacle::account_limit}) {
            planning_order pass{order, input(false)};
            std::vector<std::uint64_t> jobs;
            while (const auto next = pass.next()) {
                jobs.push_back(next->key.job.value());
                pass.on_planned(outcome);
            }
            // Half of 32 for each account, or 32 at its limit.
            const std::size_t looks = outcome == obstacle::no_capacity ? 16 : 32;
            CPPUNIT_ASSERT_EQUAL(looks + 2, jobs.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{300}, jobs[looks]);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{200}, jobs[looks + 1]);
        }
    }

    // Guards against steps that no pass ever looks at, since others that can't be placed come
    // before them.
    void steps_left_out_are_looked_at_in_later_passes()
    {
        for (const auto outcome : {obstacle::no_capacity, obstacle::account_limit}) {
            step_order order;
            for (std::uint64_t job = 1; job <= 1'000; ++job) {
                order.insert("a", rank(job, 1, milliseconds{job}));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1'000}, looked_at(order, outcome, 1'000 / 24 + 1));
        }
    }

    void steps_left_out_beyond_rate_are_looked_at_in_later_passes()
    {
        for (const auto outcome : {obstacle::no_capacity, obstacle::account_limit}) {
            step_order order;
            order.insert("b", rank(1'000, 1, 1ms));
            for (std::uint64_t job = 1; job <= 400; ++job) {
                accept(order, "a", job, static_cast<int>(job));
            }
            CPPUNIT_ASSERT(order.counts().at("a").jobs_beyond_rate > 300);
            CPPUNIT_ASSERT_EQUAL(std::size_t{401}, looked_at(order, outcome, 400 / 10 + 1));
        }
    }

    void first_steps_are_looked_at_in_each_pass()
    {
        step_order order;
        for (std::uint64_t job = 1; job <= 200; ++job) {
            order.insert("a", rank(job, 1, milliseconds{job}));
        }
        for (int count = 0; count < 20; ++count) {
            const auto jobs = pass_over(order, obstacle::no_capacity);
            CPPUNIT_ASSERT(jobs.size() <= 32);
            for (std::uint64_t job = 1; job <= 8; ++job) {
                CPPUNIT_ASSERT_EQUAL(job, jobs.at(job - 1));
            }
        }
    }

    // Guards against a wait that grows with the number of steps which are known not to fit.
    void step_that_fits_behind_large_ones_is_looked_at_in_first_pass()
    {
        step_order order;
        for (std::uint64_t job = 1; job <= 500; ++job) {
            order.insert("a", rank(job, 1, milliseconds{job}), {9'000, 100, 0});
        }
        order.insert("a", rank(501, 1, 501ms), {3'000, 100, 0});
        order.insert("a", rank(502, 1, 502ms), {3'000, 300, 0});
        const auto is_looked_at = [&](const size& room, const size& free) {
            m_limit_room = room;
            m_largest_free = free;
            const auto jobs = pass_over(order, obstacle::account_limit);
            CPPUNIT_ASSERT(jobs.size() <= 32);
            return std::ranges::count(jobs, 501) > 0 && std::ranges::count(jobs, 502) == 0;
        };
        CPPUNIT_ASSERT(is_looked_at({8'000, 200, 0}, {64'000, 1'000, 0}));
        CPPUNIT_ASSERT(is_looked_at({64'000, 1'000, 0}, {8'000, 200, 0}));
    }

    // They may get room by preemption.
    void urgent_steps_too_large_for_free_capacity_are_looked_at()
    {
        step_order order;
        for (std::uint64_t job = 1; job <= 200; ++job) {
            order.insert("a", rank(job, 0, milliseconds{job}), {9'000, 100, 0});
        }
        m_largest_free = {1'000, 1'000, 0};
        CPPUNIT_ASSERT_EQUAL(std::size_t{200},
                             looked_at(order, obstacle::no_capacity, 200 / 24 + 1));
    }

    void step_removed_in_pass_others_follow()
    {
        step_order order;
        order.insert("a", rank(1, 1, 1ms));
        order.insert("b", rank(2, 1, 2ms));
        planning_order pass{order, input(true)};
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pass.next()->key.job.value());
        order.erase("a", rank(1, 1, 1ms));
        pass.on_planned(obstacle::none);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, pass.next()->key.job.value());
        order.erase("b", rank(2, 1, 2ms));
        pass.on_planned(obstacle::none);
        CPPUNIT_ASSERT(!pass.next());
    }

    // Guards against a caller that loses its rate because it sends a job again.
    void job_resent_counts_once()
    {
        step_order order;
        accept(order, "a", 1, 1);
        accept(order, "a", 1, 1);
        accept(order, "a", 1, 1);
        accept(order, "a", 2, 2);
        CPPUNIT_ASSERT(!order.counts().contains("a") ||
                       order.counts().at("a").jobs_beyond_rate == 0);
    }

    // Guards against a next leader with another order.
    void record_counted_again_gives_same_order()
    {
        ledger records;
        step_order first;
        std::vector<std::pair<std::string, step_order::step_rank>> ranks;
        for (std::uint64_t job = 1; job <= 60; ++job) {
            auto spec = simple_job(job, 1, 1'000);
            spec.account = job % 3 == 0 ? "b" : "a";
            proto::jobs::Batch batch;
            auto& operation = *batch.add_operations()->mutable_accept();
            *operation.mutable_spec() = to_proto(spec);
            operation.set_accepted_ms((begin.time_since_epoch() + milliseconds{job * 100}).count());
            CPPUNIT_ASSERT(records.apply(batch.SerializeAsString()).ok());
            first.on_accepted(*records.find(job_number{job}));
            ranks.emplace_back(spec.account, rank(job, 1, milliseconds{100 - job}));
            first.insert(spec.account, ranks.back().second);
        }
        step_order second;
        second.set_weights({}, records);
        for (const auto& [account, one] : ranks) {
            second.insert(account, one);
        }
        CPPUNIT_ASSERT(keys_of(first, false) == keys_of(second, false));
    }

private:
    pass_input input(bool is_full)
    {
        return {is_full,
                100'000,
                [this](const std::string& account) {
                    const auto found = m_used.find(account);
                    return found == m_used.end() ? 0 : found->second;
                },
                {},
                {},
                [this](const std::string&) { return m_limit_room; },
                m_largest_free,
                &m_left_out};
    }

    /// Returns the jobs that one pass looks at, with the same outcome for each.
    std::vector<std::uint64_t> pass_over(const step_order& order, obstacle outcome)
    {
        planning_order pass{order, input(false)};
        std::vector<std::uint64_t> jobs;
        while (const auto next = pass.next()) {
            jobs.push_back(next->key.job.value());
            pass.on_planned(outcome);
        }
        return jobs;
    }

    /// Returns how many jobs that many passes look at.
    std::size_t looked_at(const step_order& order, obstacle outcome, int passes)
    {
        std::set<std::uint64_t> seen;
        for (int count = 0; count < passes; ++count) {
            seen.merge([](const auto& jobs) {
                return std::set<std::uint64_t>(jobs.begin(), jobs.end());
            }(pass_over(order, outcome)));
        }
        return seen.size();
    }

    std::vector<step_key> keys_of(const step_order& order, bool is_full)
    {
        planning_order pass{order, input(is_full)};
        std::vector<step_key> out;
        while (const auto next = pass.next()) {
            out.push_back(next->key);
            pass.on_planned(obstacle::none);
        }
        return out;
    }

    std::vector<std::uint64_t> jobs_of(const step_order& order, bool is_full)
    {
        std::vector<std::uint64_t> out;
        for (const auto& key : keys_of(order, is_full)) {
            out.push_back(key.job.value());
        }
        return out;
    }

    /// Accepts a job whose objective ends `due` ms after the beginning.
    static void accept(step_order& order, const std::string& account, std::uint64_t id, int due)
    {
        job_record job;
        job.spec = simple_job(id, 1, 1'000);
        job.spec.account = account;
        job.accepted = begin;
        order.on_accepted(job);
        order.insert(account, rank(id, 1, milliseconds{due}));
    }

    std::map<std::string, std::int64_t> m_used;
    size m_limit_room = unlimited_size;
    size m_largest_free = unlimited_size;
    left_out_steps m_left_out;
};

CPPUNIT_TEST_SUITE_REGISTRATION(step_order_test);

} // namespace
