#include "sim_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <iostream>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::test;

class fairness_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fairness_test);
    CPPUNIT_TEST(home_full_fleet_shares_slots_by_weight);
    CPPUNIT_TEST(home_full_fleet_starts_urgent_work_first);
    CPPUNIT_TEST(home_failing_target_gets_little_work);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a large team that starves a small one. Shares are measured as slot time.
    void home_full_fleet_shares_slots_by_weight()
    {
        sim_cluster cluster{fleet()};
        set_share(cluster, "large", 3);
        set_share(cluster, "small", 1);
        cluster.run_for(1s);
        load(cluster, 1s);
        const duration large = cluster.ground_truth().slot_time_of_team["large"];
        const duration small = cluster.ground_truth().slot_time_of_team["small"];
        load(cluster, 3s);
        const double large_time = static_cast<double>(
            (cluster.ground_truth().slot_time_of_team["large"] - large).count());
        const double small_time = static_cast<double>(
            (cluster.ground_truth().slot_time_of_team["small"] - small).count());
        const double sum = large_time + small_time;
        const double slot_time = static_cast<double>(duration{3s}.count()) * 12 * 8;
        CPPUNIT_ASSERT_MESSAGE("used=" + std::to_string(sum / slot_time), sum > 0.9 * slot_time);
        std::cout << " used=" << sum / slot_time << " share_of_small=" << small_time / sum;
        const double error = std::abs(small_time / sum - 0.25) / 0.25;
        CPPUNIT_ASSERT_MESSAGE("share of small=" + std::to_string(small_time / sum), error < 0.05);
    }

    // Guards against urgent work that waits behind batch work.
    void home_full_fleet_starts_urgent_work_first()
    {
        sim_cluster cluster{fleet()};
        set_share(cluster, "large", 1);
        cluster.run_for(1s);
        load(cluster, 1s);
        std::vector<std::uint64_t> callers;
        for (int i = 0; i < 50; ++i) {
            auto urgent = request("lookups", routing::work_class::urgent);
            urgent.timeout = 200ms;
            callers.push_back(cluster.call(0, std::move(urgent)));
            load(cluster, 10ms);
        }
        load(cluster, 300ms);
        for (const auto caller : callers) {
            const auto& record = cluster.ground_truth().requests.at(caller);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("caller " + std::to_string(caller), std::string{},
                                         record.code);
        }
    }

    // Guards against a target that attracts all the work because it fails fast and so has free
    // slots.
    void home_failing_target_gets_little_work()
    {
        sim_options options = fleet();
        sim_cluster cluster{options};
        cluster.run_for(1s);
        cluster.target(3).mode = target_mode::refuses;
        for (int i = 0; i < 500; ++i) {
            cluster.call(0, request("team", routing::work_class::interactive));
            cluster.run_for(4ms);
        }
        cluster.run_for(1s);
        CPPUNIT_ASSERT_MESSAGE("completed=" +
                                   std::to_string(cluster.count(routing::outcome::completed)),
                               cluster.count(routing::outcome::completed) >= 495);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.count(routing::outcome::unknown));
    }

private:
    static sim_options fleet()
    {
        sim_options options;
        options.hosts = 4;
        options.targets = 12;
        options.slots = 8;
        options.min_delay = 100us;
        options.max_delay = 300us;
        return options;
    }

    static void set_share(sim_cluster& cluster, const std::string& team, std::uint32_t share)
    {
        cluster.limits().defaults.max_deadline = 5s;
        auto limits = cluster.limits().defaults;
        limits.share = share;
        cluster.limits().teams[team] = limits;
    }

    static routing::caller_request request(const std::string& team, routing::work_class priority)
    {
        routing::caller_request result;
        result.team = base::team_id{team};
        result.priority = priority;
        result.timeout = 1s;
        return result;
    }

    /// Offers 2.3 times the capacity of the cluster (96 slots, 15.5 ms average service time). About
    /// three quarters come from the large team, and each team offers more than its share.
    static void load(sim_cluster& cluster, duration time)
    {
        const time_point end = cluster.clock().now() + time;
        for (std::uint32_t i = 0; cluster.clock().now() < end; ++i) {
            for (std::uint32_t k = 0; k < 14; ++k) {
                const bool is_small = k % 4 == 3;
                cluster.call((i + k) % 4,
                             request(is_small ? "small" : "large", routing::work_class::batch));
            }
            cluster.run_for(1ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fairness_test);

} // namespace
