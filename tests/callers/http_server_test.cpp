#include "lovagebeam/callers/http_server.h"

#include "support/net.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using callers::http_request;
using callers::http_response;
using callers::http_server;
using callers::http_server_builder;
using callers::http_server_limits;
using callers::reply;
using test::raw_client;
using test::wait_until;

std::string get(std::string_view path)
{
    return "GET " + std::string{path} + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string post(std::string_view path, std::string_view body)
{
    return "POST " + std::string{path} +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
}

http_response with_body(std::string_view body)
{
    http_response response;
    response.body = body;
    return response;
}

void assert_status(unsigned status, const std::string& answer)
{
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + std::to_string(status), answer.substr(0, 12));
}

void assert_error(unsigned status, std::string_view code, const std::string& answer)
{
    assert_status(status, answer);
    const std::string body = answer.substr(answer.find("\r\n\r\n") + 4);
    const auto error = boost::json::parse(body).at("error");
    CPPUNIT_ASSERT_EQUAL(std::string{code}, std::string{error.at("code").as_string()});
    CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, std::string{error.at("outcome").as_string()});
    CPPUNIT_ASSERT(!error.at("message").as_string().empty());
}

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(server_two_requests_one_connection_answers_both);
    CPPUNIT_TEST(server_request_parts_reach_handler);
    CPPUNIT_TEST(server_pipelined_requests_answers_in_order);
    CPPUNIT_TEST(server_malformed_requests_get_400);
    CPPUNIT_TEST(server_oversized_header_gets_431);
    CPPUNIT_TEST(server_oversized_body_gets_413);
    CPPUNIT_TEST(server_oversized_trailers_and_extensions_get_431);
    CPPUNIT_TEST(server_too_much_request_memory_oldest_incomplete_gets_503);
    CPPUNIT_TEST(server_memory_taken_by_complete_requests_next_gets_503);
    CPPUNIT_TEST(server_full_stale_connection_makes_room);
    CPPUNIT_TEST(server_slow_sender_gets_408_and_is_closed);
    CPPUNIT_TEST(server_sender_without_pause_is_timed_out);
    CPPUNIT_TEST(server_silent_connection_is_closed);
    CPPUNIT_TEST(server_expect_continue_gets_interim_answer);
    CPPUNIT_TEST(server_too_many_connections_get_503);
    CPPUNIT_TEST(server_too_many_requests_get_503);
    CPPUNIT_TEST(reply_second_send_is_ignored);
    CPPUNIT_TEST(reply_dropped_is_500_unknown);
    CPPUNIT_TEST(reply_after_caller_left_does_not_reach_next_caller);
    CPPUNIT_TEST(reply_after_stop_is_harmless);
    CPPUNIT_TEST(reply_header_with_line_break_is_left_out);
    CPPUNIT_TEST(drain_in_flight_request_is_answered_with_close);
    CPPUNIT_TEST(drain_partly_sent_request_is_served);
    CPPUNIT_TEST(drain_over_limit_reports_aborted_requests);
    CPPUNIT_TEST(start_port_in_use_returns_error);
    CPPUNIT_TEST(build_invalid_settings_returns_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_limits = {}; }

    void tearDown() override
    {
        m_server.reset();
        m_held.clear();
    }

    void server_two_requests_one_connection_answers_both()
    {
        start_echo();
        raw_client client{m_server->port()};
        for (const std::string_view path : {"/first", "/second"}) {
            client.send(get(path));
            const std::string answer = client.read_answer();
            assert_status(200, answer);
            CPPUNIT_ASSERT(answer.ends_with(path));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_server->counters().connections_accepted);
    }

    void server_request_parts_reach_handler()
    {
        std::promise<http_request> seen;
        start([&seen](http_request request, const reply& answer) {
            seen.set_value(std::move(request));
            answer.send({});
        });
        raw_client client{m_server->port()};
        client.send("PUT /a/b?c=d HTTP/1.1\r\nHost: a\r\nX-Name: v\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        client.read_answer();
        const http_request request = seen.get_future().get();
        CPPUNIT_ASSERT_EQUAL(std::string{"PUT"}, request.method);
        CPPUNIT_ASSERT_EQUAL(std::string{"/a/b"}, std::string{request.path()});
        CPPUNIT_ASSERT_EQUAL(std::string{"c=d"}, std::string{request.query()});
        CPPUNIT_ASSERT_EQUAL(std::string{"v"}, std::string{request.header("x-name").value()});
        CPPUNIT_ASSERT_EQUAL(std::string{"abc"}, request.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1"}, request.remote_address);
    }

    // Guards against pipelined requests on a connection that are handled or answered out of order.
    void server_pipelined_requests_answers_in_order()
    {
        start_holding();
        raw_client client{m_server->port()};
        client.send(get("/first") + get("/second") + post("/third", "x"));
        for (const std::string_view path : {"/first", "/second", "/third"}) {
            CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
            std::this_thread::sleep_for(20ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, held());
            release_all();
            CPPUNIT_ASSERT(client.read_answer().ends_with(path));
        }
    }

    void server_malformed_requests_get_400()
    {
        start_echo();
        const std::vector<std::string> requests{
            "nonsense\r\n\r\n",
            "GET /no-host HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        };
        for (const auto& request : requests) {
            raw_client client{m_server->port()};
            client.send(request);
            assert_error(400, "invalid_request", client.read_answer());
            CPPUNIT_ASSERT_MESSAGE(request, client.closed_by_server());
        }
        raw_client client{m_server->port()};
        client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n");
        assert_error(501, "invalid_request", client.read_answer());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_server->counters().requests);
    }

    void server_oversized_header_gets_431()
    {
        start_echo();
        raw_client client{m_server->port()};
        client.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n");
        assert_error(431, "message_too_large", client.read_answer());
        CPPUNIT_ASSERT(client.closed_by_server());
    }

    void server_oversized_body_gets_413()
    {
        m_limits.max_body_bytes = 1000;
        start_echo();
        raw_client announced{m_server->port()};
        announced.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
        assert_error(413, "message_too_large", announced.read_answer());
        raw_client chunked{m_server->port()};
        chunked.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                     std::string(2000, 'x') + "\r\n0\r\n\r\n");
        assert_error(413, "message_too_large", chunked.read_answer());
        raw_client exact{m_server->port()};
        exact.send(post("/", std::string(1000, 'x')));
        assert_status(200, exact.read_answer());
    }

    // Guards against slow senders that occupy a connection by sending single bytes: the time limit
    // counts from the first byte of the request.
    // Guards against a process that runs out of memory, because the parser buffers them whole.
    void server_oversized_trailers_and_extensions_get_431()
    {
        start_echo();
        const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string filler(100'000, 'x');
        for (const auto& rest : {"1\r\nx\r\n0\r\nname: " + filler, "1;name=" + filler}) {
            raw_client client{m_server->port()};
            client.send(head + rest);
            assert_error(431, "message_too_large", client.read_answer());
            CPPUNIT_ASSERT(client.closed_by_server());
        }
        CPPUNIT_ASSERT(
            wait_until([this] { return m_server->counters().request_memory_bytes == 0; }));
    }

    // Guards against many unfinished requests, each within the limits, that take all memory or
    // keep ordinary requests out.
    void server_too_much_request_memory_oldest_incomplete_gets_503()
    {
        m_limits.max_request_memory_bytes = 200'000;
        start_echo();
        std::list<raw_client> senders;
        for (int i = 0; i < 3; ++i) {
            senders.emplace_back(m_server->port());
            senders.back().send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 90001\r\n\r\n" +
                                std::string(90'000, 'x'));
            std::this_thread::sleep_for(20ms);
        }
        const auto refusal = senders.front().read_answer();
        assert_error(503, "queue_full", refusal);
        CPPUNIT_ASSERT(refusal.find("Retry-After: 1\r\n") != std::string::npos);
        senders.back().send("x");
        assert_status(200, senders.back().read_answer());
    }

    void server_memory_taken_by_complete_requests_next_gets_503()
    {
        m_limits.max_request_memory_bytes = 100'000;
        start_holding();
        raw_client first{m_server->port()};
        first.send(post("/first", std::string(60'000, 'x')));
        CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
        raw_client second{m_server->port()};
        second.send(post("/second", std::string(60'000, 'x')));
        assert_error(503, "queue_full", second.read_answer());
        release_all();
        assert_status(200, first.read_answer());
    }

    // Guards against a crowd of silent connections that keeps new callers out.
    void server_full_stale_connection_makes_room()
    {
        m_limits.max_connections = 1;
        start_echo();
        raw_client silent{m_server->port()};
        CPPUNIT_ASSERT(wait_until([this] { return m_server->counters().connections_open == 1; }));
        CPPUNIT_ASSERT(wait_until([this] {
            raw_client next{m_server->port()};
            next.send(get("/next"));
            return next.read_answer().starts_with("HTTP/1.1 200");
        }));
        CPPUNIT_ASSERT(silent.closed_by_server());
    }

    void server_slow_sender_gets_408_and_is_closed()
    {
        m_limits.request_timeout = 300ms;
        start_echo();
        raw_client client{m_server->port()};
        const std::string request = post("/", std::string(1000, 'x'));
        std::atomic<bool> answered{false};
        std::thread sender{[&] {
            for (std::size_t i = 0; i < request.size() && !answered; ++i) {
                client.send(request.substr(i, 1));
                std::this_thread::sleep_for(20ms);
            }
        }};
        const std::string answer = client.read_answer();
        answered = true;
        sender.join();
        assert_error(408, "timed_out", answer);
        CPPUNIT_ASSERT(client.closed_by_server());
    }

    // Guards against a request without end whose bytes are always there already when the time limit
    // is reached, so that no read is pending that it could cancel.
    void server_sender_without_pause_is_timed_out()
    {
        m_limits.request_timeout = 200ms;
        start_echo();
        raw_client client{m_server->port()};
        client.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = "1;name=" + std::string(15'000, 'x') + "\r\nx\r\n";
        std::string chunks;
        for (int i = 0; i < 100; ++i) {
            chunks += chunk;
        }
        const auto end = std::chrono::steady_clock::now() + test::test_timeout;
        bool is_open = true;
        while (is_open && std::chrono::steady_clock::now() < end) {
            is_open = client.send(chunks);
        }
        CPPUNIT_ASSERT(!is_open);
    }

    void server_silent_connection_is_closed()
    {
        m_limits.idle_timeout = 100ms;
        start_echo();
        raw_client client{m_server->port()};
        CPPUNIT_ASSERT(client.closed_by_server());
    }

    void server_expect_continue_gets_interim_answer()
    {
        start_echo();
        raw_client client{m_server->port()};
        client.send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    "Content-Length: 2\r\n\r\n");
        assert_status(100, client.read_answer());
        client.send("ab");
        assert_status(200, client.read_answer());
    }

    void server_too_many_connections_get_503()
    {
        m_limits.max_connections = 2;
        start_echo();
        raw_client first{m_server->port()};
        auto second = std::make_unique<raw_client>(m_server->port());
        CPPUNIT_ASSERT(wait_until([this] { return m_server->counters().connections_open == 2; }));
        raw_client third{m_server->port()};
        third.send(get("/"));
        assert_error(503, "queue_full", third.read_answer());
        CPPUNIT_ASSERT(third.closed_by_server());
        third.socket().close();
        second.reset();
        CPPUNIT_ASSERT(wait_until([this] { return m_server->counters().connections_open == 1; }));
        raw_client fourth{m_server->port()};
        fourth.send(get("/"));
        assert_status(200, fourth.read_answer());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_server->counters().connections_refused);
    }

    void server_too_many_requests_get_503()
    {
        m_limits.max_requests_in_progress = 1;
        start_holding();
        raw_client first{m_server->port()};
        first.send(get("/first"));
        CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
        raw_client second{m_server->port()};
        second.send(get("/second"));
        assert_error(503, "queue_full", second.read_answer());
        release_all();
        assert_status(200, first.read_answer());
        second.send(get("/again"));
        CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
        release_all();
        CPPUNIT_ASSERT(second.read_answer().ends_with("/again"));
    }

    void reply_second_send_is_ignored()
    {
        std::promise<bool> second_result;
        start([&second_result](const http_request& request, const reply& answer) {
            const std::vector<reply> copies{answer};
            const bool first = answer.send(with_body(request.target));
            if (request.target == "/first") {
                second_result.set_value(first && !copies.front().send(with_body("twice")));
            }
        });
        raw_client client{m_server->port()};
        client.send(get("/first") + get("/second"));
        CPPUNIT_ASSERT(client.read_answer().ends_with("/first"));
        CPPUNIT_ASSERT(client.read_answer().ends_with("/second"));
        CPPUNIT_ASSERT(second_result.get_future().get());
    }

    void reply_dropped_is_500_unknown()
    {
        start([](const http_request&, const reply&) {});
        raw_client client{m_server->port()};
        client.send(get("/"));
        const std::string answer = client.read_answer();
        assert_status(500, answer);
        CPPUNIT_ASSERT(answer.find("\"outcome\":\"unknown\"") != std::string::npos);
    }

    // Guards against a late response that is sent on another caller's connection.
    void reply_after_caller_left_does_not_reach_next_caller()
    {
        start_holding();
        {
            raw_client left{m_server->port()};
            left.send(get("/left"));
            CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
            test::reset_at_close(left.socket());
        }
        raw_client next{m_server->port()};
        next.send(get("/next"));
        CPPUNIT_ASSERT(wait_until([this] { return held() == 2; }));
        release_all();
        CPPUNIT_ASSERT(next.read_answer().ends_with("/next"));
        CPPUNIT_ASSERT(
            wait_until([this] { return m_server->counters().requests_in_progress == 0; }));
    }

    void reply_after_stop_is_harmless()
    {
        start_holding();
        raw_client client{m_server->port()};
        client.send(get("/"));
        CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
        m_server->stop();
        m_server.reset();
        release_all();
        CPPUNIT_ASSERT(client.closed_by_server());
    }

    void reply_header_with_line_break_is_left_out()
    {
        start([](const http_request&, const reply& answer) {
            http_response response = with_body("ok");
            response.headers = {{"X-Bad", "a\r\nX-Injected: b"}, {"X-Good", "c"}};
            answer.send(std::move(response));
        });
        raw_client client{m_server->port()};
        client.send(get("/"));
        const std::string answer = client.read_answer();
        CPPUNIT_ASSERT(answer.find("X-Injected") == std::string::npos);
        CPPUNIT_ASSERT(answer.find("X-Good: c") != std::string::npos);
    }

    void drain_in_flight_request_is_answered_with_close()
    {
        start_holding();
        raw_client busy{m_server->port()};
        busy.send(get("/busy"));
        raw_client idle{m_server->port()};
        CPPUNIT_ASSERT(wait_until(
            [this] { return held() == 1 && m_server->counters().connections_open == 2; }));
        auto drained = drain(test::test_timeout);
        CPPUNIT_ASSERT(idle.closed_by_server());
        CPPUNIT_ASSERT_THROW(raw_client{m_server->port()}, boost::system::system_error);
        CPPUNIT_ASSERT(drained.wait_for(0s) == std::future_status::timeout);
        release_all();
        const std::string answer = busy.read_answer();
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT(answer.ends_with("/busy"));
        busy.socket().close();
        idle.socket().close();
        const auto result = drained.get();
        CPPUNIT_ASSERT(result.complete);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, result.requests_aborted);
    }

    // Guards against a drain that closes a connection while it receives a request.
    void drain_partly_sent_request_is_served()
    {
        m_limits.drain_idle_timeout = 10ms;
        start_echo();
        raw_client client{m_server->port()};
        const std::string request = get("/partly");
        client.send(request.substr(0, 10));
        CPPUNIT_ASSERT(wait_until([this] { return m_server->counters().connections_open == 1; }));
        std::this_thread::sleep_for(50ms);
        auto drained = drain(test::test_timeout);
        std::this_thread::sleep_for(100ms);
        client.send(request.substr(10));
        const std::string answer = client.read_answer();
        CPPUNIT_ASSERT(answer.ends_with("/partly"));
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
        client.socket().close();
        CPPUNIT_ASSERT(drained.get().complete);
    }

    void drain_over_limit_reports_aborted_requests()
    {
        start_holding();
        raw_client client{m_server->port()};
        client.send(get("/"));
        CPPUNIT_ASSERT(wait_until([this] { return held() == 1; }));
        const auto result = drain(50ms).get();
        CPPUNIT_ASSERT(!result.complete);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, result.requests_aborted);
        CPPUNIT_ASSERT(client.closed_by_server());
    }

    void start_port_in_use_returns_error()
    {
        start_echo();
        auto other = http_server_builder{}
                         .listen("127.0.0.1", m_server->port())
                         .handler([](const http_request&, const reply&) {})
                         .build();
        CPPUNIT_ASSERT(other.ok());
        CPPUNIT_ASSERT(base::has_code((*other)->start(), base::error_code::connect_failed));
    }

    void build_invalid_settings_returns_error()
    {
        const auto handler = [](const http_request&, const reply&) {};
        const auto no_handler = http_server_builder{}.build();
        const auto no_address = http_server_builder{}.listen("host", 0).handler(handler).build();
        http_server_limits limits;
        limits.max_connections = 0;
        const auto no_limit = http_server_builder{}.limits(limits).handler(handler).build();
        for (const auto* each : {&no_handler, &no_address, &no_limit}) {
            CPPUNIT_ASSERT(base::has_code(each->status(), base::error_code::invalid_settings));
        }
    }

private:
    void start(callers::request_handler handler)
    {
        auto built = http_server_builder{}.limits(m_limits).handler(std::move(handler)).build();
        CPPUNIT_ASSERT(built.ok());
        m_server = *std::move(built);
        CPPUNIT_ASSERT(m_server->start().ok());
    }

    void start_echo()
    {
        start([](const http_request& request, const reply& answer) {
            answer.send(with_body(request.target));
        });
    }

    void start_holding()
    {
        start([this](const http_request& request, const reply& answer) {
            const std::lock_guard lock{m_mutex};
            m_held.emplace_back(request.target, answer);
        });
    }

    std::size_t held()
    {
        const std::lock_guard lock{m_mutex};
        return m_held.size();
    }

    void release_all()
    {
        std::vector<std::pair<std::string, reply>> held;
        {
            const std::lock_guard lock{m_mutex};
            held.swap(m_held);
        }
        for (const auto& [target, answer] : held) {
            answer.send(with_body(target));
        }
    }

    std::future<callers::drain_result> drain(std::chrono::milliseconds limit)
    {
        auto done = std::make_shared<std::promise<callers::drain_result>>();
        auto result = done->get_future();
        m_server->drain(limit, [done](callers::drain_result value) { done->set_value(value); });
        return result;
    }

    http_server_limits m_limits;
    std::unique_ptr<http_server> m_server;
    std::mutex m_mutex;
    std::vector<std::pair<std::string, reply>> m_held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
