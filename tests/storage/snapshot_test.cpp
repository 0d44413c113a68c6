#include "store_fixture.h"

namespace {

using lovagebeam::base::error_code;
using lovagebeam::consensus::log_index;

class snapshot_test : public lovagebeam::test::store_fixture {
    CPPUNIT_TEST_SUITE(snapshot_test);
    CPPUNIT_TEST(save_snapshot_is_recovered_and_replaces_older);
    CPPUNIT_TEST(append_between_parts_of_snapshot_is_kept);
    CPPUNIT_TEST(finish_wrong_bytes_is_corrupt_and_old_one_stays);
    CPPUNIT_TEST(begin_snapshot_gives_up_unfinished_one);
    CPPUNIT_TEST(snapshot_full_disk_can_be_repeated);
    CPPUNIT_TEST(open_damaged_snapshot_is_corrupt_with_file);
    CPPUNIT_TEST(compact_removes_covered_segments_only);
    CPPUNIT_TEST(install_beyond_log_end_resets_log);
    CPPUNIT_TEST(open_log_of_other_history_is_reset);
    CPPUNIT_TEST(snapshot_failed_sync_is_fatal);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_bytes = std::string(1000, 'a') + "end";

public:
    void save_snapshot_is_recovered_and_replaces_older()
    {
        open();
        assert_ok(m_store->append(entries(1, 20), std::nullopt));
        assert_ok(m_store->sync());
        assert_ok(m_store->save_snapshot(meta_of(5, 1, "older"), "older"));
        assert_ok(m_store->save_snapshot(meta_of(10, 1, m_bytes), m_bytes));
        assert_code(error_code::invalid_request,
                    m_store->save_snapshot(meta_of(10, 1, m_bytes), m_bytes));
        m_disk->restart();
        const auto found = open();
        CPPUNIT_ASSERT(found.snapshot == meta_of(10, 1, m_bytes));
        CPPUNIT_ASSERT(!m_disk->has("/data/snapshot-00000000000000000005"));
        std::string read;
        while (true) {
            const auto part = m_store->read_snapshot(log_index{10}, read.size(), 100);
            assert_ok(part.status());
            if (part->empty()) {
                break;
            }
            read += *part;
        }
        CPPUNIT_ASSERT_EQUAL(m_bytes, read);
        assert_code(error_code::not_found, m_store->read_snapshot(log_index{5}, 0, 1).status());
        assert_code(error_code::invalid_request, m_store->truncate_from(log_index{10}));
    }

    void append_between_parts_of_snapshot_is_kept()
    {
        open();
        assert_ok(m_store->append(entries(1, 3), std::nullopt));
        auto writer = m_store->begin_snapshot(meta_of(2, 1, m_bytes));
        assert_ok(writer.status());
        for (std::size_t at = 0; at < m_bytes.size(); at += 100) {
            assert_ok((*writer)->append(std::string_view{m_bytes}.substr(at, 100)));
            const std::uint64_t next = m_store->next_index().value();
            assert_ok(m_store->append(entries(next, next), std::nullopt));
            assert_ok(m_store->sync());
        }
        assert_ok((*writer)->finish());
        m_disk->restart();
        const auto found = open();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, found.snapshot.index.value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{14}, found.entries.back().index.value());
    }

