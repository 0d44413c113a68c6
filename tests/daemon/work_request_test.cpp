#include "lovagebeam/base/errors.h"

#include "work_request.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace lovagebeam;
using callers::http_request;

http_request with(std::vector<callers::http_header> headers)
{
    http_request request;
    request.method = "POST";
    request.target = "/v1/work";
    request.headers = std::move(headers);
    request.body = "body";
    return request;
}

class work_request_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(work_request_test);
    CPPUNIT_TEST(decode_work_without_headers_takes_the_defaults);
    CPPUNIT_TEST(decode_work_all_headers_are_read);
    CPPUNIT_TEST(decode_work_wrong_value_names_the_header);
    CPPUNIT_TEST(decode_work_unrepeatable_without_key_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void decode_work_without_headers_takes_the_defaults()
    {
        auto request = with({});
        const auto work = daemon::decode_work(request);
        CPPUNIT_ASSERT(work.ok());
        CPPUNIT_ASSERT(work->priority == routing::work_class::interactive);
        CPPUNIT_ASSERT(work->repeatable);
        CPPUNIT_ASSERT(work->timeout == std::chrono::seconds{10});
        CPPUNIT_ASSERT_EQUAL(std::string{"body"}, work->body);
    }

    void decode_work_all_headers_are_read()
    {
        auto request = with({{"lovagebeam-class", "urgent"},
                             {"Lovagebeam-Deadline-Ms", "250"},
                             {"Lovagebeam-Repeatable", "false"},
                             {"Idempotency-Key", "k1"},
                             {"Lovagebeam-Work-Key", "w1"}});
        const auto work = daemon::decode_work(request);
        CPPUNIT_ASSERT(work.ok());
        CPPUNIT_ASSERT(work->priority == routing::work_class::urgent);
        CPPUNIT_ASSERT(!work->repeatable);
        CPPUNIT_ASSERT(work->timeout == std::chrono::milliseconds{250});
        CPPUNIT_ASSERT_EQUAL(std::string{"k1"}, work->key.str());
        CPPUNIT_ASSERT_EQUAL(std::string{"w1"}, work->work_key.str());
    }

    // Guards against silently replacing an invalid value by a default.
    void decode_work_wrong_value_names_the_header()
    {
        const std::vector<callers::http_header> wrong{{"Lovagebeam-Class", "asap"},
                                                      {"Lovagebeam-Deadline-Ms", "0"},
                                                      {"Lovagebeam-Deadline-Ms", "5s"},
                                                      {"Lovagebeam-Repeatable", "no"},
                                                      {"Idempotency-Key", std::string(201, 'k')},
                                                      {"Idempotency-Key", "caf\xe9"},
                                                      {"Lovagebeam-Work-Key", "two words"}};
        for (const auto& header : wrong) {
            auto request = with({header});
            const auto work = daemon::decode_work(request);
            CPPUNIT_ASSERT(base::has_code(work.status(), base::error_code::invalid_request));
            const std::string message{work.status().message()};
            CPPUNIT_ASSERT_MESSAGE(message, message.find(header.name) != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(std::string{"body"}, request.body);
        }
    }

    // Guards against running unrepeatable work twice: without a key, a resent request can't be
    // distinguished from a new one.
    void decode_work_unrepeatable_without_key_is_refused()
    {
        auto request = with({{"Lovagebeam-Repeatable", "false"}});
        CPPUNIT_ASSERT(!daemon::decode_work(request).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(work_request_test);

} // namespace
