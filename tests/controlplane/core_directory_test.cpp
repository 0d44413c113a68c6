#include "core_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace lovagebeam;
using namespace std::chrono_literals;
using controlplane::core_directory;

using addresses = std::set<std::string>;

class core_directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_directory_test);
    CPPUNIT_TEST(address_named_by_others_is_called_and_not_passed_on);
    CPPUNIT_TEST(address_heard_is_passed_on_until_it_is_silent);
    CPPUNIT_TEST(next_all_but_skipped_take_turns);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the address of a host that is gone, which processes without a group keep alive
    // by naming it to each other.
    void address_named_by_others_is_called_and_not_passed_on()
    {
        m_directory.on_named(m_now, "gone");
        CPPUNIT_ASSERT(addresses({"gone", "seed", "self"}) == m_directory.known(m_now));
        CPPUNIT_ASSERT(addresses({"self"}) == m_directory.confirmed(m_now));
        CPPUNIT_ASSERT(addresses({"seed", "self"}) == m_directory.known(m_now + 1h));
    }

    void address_heard_is_passed_on_until_it_is_silent()
    {
        m_directory.set_members({"member"});
        m_directory.on_heard(m_now, "learner");
        CPPUNIT_ASSERT(addresses({"learner", "member", "self"}) == m_directory.confirmed(m_now));
        CPPUNIT_ASSERT(addresses({"member", "self"}) == m_directory.confirmed(m_now + 1h));
    }

    // Guards against processes that are never told of a leader, because all hellos go to it.
    void next_all_but_skipped_take_turns()
    {
        m_directory.set_members({"a", "b", "leader", "self"});
        addresses called;
        for (int i = 0; i < 3; ++i) {
            called.insert(m_directory.next(m_now, "leader"));
        }
        CPPUNIT_ASSERT(addresses({"a", "b", "seed"}) == called);
    }

private:
    base::time_point m_now{1h};
    core_directory m_directory{"self", {"seed"}, 7};
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_directory_test);

} // namespace
