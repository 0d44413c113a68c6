#include "sim_cell.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Load pattern: accounts that together ask for more than the fleet has, each with work waiting at
// all times, or one that floods the others. No faults.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace lovagebeam::jobs::test;

using account_sums = std::map<std::string, double>;

/// Sends jobs of several accounts to a cell.
class account_load {
public:
    explicit account_load(sim_settings settings) : m_cell{1, settings} { m_cell.run_for(1s); }

    sim_cell& cell() { return m_cell; }

    void set_weights(const std::map<std::string, double>& weights)
    {
        auto config = std::make_shared<catalog>(*m_cell.config);
        ++config->version;
        for (const auto& [name, weight] : weights) {
            config->accounts[name] = {name, {}, weight, {}};
        }
        m_cell.change_config(config);
    }

    job_number submit(const std::string& account, std::uint32_t tasks)
    {
        auto job = simple_job(++m_last_job, tasks, 4'000);
        job.account = account;
        // Neither late nor expired during the test.
        job.target_latency = 300s;
        m_cell.submit(job);
        return job.id;
    }

    /// Keeps `tasks` tasks of the account waiting, or as many as it has already.
    void top_up(const std::string& account, std::uint32_t tasks)
    {
        std::uint32_t waiting = 0;
        for (const auto id : m_cell.records.open_jobs()) {
            const auto& job = *m_cell.records.find(id);
            if (job.spec.account == account) {
                waiting += job.steps[0].undone - job.placed;
            }
        }
        for (; waiting < tasks; waiting += 10) {
            submit(account, 10);
        }
    }

    /// Runs for `time` with `more` called every 50 ms, and returns the mean processors of each
    /// account.
    account_sums run(base::duration time, const std::function<void()>& more)
    {
        account_sums used;
        const auto samples = time / 50ms;
        for (int sample = 0; sample < samples; ++sample) {
            more();
            m_cell.run_for(50ms);
            for (const auto& account : {"a", "b", "c"}) {
                used[account] += static_cast<double>(m_cell.records.used_by(account).millicores) /
                                 1'000 / static_cast<double>(samples);
            }
        }
        CPPUNIT_ASSERT(m_cell.violations.empty());
        return used;
    }

private:
    sim_cell m_cell;
    std::uint64_t m_last_job = 0;
};

std::string text(const account_sums& used)
{
    std::string out;
    for (const auto& [account, sum] : used) {
        out += account + "=" + std::to_string(sum) + " ";
    }
    return out;
}

/// Checks that what each account uses is within 5% of its part of what all use.
void check_shares(const account_sums& used, const std::map<std::string, double>& weights)
{
    double total = 0;
    double total_weight = 0;
    for (const auto& [account, weight] : weights) {
        total += used.at(account);
        total_weight += weight;
    }
    // 512 processors, of which 5% are reserved for urgent work. A place stays empty for about
    // 30 ms between two tasks of 625 ms.
    CPPUNIT_ASSERT_MESSAGE(text(used), total >= 400);
    for (const auto& [account, weight] : weights) {
        CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(text(used), weight / total_weight,
                                             used.at(account) / total,
                                             0.05 * weight / total_weight);
    }
}

class account_share_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(account_share_test);
    CPPUNIT_TEST(fleet_full_accounts_get_shares_by_weight);
    CPPUNIT_TEST(fleet_full_with_advice_accounts_get_shares_by_weight);
    CPPUNIT_TEST(account_with_large_backlog_gets_its_share_only);
    CPPUNIT_TEST(account_small_gets_all_that_it_asks_for);
    CPPUNIT_TEST(share_idle_is_lent_and_returned);
    CPPUNIT_TEST(account_sends_many_times_its_usual_others_keep_theirs);
    CPPUNIT_TEST(weights_invalid_fleet_is_used);
    CPPUNIT_TEST(leader_changed_shares_hold_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleet_full_accounts_get_shares_by_weight()
    {
        const std::map<std::string, double> weights{{"a", 3}, {"b", 2}, {"c", 1}};
        account_load load{{.workers = 8}};
        load.set_weights(weights);
        const auto more = [&] {
            for (const auto& [account, weight] : weights) {
                load.top_up(account, 200);
            }
        };
        load.run(2s, more);
        check_shares(load.run(10s, more), weights);
    }

    // With reservations, which aren't in the ledger.
    void fleet_full_with_advice_accounts_get_shares_by_weight()
    {
        const std::map<std::string, double> weights{{"a", 3}, {"b", 2}, {"c", 1}};
        account_load load{{.workers = 8, .with_advice = true, .agents = 24, .allowed_of_four = 4}};
        load.set_weights(weights);
        const auto more = [&] {
            for (const auto& [account, weight] : weights) {
                load.top_up(account, 200);
            }
        };
        load.run(2s, more);
        check_shares(load.run(10s, more), weights);
    }

    // Guards against capacity that goes to the account with the most waiting steps, because some of
    // them are looked at whenever a place becomes free.
    void account_with_large_backlog_gets_its_share_only()
    {
        const std::map<std::string, double> weights{{"a", 1}, {"b", 1}};
        account_load load{{.workers = 8}};
        load.set_weights(weights);
        const auto more = [&] {
            load.top_up("a", 3'000);
            load.top_up("b", 100);
        };
        load.run(2s, more);
        check_shares(load.run(10s, more), weights);
    }

    // The account asks for a fifth of its share: 2 tasks of 4 processors each 200 ms.
    void account_small_gets_all_that_it_asks_for()
    {
        account_load load{{.workers = 8}};
        load.set_weights({{"a", 1}, {"b", 1}});
        std::vector<job_number> small;
        int round = 0;
        const auto more = [&] {
            load.top_up("a", 1'000);
            if (++round % 4 == 0) {
                small.push_back(load.submit("b", 2));
            }
        };
        load.run(12s, more);
        for (const auto id : small) {
            if (const auto& job = *load.cell().records.find(id); is_final(job.state)) {
                // The longest run is 1 s; one task of the fleet ends every 5 ms.
                const auto took = job.ended - job.accepted;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ms", took <= 1'400ms);
            }
            else {
                CPPUNIT_ASSERT(load.cell().wall() - job.accepted <= 1'400ms);
            }
        }
    }

    void share_idle_is_lent_and_returned()
    {
        account_load load{{.workers = 8}};
        load.set_weights({{"a", 1}, {"b", 3}});
        const auto more_a = [&] { load.top_up("a", 1'000); };
        load.run(2s, more_a);
        const auto alone = load.run(2s, more_a);
        CPPUNIT_ASSERT_MESSAGE(text(alone), alone.at("a") >= 400);
        const auto more = [&] {
            load.top_up("a", 1'000);
            load.top_up("b", 300);
        };
        // The longest task takes 1 s; places are empty for a moment in between.
        load.run(1'200ms, more);
        check_shares(load.run(10s, more), {{"a", 1}, {"b", 3}});
    }

    // a sends 20 times its weight, with earlier ends of objective. b and c keep their rate, and
    // together ask for half of the fleet.
    void account_sends_many_times_its_usual_others_keep_theirs()
    {
        account_load load{{.workers = 8}};
        load.set_weights({{"a", 10}, {"b", 10}, {"c", 10}});
        std::vector<job_number> kept;
        int round = 0;
        const auto more = [&] {
            for (int i = 0; i < 10; ++i) {
                load.submit("a", 5);
            }
            if (++round % 2 == 0) {
                kept.push_back(load.submit("b", 5));
                kept.push_back(load.submit("c", 5));
            }
        };
        load.run(10s, more);
        int in_time = 0;
        for (const auto id : kept) {
            const auto& job = *load.cell().records.find(id);
            const bool is_soon = is_final(job.state) && job.ended - job.accepted <= 1'400ms;
            in_time += is_soon || load.cell().wall() - job.accepted <= 1'400ms ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(in_time) + " of " + std::to_string(kept.size()),
                               in_time * 100 >= static_cast<int>(kept.size()) * 98);
    }

    // Guards against a planner that stops, or that shuts out the accounts with valid weights.
    void weights_invalid_fleet_is_used()
    {
        const auto infinity = std::numeric_limits<double>::infinity();
        for (const double weight : {0.0, -1.0, 1e300, infinity, std::nan("")}) {
            account_load load{{.workers = 8}};
            load.set_weights({{"a", weight}, {"b", 1}}); // c has none
            const auto more = [&] {
                for (const auto& account : {"a", "b", "c"}) {
                    load.top_up(account, 200);
                }
            };
            load.run(2s, more);
            const auto used = load.run(3s, more);
            CPPUNIT_ASSERT_MESSAGE(text(used), used.at("a") + used.at("b") + used.at("c") >= 400);
            if (!(weight > 1 && weight < infinity)) {
                CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(text(used), 1, used.at("b") / used.at("c"),
                                                     0.1);
                CPPUNIT_ASSERT_MESSAGE(text(used), used.at("b") >= 130);
            }
            if (weight <= 0) {
                CPPUNIT_ASSERT_MESSAGE(text(used), used.at("a") <= 8);
            }
        }
    }

    // Guards against a new leader for which all accounts begin equal.
    void leader_changed_shares_hold_at_once()
    {
        const std::map<std::string, double> weights{{"a", 3}, {"b", 1}};
        account_load load{{.workers = 8}};
        load.set_weights(weights);
        const auto more = [&] {
            load.top_up("a", 300);
            load.top_up("b", 300);
        };
        load.run(3s, more);
        load.cell().change_leader();
        load.run(1'200ms, more);
        check_shares(load.run(10s, more), weights);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_share_test);

} // namespace
