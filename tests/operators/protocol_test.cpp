#include "lovagebeam/base/errors.h"
#include "lovagebeam/operators/protocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using operators::config_change;

class operators_protocol_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operators_protocol_test);
    CPPUNIT_TEST(decode_encoded_config_change_returns_original);
    CPPUNIT_TEST(decode_exception_without_reason_is_refused);
    CPPUNIT_TEST(decode_several_problems_reports_all);
    CPPUNIT_TEST_SUITE_END();

public:
    void decode_encoded_config_change_returns_original()
    {
        config_change change;
        change.call = {base::operation_id{"op-1"}, "ana", "busy season", base::config_version{7}};
        change.document.defaults.share = 2;
        change.document.defaults.max_deadline = std::chrono::milliseconds{5000};
        state::config_exception exception;
        exception.scope = "team:roster";
        exception.set.upper_limit_memory = base::bytes{1024};
        exception.set.open = false;
        exception.reason = "agreed with the desk";
        change.document.exceptions.push_back(exception);
        const auto decoded = operators::decode_config_change(operators::encode(change));
        CPPUNIT_ASSERT_MESSAGE(std::string{decoded.status().message()}, decoded.ok());
        CPPUNIT_ASSERT(decoded->document == change.document);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, decoded->call.expected.value());
    }

    void decode_exception_without_reason_is_refused()
    {
        const auto decoded = operators::decode_configuration(
            R"({"defaults":{},"exceptions":[{"scope":"team:a","set":{"share":2}}]})");
        CPPUNIT_ASSERT(base::has_code(decoded.status(), base::error_code::invalid_request));
        const std::string message{decoded.status().message()};
        CPPUNIT_ASSERT_MESSAGE(message, message.find("exceptions[0].reason") != std::string::npos);
    }

    // Guards against a decoder that stops at the first problem.
    void decode_several_problems_reports_all()
    {
        const auto decoded =
            operators::decode_configuration(R"({"defaults":{"share":0,"shar":1,"open":3}})");
        const std::string message{decoded.status().message()};
        CPPUNIT_ASSERT_MESSAGE(message, message.find("defaults.share") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(message,
                               message.find("did you mean \"share\"") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(message, message.find("defaults.open") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operators_protocol_test);

} // namespace
