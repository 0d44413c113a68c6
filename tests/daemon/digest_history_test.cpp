#include "digest_history.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using lovagebeam::daemon::digest_history;

class digest_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(digest_history_test);
    CPPUNIT_TEST(contradicts_same_index_compares_digests);
    CPPUNIT_TEST(contradicts_unknown_index_is_false);
    CPPUNIT_TEST(latest_replicas_pick_the_same_indices);
    CPPUNIT_TEST_SUITE_END();

public:
    void contradicts_same_index_compares_digests()
    {
        digest_history history;
        history.record(64, 5);
        CPPUNIT_ASSERT(!history.contradicts({64, 5}));
        CPPUNIT_ASSERT(history.contradicts({64, 6}));
    }

    // Guards against aborting a replica only because it is ahead or far behind.
    void contradicts_unknown_index_is_false()
    {
        digest_history history;
        history.record(64, 5);
        CPPUNIT_ASSERT(!history.contradicts({128, 6}));
        CPPUNIT_ASSERT(!history.contradicts({0, 0}));
    }

    // Replicas start at different indices after a snapshot, and apply batches of different sizes.
    void latest_replicas_pick_the_same_indices()
    {
        digest_history from_start;
        digest_history from_snapshot;
        for (std::uint64_t index = 1; index <= 200; ++index) {
            from_start.record(index, index * 3);
        }
        for (std::uint64_t index = 101; index <= 200; ++index) {
            from_snapshot.record(index, index * 3);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{192}, from_start.latest()->index);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{192}, from_snapshot.latest()->index);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(digest_history_test);

} // namespace
