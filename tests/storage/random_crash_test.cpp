#include "lovagebeam/base/random_source.h"

#include "store_fixture.h"
#include "support/seed.h"

#include <cppunit/Asserter.h>

#include <algorithm>
#include <optional>

namespace {

using lovagebeam::base::error_code;
using lovagebeam::base::has_code;
using lovagebeam::base::random_source;
using lovagebeam::consensus::hard_state;
using lovagebeam::consensus::log_entry;
using lovagebeam::consensus::log_index;
using lovagebeam::consensus::persist_request;
using lovagebeam::consensus::snapshot_meta;
using lovagebeam::storage::recovery_result;
using lovagebeam::test::faulty_file_system;
using lovagebeam::test::power_loss;

/// The expected content of a store.
struct content {
    std::vector<log_entry> entries; // all since index 1 or since the last reset
    hard_state state;
    std::uint64_t next = 1;

    void truncate(std::uint64_t index)
    {
        std::erase_if(entries, [index](const log_entry& e) { return e.index.value() >= index; });
        next = std::min(next, index);
    }

    /// Returns whether `found` has this content, except for entries that its snapshot covers.
    [[nodiscard]] bool matches(const recovery_result& found) const
    {
        const auto tail = [&found](const std::vector<log_entry>& list) {
            std::vector<log_entry> result;
            std::ranges::copy_if(list, std::back_inserter(result), [&found](const log_entry& e) {
                return e.index > found.snapshot.index;
            });
            return result;
        };
        return found.hard_state == state && tail(found.entries) == tail(entries);
    }
};

class random_crash_test : public lovagebeam::test::store_fixture {
    CPPUNIT_TEST_SUITE(random_crash_test);
    CPPUNIT_TEST(store_power_loss_at_any_call_keeps_synced_and_a_prefix_of_the_rest);
    CPPUNIT_TEST_SUITE_END();

    /// Runs one seed: rounds of random operations, each ended by a power loss or another failure.
    class run {
    public:
        explicit run(random_crash_test& test, std::uint64_t seed)
            : m_test{test}, m_seed{seed}, m_random{seed}
        {
            m_test.m_store.reset();
            m_test.m_disk = std::make_unique<faulty_file_system>(seed * 31);
            m_test.m_options.segment_bytes = m_random.between(100, 2000);
            m_states.push_back({});
        }

        void execute()
        {
            const std::uint64_t rounds = m_random.between(2, 6);
            for (std::uint64_t i = 0; i < rounds; ++i) {
                if (start()) {
                    plan_failure();
                    work();
                }
                m_writer.reset();
                m_test.m_store.reset();
                m_test.m_disk->restart();
            }
            check(reopen());
        }

    private:
        void fail(const std::string& text) const
        {
            CPPUNIT_FAIL("seed " + std::to_string(m_seed) + ": " + text);
        }

        /// Opens the store, possibly losing power again.
        bool start()
        {
            if (m_random.chance(0.2)) {
                m_test.m_disk->fail_power_after(m_random.below(8));
            }
            try {
                check(reopen());
                return true;
            }
            catch (const power_loss&) {
                return false;
            }
        }

        recovery_result reopen()
        {
            const auto& options = m_test.m_options;
            m_test.m_store.reset();
            auto found = lovagebeam::storage::log_store::open(*m_test.m_disk, folder, options);
            if (!found.ok() && !m_test.m_disk->is_powered()) {
                throw power_loss{};
            }
            if (!found.ok()) {
                fail(std::string{found.status().message()});
            }
            m_test.m_store = std::move(found->store);
            return *std::move(found);
        }

        void plan_failure()
        {
            if (m_random.chance(0.8)) {
                m_test.m_disk->fail_power_after(m_random.below(60));
            }
            if (m_random.chance(0.15)) {
                m_test.m_disk->fail_sync_after(m_random.below(12));
            }
        }

        void check(const recovery_result& found)
        {
            if (found.snapshot.index != m_snapshot.index &&
                (!m_next_snapshot || !(found.snapshot == *m_next_snapshot))) {
                fail("snapshot at " + std::to_string(found.snapshot.index.value()) + ", not " +
                     std::to_string(m_snapshot.index.value()));
            }
            const auto match = std::ranges::find_if(
                m_states, [&found](const content& state) { return state.matches(found); });
            if (match == m_states.end()) {
                fail("found " + std::to_string(found.entries.size()) + " entries, term " +
                     std::to_string(found.hard_state.term.value()) + ", which is none of " +
                     std::to_string(m_states.size()) + " allowed states; synced were " +
                     std::to_string(m_states.front().entries.size()) + " entries, term " +
                     std::to_string(m_states.front().state.term.value()));
            }
            // Content that a store reported when it was opened must not be lost later.
            content state = *match;
            state.next = std::max(found.snapshot.index.value() + 1, state.next);
            m_states = {std::move(state)};
            m_snapshot = found.snapshot;
            m_next_snapshot.reset();
            const std::uint64_t next = m_test.m_store->next_index().value();
            if (next != m_states.back().next) {
                fail("next index " + std::to_string(next) + ", not " +
                     std::to_string(m_states.back().next));
            }
        }

