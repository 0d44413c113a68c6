#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/storage/log_store.h"

#include "faulty_file_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace lovagebeam::test {

/// A store on a faulty file system, with helpers for entries and snapshots.
class store_fixture : public CppUnit::TestFixture {
protected:
    static constexpr const char* folder = "/data";
    static constexpr const char* first_segment = "/data/segment-00000000000000000001";

    storage::recovery_result open()
    {
        m_store.reset();
        auto found = storage::log_store::open(*m_disk, folder, m_options);
        assert_ok(found.status());
        m_store = std::move(found->store);
        return *std::move(found);
    }

    absl::Status open_failure()
    {
        m_store.reset();
        return storage::log_store::open(*m_disk, folder, m_options).status();
    }

    static consensus::log_entry entry(std::uint64_t index, std::uint64_t term,
                                      const std::string& payload)
    {
        return {consensus::log_index{index}, consensus::term{term}, consensus::entry_kind::command,
                payload};
    }

    /// Entries from `first` to `last`, inclusive.
    static std::vector<consensus::log_entry> entries(std::uint64_t first, std::uint64_t last,
                                                     std::uint64_t term = 1)
    {
        std::vector<consensus::log_entry> list;
        for (std::uint64_t i = first; i <= last; ++i) {
            list.push_back(entry(i, term, "payload " + std::to_string(i)));
        }
        return list;
    }

    static consensus::hard_state state_of(std::uint64_t term)
    {
        return {consensus::term{term},
                {base::node_id{"n1"}, consensus::incarnation{7}},
                consensus::group_id{9}};
    }

    static consensus::snapshot_meta meta_of(std::uint64_t index, std::uint64_t term,
                                            const std::string& bytes)
    {
        consensus::snapshot_meta meta;
        meta.index = consensus::log_index{index};
        meta.term = consensus::term{term};
        meta.config.voters.push_back({base::node_id{"n1"}, consensus::incarnation{7}});
        meta.size = base::bytes{static_cast<std::int64_t>(bytes.size())};
        meta.checksum = storage::snapshot_checksum(bytes);
        return meta;
    }

    static void assert_ok(const absl::Status& status)
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"ok"}, status.ok() ? "ok" : std::string{status.message()});
    }

    static void assert_code(base::error_code expected, const absl::Status& status)
    {
        const auto code = base::code_of(status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string{status.message()},
                                     std::string{base::name_of(expected)},
                                     code ? std::string{base::name_of(*code)} : "none");
    }

    static void assert_message_has(const std::string& text, const absl::Status& status)
    {
        const std::string message{status.message()};
        CPPUNIT_ASSERT_MESSAGE(message + " should have " + text,
                               message.find(text) != std::string::npos);
    }

    std::unique_ptr<faulty_file_system> m_disk = std::make_unique<faulty_file_system>(1);
    std::unique_ptr<storage::log_store> m_store;
    storage::store_options m_options{512, 64, consensus::incarnation{77}};
};

} // namespace lovagebeam::test
