#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"
#include "lovagebeam/storage/file_system.h"

#include "decision_loop.h"
#include "storage_thread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace lovagebeam;
using namespace std::chrono_literals;

/// Refuses writes beyond the free space.
class limited_file : public storage::file {
public:
    limited_file(std::unique_ptr<storage::file> target, std::atomic<std::int64_t>& free)
        : m_target{std::move(target)}, m_free{free}
    {
    }

    absl::StatusOr<std::size_t> write_at(std::uint64_t offset, std::string_view bytes) override
    {
        const auto size = static_cast<std::int64_t>(bytes.size());
        if (m_free < size) {
            return base::make_error(base::error_code::storage_full, "no space");
        }
        m_free -= size;
        return m_target->write_at(offset, bytes);
    }
    absl::StatusOr<std::string> read_at(std::uint64_t offset, std::size_t size) override
    {
        return m_target->read_at(offset, size);
    }
    absl::Status truncate(std::uint64_t size) override { return m_target->truncate(size); }
    absl::Status sync() override { return m_target->sync(); }
    absl::StatusOr<std::uint64_t> size() override { return m_target->size(); }

private:
    std::unique_ptr<storage::file> m_target;
    std::atomic<std::int64_t>& m_free;
};

class limited_file_system : public storage::file_system {
public:
    std::atomic<std::int64_t> free_bytes = 1'000'000'000;

    absl::Status create_folder(const std::string& path) override
    {
        return m_target->create_folder(path);
    }
    absl::StatusOr<std::unique_ptr<storage::folder_lock>>
    lock_folder(const std::string& path) override
    {
        return m_target->lock_folder(path);
    }
    absl::StatusOr<std::vector<std::string>> list(const std::string& path) override
    {
        return m_target->list(path);
    }
    absl::StatusOr<std::unique_ptr<storage::file>> open(const std::string& path,
                                                        storage::open_mode mode) override
    {
        if (mode == storage::open_mode::create && free_bytes == 0) {
            return base::make_error(base::error_code::storage_full, "no space");
        }
        auto file = m_target->open(path, mode);
        if (!file.ok()) {
            return file.status();
        }
        return std::unique_ptr<storage::file>{
            std::make_unique<limited_file>(*std::move(file), free_bytes)};
    }
    absl::Status rename(const std::string& from, const std::string& to) override
    {
        return m_target->rename(from, to);
    }
    absl::Status remove(const std::string& path) override { return m_target->remove(path); }
    absl::Status sync_folder(const std::string& path) override
    {
        return m_target->sync_folder(path);
    }

private:
    std::unique_ptr<storage::file_system> m_target = storage::make_posix_file_system();
};

class disk_full_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(disk_full_test);
    CPPUNIT_TEST(disk_full_when_snapshot_begins_process_goes_on);
    CPPUNIT_TEST(disk_full_for_snapshot_log_is_still_written);
    CPPUNIT_TEST(disk_full_for_a_while_log_is_written_when_there_is_space);
    CPPUNIT_TEST(newer_snapshot_installed_unfinished_one_is_abandoned);
    CPPUNIT_TEST_SUITE_END();

    std::string m_folder;
    limited_file_system m_files;
    daemon::decision_loop m_loop{&base::boot_time};
    std::thread m_decisions;
    std::unique_ptr<daemon::storage_thread> m_writer;
    std::atomic<int> m_durable = 0;
    std::atomic<int> m_abandoned = 0;
    std::uint64_t m_next_index = 1;

    daemon::log_writer::done count(std::atomic<int>& counter)
    {
        return [&counter](base::time_point) { ++counter; };
    }

    void persist_entry()
    {
        consensus::persist_request request;
        request.entries.push_back({consensus::log_index{m_next_index++}, consensus::term{1},
                                   consensus::entry_kind::command, "entry"});
        m_writer->persist(std::move(request), count(m_durable));
    }

    static consensus::snapshot_meta meta_of(std::uint64_t index, const std::string& bytes)
    {
        consensus::snapshot_meta meta;
        meta.index = consensus::log_index{index};
        meta.term = consensus::term{1};
        meta.size = base::bytes{static_cast<std::int64_t>(bytes.size())};
        meta.checksum = storage::snapshot_checksum(bytes);
        return meta;
    }

    void save_snapshot(std::uint64_t index, std::size_t size)
    {
        const auto bytes = std::make_shared<const std::string>(size, 's');
        m_writer->save_snapshot(meta_of(index, *bytes), bytes, count(m_durable),
                                count(m_abandoned));
    }

    static bool is_reached(const std::atomic<int>& counter, int value)
    {
        const auto until = std::chrono::steady_clock::now() + 10s;
        while (counter < value && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(1ms);
        }
        return counter == value;
    }

public:
    void setUp() override
    {
        char name[] = "/tmp/lovagebeam-test-XXXXXX";
        m_folder = mkdtemp(name);
        storage::store_options options;
        options.fresh_incarnation = consensus::incarnation{1};
        auto opened = storage::log_store::open(m_files, m_folder + "/log", options);
        CPPUNIT_ASSERT(opened.ok());
        m_decisions = std::thread{[this] {
            m_loop.run({[](base::time_point) {}, [](base::time_point) {}});
        }};
        m_writer = std::make_unique<daemon::storage_thread>(std::move(opened->store), m_loop);
        for (int i = 0; i < 20; ++i) {
            persist_entry();
        }
        CPPUNIT_ASSERT(is_reached(m_durable, 20));
        m_durable = 0;
    }

    void tearDown() override
    {
        m_files.free_bytes = 1'000'000'000;
        m_writer.reset();
        m_loop.stop();
        m_decisions.join();
        std::filesystem::remove_all(m_folder);
    }

    // Guards against a process that ends because its disk is full when it begins a snapshot.
    void disk_full_when_snapshot_begins_process_goes_on()
    {
        m_files.free_bytes = 0;
        save_snapshot(10, 1'000);
        CPPUNIT_ASSERT(is_reached(m_abandoned, 1));
        m_files.free_bytes = 1'000'000;
        save_snapshot(10, 1'000);
        CPPUNIT_ASSERT(is_reached(m_durable, 1));
    }

    // Guards against changes that stay unanswered because a snapshot waits for space that the log
    // doesn't need.
    void disk_full_for_snapshot_log_is_still_written()
    {
        m_files.free_bytes = 100'000;
        save_snapshot(10, 10'000'000);
        persist_entry();
        CPPUNIT_ASSERT(is_reached(m_durable, 1));
        CPPUNIT_ASSERT(is_reached(m_abandoned, 1));
    }

    // Guards against changes that stay unanswered after a full disk has space again.
    void disk_full_for_a_while_log_is_written_when_there_is_space()
    {
        m_files.free_bytes = 0;
        for (int i = 0; i < 100; ++i) {
            persist_entry();
        }
        std::this_thread::sleep_for(500ms);
        CPPUNIT_ASSERT_EQUAL(0, m_durable.load());
        m_files.free_bytes = 1'000'000;
        CPPUNIT_ASSERT(is_reached(m_durable, 100));
    }

    // Guards against a host that never saves a snapshot again, because it waits for one that was
    // replaced while it was being written.
    void newer_snapshot_installed_unfinished_one_is_abandoned()
    {
        save_snapshot(10, 100'000'000);
        const auto bytes = std::make_shared<const std::string>(1'000, 'i');
        m_writer->install_snapshot(meta_of(30, *bytes), bytes, count(m_durable));
        CPPUNIT_ASSERT(is_reached(m_durable, 1));
        CPPUNIT_ASSERT(is_reached(m_abandoned, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(disk_full_test);

} // namespace