        void work()
        {
            try {
                for (int i = 0; i < 40 && !m_test.m_store->has_failed(); ++i) {
                    step();
                }
            }
            catch (const power_loss&) { // NOLINT(bugprone-empty-catch): the round ends here.
            }
        }

        void step()
        {
            const std::uint64_t choice = m_random.below(100);
            if (choice < 55) {
                persist();
            }
            else if (choice < 80) {
                if (m_test.m_store->sync().ok()) {
                    m_states = {m_states.back()};
                }
            }
            else if (choice < 90) {
                snapshot();
            }
            else if (choice < 95) {
                m_test.m_disk->set_free_bytes(
                    m_random.chance(0.5) ? static_cast<std::int64_t>(m_random.below(400)) : -1);
            }
            else if (m_test.m_store->compact_to(m_snapshot.index).ok()) {
                // Compaction must not change what is recovered.
                return;
            }
        }

        persist_request make_request()
        {
            persist_request request;
            std::uint64_t next = m_states.back().next;
            const std::uint64_t lowest = m_snapshot.index.value() + 1;
            if (m_random.chance(0.2) && next > lowest) {
                next = m_random.between(std::max(lowest, next > 4 ? next - 4 : 1), next - 1);
                request.truncate_from = log_index{next};
            }
            const std::uint64_t count = m_random.below(4);
            for (std::uint64_t i = 0; i < count; ++i) {
                request.entries.push_back(
                    entry(next + i, m_term, std::string(m_random.below(80), 'e')));
            }
            if (m_random.chance(0.3)) {
                request.hard_state = state_of(++m_term);
            }
            return request;
        }

        /// Adds the state after each record of the request.
        void add_states(const persist_request& request)
        {
            content state = m_states.back();
            if (request.truncate_from) {
                state.truncate(request.truncate_from->value());
                m_states.push_back(state);
            }
            for (const log_entry& one : request.entries) {
                state.entries.push_back(one);
                state.next = one.index.value() + 1;
                m_states.push_back(state);
            }
            if (request.hard_state) {
                state.state = *request.hard_state;
            }
            m_states.push_back(state);
        }

        void persist()
        {
            const persist_request request = make_request();
            const std::vector<content> before = m_states;
            add_states(request);
            const absl::Status status = m_test.m_store->persist(request);
            if (has_code(status, error_code::storage_full)) {
                // A rejected request must not be written, not even partly.
                m_states = before;
            }
            else if (!status.ok() && !m_test.m_store->has_failed()) {
                fail(std::string{status.message()});
            }
        }

        /// Starts a snapshot at the last index of the log, or writes and finishes the one in
        /// progress.
        void snapshot()
        {
            if (m_writer == nullptr) {
                const content last = m_states.back();
                if (last.entries.empty() || last.entries.back().index <= m_snapshot.index) {
                    return;
                }
                m_bytes = std::string(m_random.below(300), 's');
                const log_entry covered = last.entries.back();
                // A snapshot covers only entries that are committed, and so durable.
                if (!m_test.m_store->sync().ok()) {
                    return;
                }
                m_states = {last};
                m_pending = meta_of(covered.index.value(), covered.term.value(), m_bytes);
                auto writer = m_test.m_store->begin_snapshot(m_pending);
                if (writer.ok()) {
                    m_writer = *std::move(writer);
                }
                return;
            }
            if (!is_covered_entry_present()) {
                m_writer.reset();
                return;
            }
            if (m_writer->size() == 0 && !m_writer->append(m_bytes).ok()) {
                return;
            }
            m_next_snapshot = m_pending;
            if (m_writer->finish().ok()) {
                m_snapshot = m_pending;
                m_next_snapshot.reset();
            }
            m_writer.reset();
        }

        /// A truncation may have removed what the snapshot covers; consensus never does that.
        [[nodiscard]] bool is_covered_entry_present() const
        {
            return std::ranges::all_of(m_states, [this](const content& state) {
                return std::ranges::any_of(state.entries, [this](const log_entry& e) {
                    return e.index == m_pending.index && e.term == m_pending.term;
                });
            });
        }

        random_crash_test& m_test;
        std::uint64_t m_seed;
        random_source m_random;
        std::uint64_t m_term = 1;
        std::vector<content> m_states; // the first is synced; any of them may be recovered
        snapshot_meta m_snapshot;
        std::optional<snapshot_meta> m_next_snapshot; // may or may not be recovered
        snapshot_meta m_pending;
        std::string m_bytes;
        std::unique_ptr<lovagebeam::storage::snapshot_writer> m_writer;
    };

public:
    // Guards against losing data that was reported as durable, and against recovering a write
    // without the previous ones, after a power loss, a failed sync or a full disk.
    void store_power_loss_at_any_call_keeps_synced_and_a_prefix_of_the_rest()
    {
        const auto& seeds = lovagebeam::test::seeds();
        for (std::uint64_t i = 0; i < seeds.runs_or(3000); ++i) {
            run{*this, seeds.first + i}.execute();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_crash_test);

} // namespace
