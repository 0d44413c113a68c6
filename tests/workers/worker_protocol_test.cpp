#include "lovagebeam/base/errors.h"
#include "lovagebeam/workers/protocol.h"
#include "lovagebeam/workers/worker_client.h"

#include "support/net.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using namespace lovagebeam::workers;

start_task_request make_start()
{
    return {.task_id = base::task_id{"j1/0"},
            .job_id = base::job_id{"j1"},
            .lease = 3000ms,
            .fence = 18'446'744'073'709'551'615ULL,
            .spec = {.name = "roster",
                     .command = "build",
                     .millicores = base::millicores{2500},
                     .memory = base::bytes{1LL << 40},
                     .accelerators = 2,
                     .run_time = 60s}};
}

worker_announcement make_announcement()
{
    return {.worker_id = base::worker_id{"w1"},
            .where = {"10.0.0.9", 9000},
            .failure_domain = base::failure_domain{"fd1"},
            .rack = "",
            .millicores = base::millicores{64'000},
            .memory = base::bytes{256LL << 30},
            .accelerators = 0,
            .tasks = {{base::task_id{"j1/0"}, task_state::failed, "out"}}};
}

class worker_protocol_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_protocol_test);
    CPPUNIT_TEST(messages_encoded_and_decoded_are_equal);
    CPPUNIT_TEST(messages_invalid_field_gives_its_path);
    CPPUNIT_TEST(task_state_every_name_is_decoded);
    CPPUNIT_TEST(worker_client_calls_follow_the_protocol);
    CPPUNIT_TEST(worker_client_status_decides_the_outcome);
    CPPUNIT_TEST(worker_client_failures_tell_whether_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_client.start(); }
    void tearDown() override { m_client.stop(); }

    void messages_encoded_and_decoded_are_equal()
    {
        CPPUNIT_ASSERT(decode_start_task_request(encode(make_start())).value() == make_start());
        CPPUNIT_ASSERT(decode_worker_announcement(encode(make_announcement())).value() ==
                       make_announcement());
        const announcement_answer answer{{{base::task_id{"t"}, 5ms}}};
        CPPUNIT_ASSERT(decode_announcement_answer(encode(answer)).value() == answer);
    }

    void messages_invalid_field_gives_its_path()
    {
        assert_refused(decode_start_task_request(replaced(encode(make_start()), "2500", "-1")),
                       "spec.millicores: expected 0 to 1000000000");
        assert_refused(
            decode_start_task_request(replaced(encode(make_start()), R"("command")", R"("x")")),
            "spec.command: missing");
        assert_refused(decode_start_task_request(
                           replaced(encode(make_start()), R"("spec":{)", R"("spec":{"y":1,)")),
                       "spec.y: unknown field");
        assert_refused(decode_start_task_request(replaced(encode(make_start()), "3000", "0")),
                       "lease_ms: expected 1 to");
        assert_refused(
            decode_worker_announcement(replaced(encode(make_announcement()), "failed", "lost")),
            "tasks[0].state: expected one of starting, running");
        assert_refused(
            decode_worker_announcement(replaced(encode(make_announcement()), R"("out")", "null")),
            "tasks[0].output: expected a string");
        assert_refused(decode_announcement_answer(R"({"leases":[{"task_id":"t","lease_ms":1e3}]})"),
                       "leases[0].lease_ms: expected an integer");
        assert_refused(decode_announcement_answer(R"({"leases":{}})"), "leases: expected a list");
    }

    void task_state_every_name_is_decoded()
    {
        for (int i = 0; i <= static_cast<int>(task_state::lease_expired); ++i) {
            auto message = make_announcement();
            message.tasks[0].state = static_cast<task_state>(i);
            CPPUNIT_ASSERT(decode_worker_announcement(encode(message)).value() == message);
        }
    }

    void worker_client_calls_follow_the_protocol()
    {
        std::promise<std::string> start_text;
        std::promise<std::string> cancel_text;
        test::scripted_server worker{[&](test::tcp_socket& socket, int) {
            start_text.set_value(test::read_request(socket));
            test::write_all(socket, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
            cancel_text.set_value(test::read_request(socket));
            test::write_all(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            test::read_some(socket);
        }};
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, start_on(worker.port()));
        const std::string start = start_text.get_future().get();
        CPPUNIT_ASSERT(start.starts_with("POST /lovagebeam/v1/tasks HTTP/1.1\r\n"));
        const auto body = start.substr(start.find("\r\n\r\n") + 4);
        CPPUNIT_ASSERT(decode_start_task_request(body).value() == make_start());
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"}, cancel_on(worker.port()));
        CPPUNIT_ASSERT(cancel_text.get_future().get().starts_with(
            "DELETE /lovagebeam/v1/tasks/j1%2F0 HTTP/1.1\r\n"));
    }

    void worker_client_status_decides_the_outcome()
    {
        for (const auto& [status, outcome] :
             std::vector<std::pair<int, std::string>>{{200, "accepted"},
                                                      {409, "refused"},
                                                      {404, "refused"},
                                                      {503, "refused"},
                                                      {500, "unknown"}}) {
            test::scripted_server worker{[status = status](test::tcp_socket& socket, int) {
                test::read_request(socket);
                test::write_all(socket, "HTTP/1.1 " + std::to_string(status) +
                                            " x\r\nContent-Length: 0\r\n\r\n");
                test::read_some(socket);
            }};
            CPPUNIT_ASSERT_EQUAL(outcome, start_on(worker.port()));
            m_client.close_endpoint({"127.0.0.1", worker.port()});
        }
    }

    void worker_client_failures_tell_whether_sent()
    {
        std::uint16_t port = 0;
        {
            test::scripted_server worker{[](test::tcp_socket& socket, int) {
                test::read_request(socket);
                test::reset_at_close(socket);
            }};
            port = worker.port();
            CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, start_on(port));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"not_sent"}, start_on(port));
    }

private:
    static std::string replaced(std::string text, std::string_view from, std::string_view to)
    {
        const auto found = text.find(from);
        CPPUNIT_ASSERT_MESSAGE(std::string{from}, found != std::string::npos);
        return text.replace(found, from.size(), to);
    }

    template <class T>
    static void assert_refused(const absl::StatusOr<T>& result, const std::string& message)
    {
        CPPUNIT_ASSERT(base::has_code(result.status(), base::error_code::invalid_request));
        CPPUNIT_ASSERT_EQUAL(message,
                             std::string{result.status().message()}.substr(0, message.size()));
    }

    std::string start_on(std::uint16_t port)
    {
        std::promise<worker_result> done;
        m_workers.start_task({"127.0.0.1", port}, make_start(), deadline(),
                             [&](worker_result result) { done.set_value(std::move(result)); });
        return std::string{name_of(done.get_future().get().outcome)};
    }

    std::string cancel_on(std::uint16_t port)
    {
        std::promise<worker_result> done;
        m_workers.cancel_task({"127.0.0.1", port}, base::task_id{"j1/0"}, deadline(),
                              [&](worker_result result) { done.set_value(std::move(result)); });
        return std::string{name_of(done.get_future().get().outcome)};
    }

    static base::time_point deadline()
    {
        return std::chrono::steady_clock::now() + test::test_timeout;
    }

    targets::http_client m_client;
    worker_client m_workers{m_client};
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_protocol_test);

} // namespace
