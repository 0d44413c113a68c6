#include "lovagebeam/settings/process_settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace {

using namespace lovagebeam::settings;

std::string document(const std::string& old = "", const std::string& changed = "")
{
    std::string text = R"({"node_id":"n1","address":"10.0.0.1","failure_domain":"a",
        "callers":"10.0.0.1:8183","first_internal_port":7420,"last_internal_port":7435,
        "seeds":["10.0.0.1:8180"],"first_start":true,"tolerated_losses":1,"max_lease_ms":6000,
        "ack_timeout_ms":4000,"control_mode":"calls"})";
    if (!old.empty()) {
        text.replace(text.find(old), old.size(), changed);
    }
    return text;
}

class process_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_settings_test);
    CPPUNIT_TEST(parse_valid_document_is_read);
    CPPUNIT_TEST(parse_wrong_field_is_reported_with_its_path);
    CPPUNIT_TEST(parse_several_mistakes_reports_all);
    CPPUNIT_TEST_SUITE_END();

public:
    void parse_valid_document_is_read()
    {
        const auto result = parse_process_settings(document());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.problems.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{8183}, result.settings->callers->port);
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.1"}, result.settings->seeds.at(0).address);
        CPPUNIT_ASSERT(result.settings->is_first_start);
        CPPUNIT_ASSERT(result.settings->ack_timeout == std::chrono::milliseconds{4'000});
        const auto without = parse_process_settings(document(R"("ack_timeout_ms":4000,)", ""));
        CPPUNIT_ASSERT(without.settings->ack_timeout == std::chrono::milliseconds{5'000});
    }

    // Guards against a process that starts although one of its settings is invalid.
    void parse_wrong_field_is_reported_with_its_path()
    {
        const std::pair<std::string, std::string> mistakes[] = {
            {R"("callers":"10.0.0.1:8183")", R"("callers":"nowhere")"},
            {R"("seeds":["10.0.0.1:8180"])", R"("seeds":[5])"},
            {R"("last_internal_port":7435)", R"("last_internal_port":7421)"},
            {R"("control_mode":"calls")", R"("control_mode":"heartbeat")"},
            {R"("node_id":"n1")", R"("node_ids":"n1")"},
            {R"("ack_timeout_ms":4000)", R"("ack_timeout_ms":0)"},
            {R"("ack_timeout_ms":4000)", R"("ack_timeout_ms":"long")"},
        };
        const std::string paths[] = {"callers",       "seeds[0]", "last_internal_port",
                                     "control_mode",  "node_id",  "ack_timeout_ms",
                                     "ack_timeout_ms"};
        for (std::size_t i = 0; i < std::size(paths); ++i) {
            const auto result =
                parse_process_settings(document(mistakes[i].first, mistakes[i].second));
            CPPUNIT_ASSERT_MESSAGE(paths[i], !result.settings);
            CPPUNIT_ASSERT_MESSAGE(paths[i], std::ranges::any_of(result.problems, [&](auto& one) {
                                       return one.path == paths[i];
                                   }));
        }
    }

    void parse_several_mistakes_reports_all()
    {
        const auto result = parse_process_settings(R"({"address":5,"seeds":"x"})");
        CPPUNIT_ASSERT(!result.settings);
        CPPUNIT_ASSERT(result.problems.size() >= 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_settings_test);

} // namespace
