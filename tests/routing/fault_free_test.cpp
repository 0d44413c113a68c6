#include "sim_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::test;

routing::caller_request request(const std::string& team, const std::string& key = "",
                                const std::string& work_key = "", bool repeatable = true)
{
    routing::caller_request result;
    result.team = base::team_id{team};
    result.key = base::idempotency_key{key};
    result.work_key = base::work_key{work_key};
    result.timeout = 900ms;
    result.repeatable = repeatable;
    return result;
}

class fault_free_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fault_free_test);
    CPPUNIT_TEST(router_no_faults_completes_every_request);
    CPPUNIT_TEST(router_repeat_of_key_attaches_and_runs_once);
    CPPUNIT_TEST(router_work_that_may_not_be_repeated_completes);
    CPPUNIT_TEST(router_result_query_returns_state);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that are lost between entry table, team owner and target home.
    void router_no_faults_completes_every_request()
    {
        sim_cluster cluster{{}};
        cluster.run_for(1s);
        for (std::uint32_t i = 0; i < 300; ++i) {
            cluster.call(i % 3, request("team" + std::to_string(i % 4), "",
                                        i % 5 == 0 ? "w" + std::to_string(i % 10) : ""));
            cluster.run_for(2ms);
        }
        cluster.run_for(2s);
        cluster.check_answers();
        for (const auto& [caller, record] : cluster.ground_truth().requests) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE("caller " + std::to_string(caller), std::string{},
                                         record.code);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{300}, cluster.count(routing::outcome::completed));
    }

    // Guards against a second execution when a caller repeats a request during or after the first.
    void router_repeat_of_key_attaches_and_runs_once()
    {
        sim_cluster cluster{{}};
        cluster.run_for(1s);
        for (std::uint32_t i = 0; i < 9; ++i) {
            cluster.call(i % 3, request("team", "same"));
            cluster.run_for(i < 5 ? 1ms : 100ms);
        }
        cluster.run_for(1s);
        cluster.check_answers();
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, cluster.count(routing::outcome::completed));
        CPPUNIT_ASSERT_EQUAL(1, cluster.ground_truth().starts_of_key["team|same"]);
    }

    // Guards against a reservation that is not started after its intent is committed.
    void router_work_that_may_not_be_repeated_completes()
    {
        sim_cluster cluster{{}};
        cluster.run_for(1s);
        for (std::uint32_t i = 0; i < 30; ++i) {
            cluster.call(i % 3, request("team", "k" + std::to_string(i), "", false));
            cluster.run_for(5ms);
        }
        cluster.run_for(1s);
        cluster.check_answers();
        CPPUNIT_ASSERT_EQUAL(std::size_t{30}, cluster.count(routing::outcome::completed));
    }

    // Guards against a result query that returns the wrong state of a known or an unknown key.
    void router_result_query_returns_state()
    {
        sim_cluster cluster{{}};
        cluster.run_for(1s);
        cluster.call(0, request("team", "known"));
        cluster.run_for(200ms);
        cluster.query(1, 1001, "team", "known");
        cluster.query(2, 1002, "team", "other");
        cluster.run_for(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.query_answers.size());
        for (const auto& answer : cluster.query_answers) {
            const bool is_known = answer.caller.value() == 1001;
            CPPUNIT_ASSERT(answer.state == (is_known ? routing::result_state::completed
                                                     : routing::result_state::not_found));
            CPPUNIT_ASSERT_EQUAL(is_known, answer.body.starts_with("answer:team|known|"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_free_test);

} // namespace
