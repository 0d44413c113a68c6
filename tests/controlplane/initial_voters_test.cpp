#include "initial_voters.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using lovagebeam::controlplane::choose_initial_voters;

using hosts = std::vector<std::string>;

class initial_voters_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(initial_voters_test);
    CPPUNIT_TEST(choose_seeds_with_disks_are_voters);
    CPPUNIT_TEST(choose_unknown_seed_makes_no_choice);
    CPPUNIT_TEST(choose_no_seed_with_disk_only_first_seed_chooses);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an initial voter without a disk, which can't persist its vote.
    void choose_seeds_with_disks_are_voters()
    {
        const auto found = choose_initial_voters(
            m_seeds, {{"a", true}, {"b", false}, {"c", true}, {"d", true}}, "c", 0s);
        CPPUNIT_ASSERT(hosts({"a", "c"}) == found);
    }

    // Guards against two processes that choose different initial voters.
    void choose_unknown_seed_makes_no_choice()
    {
        CPPUNIT_ASSERT(!choose_initial_voters(m_seeds, {{"a", true}, {"c", true}}, "a", 10s));
    }

    void choose_no_seed_with_disk_only_first_seed_chooses()
    {
        const std::map<std::string, bool> durable{
            {"a", false}, {"b", false}, {"c", false}, {"d", true}, {"e", true}};
        CPPUNIT_ASSERT(!choose_initial_voters(m_seeds, durable, "a", 1s));
        CPPUNIT_ASSERT(!choose_initial_voters(m_seeds, durable, "b", 10s));
        CPPUNIT_ASSERT(hosts({"d"}) == choose_initial_voters(m_seeds, durable, "a", 3s));
    }

private:
    hosts m_seeds{"a", "b", "c"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(initial_voters_test);

} // namespace
