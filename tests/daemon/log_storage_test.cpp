#include "lovagebeam/base/errors.h"

#include "log_storage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace {

using namespace lovagebeam;

class log_storage_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_storage_test);
    CPPUNIT_TEST(open_log_first_voters_agree_on_the_group);
    CPPUNIT_TEST(open_log_lost_folder_gets_another_identity);
    CPPUNIT_TEST(init_group_used_folder_is_refused);
    CPPUNIT_TEST_SUITE_END();

    std::string m_folder;
    std::unique_ptr<storage::file_system> m_files;

    settings::daemon_settings settings_of(const std::string& node) const
    {
        settings::daemon_settings result;
        result.node = base::node_id{node};
        result.data_folder = m_folder + "/" + node;
        for (const char* name : {"a", "b", "c"}) {
            settings::member member;
            member.node = base::node_id{name};
            member.role = settings::member_role::voter;
            result.members.push_back(member);
        }
        return result;
    }

    daemon::opened_log open(const std::string& node)
    {
        auto log = daemon::open_log(settings_of(node), *m_files, 1);
        CPPUNIT_ASSERT_MESSAGE(std::string{log.status().message()}, log.ok());
        return *std::move(log);
    }

public:
    void setUp() override
    {
        char name[] = "/tmp/lovagebeam-test-XXXXXX";
        m_folder = mkdtemp(name);
        m_files = storage::make_posix_file_system();
    }

    void tearDown() override { std::filesystem::remove_all(m_folder); }

    void open_log_first_voters_agree_on_the_group()
    {
        for (const char* node : {"a", "b"}) {
            CPPUNIT_ASSERT(daemon::init_group(settings_of(node), *m_files).ok());
        }
        const auto a = open("a");
        const auto b = open("b");
        CPPUNIT_ASSERT(a.snapshot.config == b.snapshot.config);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, a.snapshot.config.voters.size());
        CPPUNIT_ASSERT(a.snapshot.config.voters.front() == a.identity);
    }

    // Guards against a host voting twice in a term after losing its data folder.
    void open_log_lost_folder_gets_another_identity()
    {
        CPPUNIT_ASSERT(daemon::init_group(settings_of("a"), *m_files).ok());
        const auto before = open("a").identity;
        CPPUNIT_ASSERT(before == open("a").identity);
        std::filesystem::remove_all(m_folder + "/a");
        const auto after = open("a");
        CPPUNIT_ASSERT(before != after.identity);
        CPPUNIT_ASSERT(after.snapshot.config.voters.empty());
    }

    void init_group_used_folder_is_refused()
    {
        CPPUNIT_ASSERT(daemon::init_group(settings_of("a"), *m_files).ok());
        const auto status = daemon::init_group(settings_of("a"), *m_files);
        CPPUNIT_ASSERT(base::has_code(status, base::error_code::already_exists));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_storage_test);

} // namespace
