#include "lovagebeam/settings/daemon_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace {

using lovagebeam::settings::parse_daemon_settings;
using lovagebeam::settings::problem;

std::string member_text(const std::string& node, int port, const std::string& extra)
{
    return R"({"node_id":")" + node + R"(","failure_domain":"d1","peers":{"address":"127.0.0.1",)" +
           R"("port":)" + std::to_string(port) + R"(},"callers":{"address":"127.0.0.1","port":)" +
           std::to_string(port + 1) + "}" + extra + "}";
}

std::string document(const std::string& fields, const std::string& members)
{
    return R"({"node_id":"n1","cluster_secret_file":"s","operator_credential_file":"o",)" + fields +
           R"("members":[)" + members + "]}";
}

class daemon_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(daemon_settings_test);
    CPPUNIT_TEST(parse_valid_document_has_no_problems);
    CPPUNIT_TEST(parse_several_mistakes_reports_each_with_its_path);
    CPPUNIT_TEST(parse_misspelled_field_names_the_nearest_one);
    CPPUNIT_TEST(parse_voter_without_data_folder_is_refused);
    CPPUNIT_TEST(parse_member_listed_twice_is_refused);
    CPPUNIT_TEST(parse_broken_json_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static bool has(const std::vector<problem>& problems, const std::string& path,
                    const std::string& text)
    {
        return std::ranges::any_of(problems, [&](const problem& found) {
            return found.path == path && found.message.find(text) != std::string::npos;
        });
    }

public:
    void parse_valid_document_has_no_problems()
    {
        const auto result = parse_daemon_settings(
            document(R"("data_folder":"d",)", member_text("n1", 9000, R"(,"voter":true)")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.problems.size());
        CPPUNIT_ASSERT_EQUAL(9000, int{result.settings.value().self().peers.port});
    }

    // Guards against a parser that stops at the first problem.
    void parse_several_mistakes_reports_each_with_its_path()
    {
        const auto result = parse_daemon_settings(
            document(R"("data_folder":7,)", member_text("n1", 70000, R"(,"voter":"yes")")));
        CPPUNIT_ASSERT(!result.settings.has_value());
        CPPUNIT_ASSERT(has(result.problems, "data_folder", "must be a string"));
        CPPUNIT_ASSERT(has(result.problems, "members[0].peers.port", "between 1 and 65535"));
        CPPUNIT_ASSERT(has(result.problems, "members[0].voter", "true or false"));
    }

    void parse_misspelled_field_names_the_nearest_one()
    {
        const auto result =
            parse_daemon_settings(document(R"("data_foldr":"d",)", member_text("n1", 9000, "")));
        CPPUNIT_ASSERT(has(result.problems, "data_foldr", "did you mean \"data_folder\"?"));
    }

    void parse_voter_without_data_folder_is_refused()
    {
        const auto result =
            parse_daemon_settings(document("", member_text("n1", 9000, R"(,"voter":true)")));
        CPPUNIT_ASSERT(has(result.problems, "data_folder", "this host is a voter"));
    }

    void parse_member_listed_twice_is_refused()
    {
        const std::string one = member_text("n1", 9000, R"(,"voter":true)");
        const auto result =
            parse_daemon_settings(document(R"("data_folder":"d",)", one + "," + one));
        CPPUNIT_ASSERT(has(result.problems, "members[1].node_id", "listed twice"));
    }

    void parse_broken_json_is_refused()
    {
        const auto result = parse_daemon_settings("{\"node_id\":");
        CPPUNIT_ASSERT(!result.settings.has_value());
        CPPUNIT_ASSERT(has(result.problems, "", "isn't valid JSON"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_settings_test);

} // namespace
