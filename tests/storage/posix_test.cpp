#include "store_fixture.h"

#include <filesystem>
#include <unistd.h>

namespace {

using lovagebeam::base::error_code;
using lovagebeam::consensus::log_index;
using lovagebeam::storage::file_system;
using lovagebeam::storage::log_store;
using lovagebeam::storage::make_posix_file_system;
using lovagebeam::storage::open_mode;
using lovagebeam::storage::recovery_result;

class posix_test : public lovagebeam::test::store_fixture {
    CPPUNIT_TEST_SUITE(posix_test);
    CPPUNIT_TEST(store_on_real_files_recovers_log_and_snapshot);
    CPPUNIT_TEST(open_folder_in_use_is_refused);
    CPPUNIT_TEST(calls_on_missing_files_are_typed);
    CPPUNIT_TEST_SUITE_END();

    recovery_result open_real()
    {
        auto found = log_store::open(*m_files, m_path, m_options);
        assert_ok(found.status());
        return *std::move(found);
    }

    std::unique_ptr<file_system> m_files = make_posix_file_system();
    const std::string m_path = (std::filesystem::temp_directory_path() /
                                ("lovagebeam_storage_test." + std::to_string(::getpid())))
                                   .string();

public:
    void setUp() override { std::filesystem::remove_all(m_path); }
    void tearDown() override { std::filesystem::remove_all(m_path); }

    void store_on_real_files_recovers_log_and_snapshot()
    {
        const std::string bytes(5000, 's');
        {
            const recovery_result found = open_real();
            CPPUNIT_ASSERT(found.is_new);
            for (std::uint64_t i = 1; i <= 40; ++i) {
                assert_ok(found.store->append(entries(i, i), state_of(i)));
                assert_ok(found.store->sync());
            }
            assert_ok(found.store->save_snapshot(meta_of(30, 1, bytes), bytes));
            assert_ok(found.store->compact_to(log_index{30}));
        }
        const recovery_result found = open_real();
        CPPUNIT_ASSERT(!found.is_new);
        CPPUNIT_ASSERT(found.snapshot == meta_of(30, 1, bytes));
        CPPUNIT_ASSERT(found.entries.back() == entry(40, 1, "payload 40"));
        CPPUNIT_ASSERT(found.hard_state == state_of(40));
        const auto read = found.store->read_snapshot(log_index{30}, 4000, 5000);
        assert_ok(read.status());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1000}, read->size());
    }

    // Guards against two processes writing to the same log.
    void open_folder_in_use_is_refused()
    {
        const recovery_result found = open_real();
        assert_code(error_code::in_use, log_store::open(*m_files, m_path, m_options).status());
    }

    void calls_on_missing_files_are_typed()
    {
        const std::string missing = m_path + "/none";
        assert_code(error_code::not_found, m_files->open(missing, open_mode::existing).status());
        assert_code(error_code::not_found, m_files->list(missing).status());
        assert_code(error_code::not_found, m_files->remove(missing));
        assert_code(error_code::not_found, m_files->rename(missing, m_path));
        assert_code(error_code::not_found, m_files->sync_folder(missing));
        // The parent folder must exist: a mistyped setting must not create a tree of folders.
        assert_code(error_code::not_found, m_files->create_folder(missing));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(posix_test);

} // namespace