    void finish_wrong_bytes_is_corrupt_and_old_one_stays()
    {
        open();
        assert_ok(m_store->append(entries(1, 9), std::nullopt));
        assert_ok(m_store->save_snapshot(meta_of(5, 1, "older"), "older"));
        assert_code(error_code::snapshot_corrupt,
                    m_store->save_snapshot(meta_of(6, 1, m_bytes), "other"));
        std::string damaged = m_bytes;
        damaged[500] = 'b';
        assert_code(error_code::snapshot_corrupt,
                    m_store->save_snapshot(meta_of(7, 1, m_bytes), damaged));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_store->snapshot().index.value());
        CPPUNIT_ASSERT(!m_store->has_failed());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, open().snapshot.index.value());
    }

    void begin_snapshot_gives_up_unfinished_one()
    {
        open();
        assert_ok(m_store->append(entries(1, 9), std::nullopt));
        auto first = m_store->begin_snapshot(meta_of(5, 1, m_bytes));
        assert_ok((*first)->append(m_bytes));
        auto second = m_store->begin_snapshot(meta_of(5, 1, m_bytes));
        assert_code(error_code::invalid_request, (*first)->append("x"));
        assert_code(error_code::invalid_request, (*first)->finish());
        assert_ok((*second)->append(m_bytes));
        assert_ok((*second)->finish());
        first->reset();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, open().snapshot.index.value());
    }

    void snapshot_full_disk_can_be_repeated()
    {
        open();
        assert_ok(m_store->append(entries(1, 9), std::nullopt));
        auto writer = m_store->begin_snapshot(meta_of(5, 1, m_bytes));
        assert_ok(writer.status());
        m_disk->set_free_bytes(300);
        assert_code(error_code::storage_full, (*writer)->append(m_bytes));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, (*writer)->size());
        m_disk->set_free_bytes(-1);
        assert_ok((*writer)->append(m_bytes));
        assert_ok((*writer)->finish());
        writer->reset();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, open().snapshot.index.value());
    }

    // Guards against starting from a state that differs from the other replicas.
    void open_damaged_snapshot_is_corrupt_with_file()
    {
        open();
        assert_ok(m_store->append(entries(1, 9), std::nullopt));
        assert_ok(m_store->save_snapshot(meta_of(5, 1, m_bytes), m_bytes));
        const std::string path = "/data/snapshot-00000000000000000005";
        const std::size_t size = m_disk->content(path).size();
        for (const std::size_t at : {std::size_t{2}, std::size_t{12}, std::size_t{20}, size - 1}) {
            m_disk->content(path)[at] ^= 4;
            const absl::Status status = open_failure();
            assert_code(error_code::snapshot_corrupt, status);
            assert_message_has(path + " offset ", status);
            m_disk->content(path)[at] ^= 4;
        }
        m_disk->content(path).resize(size - 1);
        assert_code(error_code::snapshot_corrupt, open_failure());
        assert_ok(m_disk->remove(path));
        open();
    }

    void compact_removes_covered_segments_only()
    {
        open();
        for (std::uint64_t i = 1; i <= 40; ++i) {
            assert_ok(m_store->append(entries(i, i), state_of(2)));
        }
        assert_ok(m_store->sync());
        assert_code(error_code::invalid_request, m_store->compact_to(log_index{20}));
        assert_ok(m_store->save_snapshot(meta_of(20, 1, "s"), "s"));
        assert_ok(m_store->compact_to(log_index{20}));
        CPPUNIT_ASSERT(!m_disk->has(first_segment));
        m_disk->restart();
        const auto found = open();
        CPPUNIT_ASSERT(found.entries.front().index.value() <= 21);
        CPPUNIT_ASSERT(found.entries.front().index.value() > 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, found.entries.back().index.value());
        CPPUNIT_ASSERT(found.hard_state == state_of(2));
        assert_ok(m_disk->remove("/data/snapshot-00000000000000000020"));
        assert_code(error_code::log_corrupt, open_failure());
    }

    void install_beyond_log_end_resets_log()
    {
        open();
        assert_ok(m_store->append(entries(1, 9), state_of(1)));
        assert_ok(m_store->save_snapshot(meta_of(50, 3, m_bytes), m_bytes));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, m_store->next_index().value());
        assert_ok(m_store->append(entries(51, 52, 3), std::nullopt));
        assert_ok(m_store->sync());
        m_disk->restart();
        const auto found = open();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, found.entries[0].index.value());
        CPPUNIT_ASSERT(found.hard_state == state_of(1));
    }

    // Guards against entries of a former leader that reappear after a received snapshot if the
    // process ends between installing the snapshot and resetting the log.
    void open_log_of_other_history_is_reset()
    {
        open();
        assert_ok(m_store->append(entries(1, 9, 1), std::nullopt));
        assert_ok(m_store->save_snapshot(meta_of(5, 4, m_bytes), m_bytes));
        m_disk->restart();
        CPPUNIT_ASSERT(open().entries.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, m_store->next_index().value());
        assert_ok(m_store->append(entries(6, 6, 4), std::nullopt));
        assert_ok(m_store->reset_log());
        assert_ok(m_store->append(entries(6, 7, 5), std::nullopt));
        assert_ok(m_store->sync());
        m_disk->restart();
        const auto found = open();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, found.entries[0].term.value());
    }

    void snapshot_failed_sync_is_fatal()
    {
        open();
        assert_ok(m_store->append(entries(1, 9), std::nullopt));
        m_disk->fail_sync_after(0);
        assert_code(error_code::storage_failed,
                    m_store->save_snapshot(meta_of(5, 1, m_bytes), m_bytes));
        assert_code(error_code::storage_failed, m_store->sync());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(snapshot_test);

} // namespace
