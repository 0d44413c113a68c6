#include "random_run.h"
#include "support/seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::test;

class random_runs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(random_runs_test);
    CPPUNIT_TEST(router_all_faults_keeps_guarantees);
    CPPUNIT_TEST(router_planned_changes_run_each_key_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against sequences of lost messages, pauses, crashes, partitions and failing targets
    // that violate a guarantee or leave a caller without an answer.
    void router_all_faults_keeps_guarantees()
    {
        std::size_t completed = 0;
        std::size_t not_run = 0;
        std::size_t unknown = 0;
        const std::uint64_t runs = seeds().runs_or(1000);
        for (std::uint64_t seed = seeds().first; seed < seeds().first + runs; ++seed) {
            random_run run{seed, fault_mix::all};
            run_one(run, seed);
            completed += run.cluster().count(routing::outcome::completed);
            not_run += run.cluster().count(routing::outcome::not_run);
            unknown += run.cluster().count(routing::outcome::unknown);
        }
        std::cout << " runs=" << runs << " completed=" << completed << " not_run=" << not_run
                  << " unknown=" << unknown << std::flush;
        CPPUNIT_ASSERT(completed > 0);
    }

    // Guards against results and locks that are lost when planned changes move teams and targets.
    // Then a repeated request would run a second time and in-flight work would be interrupted.
    void router_planned_changes_run_each_key_once()
    {
        const std::uint64_t runs = std::max<std::uint64_t>(1, seeds().runs_or(1000) / 10);
        for (std::uint64_t seed = seeds().first; seed < seeds().first + runs; ++seed) {
            random_run run{seed, fault_mix::planned};
            run_one(run, seed);
            for (const auto& [key, starts] : run.cluster().ground_truth().starts_of_key) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE("seed=" + std::to_string(seed) + " starts of " + key,
                                             1, starts);
            }
            for (const auto& [caller, record] : run.cluster().ground_truth().requests) {
                CPPUNIT_ASSERT_MESSAGE("seed=" + std::to_string(seed) + " interrupted caller " +
                                           std::to_string(caller) + " code=" + record.code,
                                       record.answers == 0 ||
                                           record.result != routing::outcome::unknown);
            }
        }
    }

private:
    static void run_one(random_run& run, std::uint64_t seed)
    {
        print_seed_on_abort(seed);
        try {
            run.run();
        }
        catch (const guarantee_violation& error) {
            CPPUNIT_FAIL("seed=" + std::to_string(seed) + " " + error.what());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_runs_test);

} // namespace
