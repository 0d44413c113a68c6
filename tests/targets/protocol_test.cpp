#include "lovagebeam/base/errors.h"
#include "lovagebeam/targets/protocol.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using namespace lovagebeam::targets;

const running_attempt attempt{base::attempt_id{"a1"}, base::team_id{"t"},
                              base::idempotency_key{"k"}, base::work_key{"w"}};

target_announcement make_announcement()
{
    return {.target_id = base::target_id{"runner-1"},
            .where = {"10.0.0.7", 8080},
            .failure_domain = base::failure_domain{"fd1"},
            .rack = "r3",
            .slots = 8,
            .connections = 64,
            .leaving = true,
            .running = {attempt}};
}

std::string replaced(std::string text, std::string_view from, std::string_view to)
{
    const auto found = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(std::string{from}, found != std::string::npos);
    return text.replace(found, from.size(), to);
}

class target_protocol_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_protocol_test);
    CPPUNIT_TEST(messages_encoded_and_decoded_are_equal);
    CPPUNIT_TEST(announcement_invalid_field_gives_its_path);
    CPPUNIT_TEST(attempt_answer_invalid_combinations_are_refused);
    CPPUNIT_TEST(run_request_call_and_headers_are_equal);
    CPPUNIT_TEST(run_request_invalid_header_gives_its_name);
    CPPUNIT_TEST(classify_run_only_certain_results_are_not_run);
    CPPUNIT_TEST(percent_encoded_text_is_decoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void messages_encoded_and_decoded_are_equal()
    {
        const auto announcement = make_announcement();
        CPPUNIT_ASSERT(decode_target_announcement(encode(announcement)).value() == announcement);
        const fence_request fence{base::epoch{18'446'744'073'709'551'615ULL}, base::node_id{"n"}};
        CPPUNIT_ASSERT(decode_fence_request(encode(fence)).value() == fence);
        const fence_answer fenced{{attempt, attempt}};
        CPPUNIT_ASSERT(decode_fence_answer(encode(fenced)).value() == fenced);
        const attempt_answer ended{attempt_state::ended, "quotes \" and \n breaks \xc3\xa9"};
        CPPUNIT_ASSERT(decode_attempt_answer(encode(ended)).value() == ended);
        const attempt_answer unseen{attempt_state::never_seen, std::nullopt};
        CPPUNIT_ASSERT(decode_attempt_answer(encode(unseen)).value() == unseen);
    }

    void announcement_invalid_field_gives_its_path()
    {
        const std::string good = encode(make_announcement());
        const std::vector<std::pair<std::string, std::string>> cases{
            {"", "message: not valid JSON"},
            {"[]", "message: expected an object"},
            {replaced(good, R"("rack":)", R"("shelf":)"), "rack: missing"},
            {replaced(good, R"("rack":)", R"("extra":1,"rack":)"), "extra: unknown field"},
            {replaced(good, R"("slots":8)", R"("slots":0)"), "slots: expected 1 to 65536"},
            {replaced(good, R"("slots":8)", R"("slots":-1)"), "slots: expected 1 to 65536"},
            {replaced(good, R"("slots":8)", R"("slots":8.5)"), "slots: expected an integer"},
            {replaced(good, R"("port":8080)", R"("port":65536)"), "port: expected 1 to 65535"},
            {replaced(good, R"("leaving":true)", R"("leaving":1)"), "leaving: expected true"},
            {replaced(good, "10.0.0.7", "host"), "address: expected an IP address"},
            {replaced(good, R"("team":"t")", R"("team":7)"), "running[0].team: expected a string"},
            {replaced(good, R"("team":"t")", R"("team":"")"), "running[0].team: expected a text"},
            {replaced(good, "runner-1", "a\\nb"), "target_id: expected no control"},
            {replaced(good, "runner-1", std::string(257, 'x')), "target_id: expected at most 256"},
            {good + "x", "message: not valid JSON"},
        };
        for (const auto& [json, message] : cases) {
            const auto result = decode_target_announcement(json);
            CPPUNIT_ASSERT_MESSAGE(message, !result.ok());
            CPPUNIT_ASSERT(base::has_code(result.status(), base::error_code::invalid_request));
            CPPUNIT_ASSERT_EQUAL(message,
                                 std::string{result.status().message()}.substr(0, message.size()));
        }
    }

    void attempt_answer_invalid_combinations_are_refused()
    {
        for (const char* json :
             {R"({"state":"ended"})", R"({"state":"running","answer":"x"})", R"({"state":"other"})",
              "{\"state\":\"ended\",\"answer\":\"\xff\"}"}) {
            CPPUNIT_ASSERT_MESSAGE(json, !decode_attempt_answer(json).ok());
        }
    }

    void run_request_call_and_headers_are_equal()
    {
        const run_request request = make_run();
        const http_call call = make_run_call({"10.0.0.7", 80}, request, {});
        CPPUNIT_ASSERT_EQUAL(std::string{"/lovagebeam/v1/run"}, call.path);
        CPPUNIT_ASSERT(decode_run_request(lookup_in(call.headers), call.body).value() == request);
    }

    void run_request_invalid_header_gives_its_name()
    {
        const auto headers = make_run_call({"10.0.0.7", 80}, make_run(), {}).headers;
        for (const auto& [name, value] : std::vector<std::pair<std::string, std::string>>{
                 {"Lovagebeam-Epoch", "-1"},
                 {"Lovagebeam-Epoch", "18446744073709551616"},
                 {"Lovagebeam-Lease-Ms", "0"},
                 {"Lovagebeam-Lease-Ms", "10s"},
                 {"Lovagebeam-Attempt", ""},
                 {"Lovagebeam-Team", std::string(257, 'x')}}) {
            auto changed = headers;
            for (auto& header : changed) {
                header.value = header.name == name ? value : header.value;
            }
            const auto result = decode_run_request(lookup_in(changed), "");
            CPPUNIT_ASSERT(base::has_code(result.status(), base::error_code::invalid_request));
            CPPUNIT_ASSERT_EQUAL(name,
                                 std::string{result.status().message()}.substr(0, name.size()));
        }
    }

    // Guards against reporting work as not run that may have run.
    void classify_run_only_certain_results_are_not_run()
    {
        const auto classify = [](http_outcome outcome, bool maybe_sent, unsigned status) {
            http_result result;
            result.outcome = outcome;
            result.maybe_sent = maybe_sent;
            result.status = status;
            return std::string{name_of(classify_run(result))};
        };
        const std::string completed = "completed";
        const std::string not_run = "not_run";
        const std::string unknown = "unknown";
        CPPUNIT_ASSERT_EQUAL(completed, classify(http_outcome::answered, true, 200));
        CPPUNIT_ASSERT_EQUAL(not_run, classify(http_outcome::answered, true, 409));
        CPPUNIT_ASSERT_EQUAL(not_run, classify(http_outcome::answered, true, 503));
        CPPUNIT_ASSERT_EQUAL(unknown, classify(http_outcome::answered, true, 500));
        CPPUNIT_ASSERT_EQUAL(unknown, classify(http_outcome::answered, true, 202));
        CPPUNIT_ASSERT_EQUAL(not_run, classify(http_outcome::timed_out, false, 0));
        for (const auto outcome : {http_outcome::timed_out, http_outcome::reset,
                                   http_outcome::truncated, http_outcome::cancelled}) {
            CPPUNIT_ASSERT_EQUAL(unknown, classify(outcome, true, 0));
        }
    }

    void percent_encoded_text_is_decoded()
    {
        std::string all;
        for (int i = 0; i < 256; ++i) {
            all += static_cast<char>(i);
        }
        CPPUNIT_ASSERT(percent_decode(percent_encode(all)) == all);
        CPPUNIT_ASSERT_EQUAL(std::string{"a%2Fb"}, percent_encode("a/b"));
        for (const char* text : {"%", "%1", "a%zz"}) {
            CPPUNIT_ASSERT(!percent_decode(text).has_value());
        }
    }

private:
    static run_request make_run()
    {
        return {.attempt_id = base::attempt_id{"a1"},
                .epoch = base::epoch{7},
                .team = base::team_id{"t"},
                .idempotency_key = base::idempotency_key{"k"},
                .work_key = {},
                .lease = 1500ms,
                .content_type = "text/plain",
                .body = "body"};
    }

    static header_lookup lookup_in(const std::vector<http_header>& headers)
    {
        return [&headers](std::string_view name) -> std::optional<std::string_view> {
            for (const auto& header : headers) {
                if (header.name == name) {
                    return header.value;
                }
            }
            return std::nullopt;
        };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_protocol_test);

} // namespace
