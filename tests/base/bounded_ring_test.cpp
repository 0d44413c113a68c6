#include "lovagebeam/base/bounded_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

namespace {

using lovagebeam::base::bounded_ring;

class bounded_ring_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bounded_ring_test);
    CPPUNIT_TEST(try_push_full_ring_leaves_item_with_producer);
    CPPUNIT_TEST(pop_until_closed_ring_returns_accepted_items_first);
    CPPUNIT_TEST(try_push_several_producers_each_item_is_popped_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void try_push_full_ring_leaves_item_with_producer()
    {
        bounded_ring<std::unique_ptr<int>> ring{1};
        CPPUNIT_ASSERT(ring.try_push(std::make_unique<int>(1)));
        auto second = std::make_unique<int>(2);
        CPPUNIT_ASSERT(!ring.try_push(std::move(second)));
        // NOLINTNEXTLINE(bugprone-use-after-move): a rejected item must not be moved from.
        CPPUNIT_ASSERT(second != nullptr);
        CPPUNIT_ASSERT_EQUAL(1, **ring.try_pop());
    }

    void pop_until_closed_ring_returns_accepted_items_first()
    {
        bounded_ring<int> ring{2};
        CPPUNIT_ASSERT(ring.try_push(7));
        ring.close();
        CPPUNIT_ASSERT(!ring.try_push(8));
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::minutes{1};
        CPPUNIT_ASSERT_EQUAL(7, ring.pop_until(deadline).value_or(0));
        CPPUNIT_ASSERT(!ring.pop_until(deadline).has_value());
    }

    void try_push_several_producers_each_item_is_popped_once()
    {
        constexpr int producers = 4;
        constexpr int items_each = 2000;
        bounded_ring<int> ring{16};
        std::vector<std::thread> threads;
        for (int producer = 0; producer < producers; ++producer) {
            threads.emplace_back([&ring, producer] {
                for (int i = 0; i < items_each; ++i) {
                    while (!ring.try_push(producer * items_each + i)) {
                        std::this_thread::yield();
                    }
                }
            });
        }
        std::vector<int> seen(producers * items_each, 0);
        for (std::size_t i = 0; i < seen.size(); ++i) {
            const auto deadline = std::chrono::steady_clock::now() + std::chrono::minutes{1};
            ++seen.at(static_cast<std::size_t>(ring.pop_until(deadline).value()));
        }
        for (auto& thread : threads) {
            thread.join();
        }
        CPPUNIT_ASSERT(std::vector<int>(seen.size(), 1) == seen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bounded_ring_test);

} // namespace
