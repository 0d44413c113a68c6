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
    CPPUNIT_TEST(choose_seeds_with_disks_are_founders);
    CPPUNIT_TEST(choose_unknown_seed_leaves_it_open);
    CPPUNIT_TEST(choose_no_seed_with_disk_first_seed_alone_decides);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a first group with a voter that can't keep its vote.
    void choose_seeds_with_disks_are_founders()
    {
        const auto found = choose_initial_voters(
            m_seeds, {{"a", true}, {"b", false}, {"c", true}, {"d", true}}, "c", 0s);
        CPPUNIT_ASSERT(hosts({"a", "c"}) == found);
    }

    // Guards against two processes that found different groups.
    void choose_unknown_seed_leaves_it_open()
    {
        CPPUNIT_ASSERT(!choose_initial_voters(m_seeds, {{"a", true}, {"c", true}}, "a", 10s));
    }

    void choose_no_seed_with_disk_first_seed_alone_decides()
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
