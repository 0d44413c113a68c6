#include "client_fixture.h"

#include <string>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using targets::http_outcome;
using targets::http_result;
using test::assert_outcome;
using test::read_request;
using test::scripted_server;
using test::tcp_socket;
using test::wait_until;
using test::write_all;

/// Outcomes of single calls to failing servers.
class http_client_failures_test : public test::client_fixture {
    CPPUNIT_TEST_SUITE(http_client_failures_test);
    CPPUNIT_TEST(call_nothing_listens_is_connect_failure);
    CPPUNIT_TEST(call_connect_never_completes_is_connect_failure);
    CPPUNIT_TEST(call_body_cut_off_is_truncated);
    CPPUNIT_TEST(call_reset_before_answer_is_reset);
    CPPUNIT_TEST(call_closed_before_answer_is_reset);
    CPPUNIT_TEST(call_malformed_answer_is_truncated);
    CPPUNIT_TEST(call_silent_server_is_timed_out);
    CPPUNIT_TEST(call_slow_answer_is_timed_out);
    CPPUNIT_TEST(call_too_large_answer_is_reported);
    CPPUNIT_TEST(call_endless_trailers_or_extension_is_reported);
    CPPUNIT_TEST(call_response_memory_used_up_only_small_answer_is_read);
    CPPUNIT_TEST(call_early_refusal_before_body_is_answered);
    CPPUNIT_TEST(call_interim_answer_is_skipped);
    CPPUNIT_TEST(call_invalid_parts_are_not_sent);
    CPPUNIT_TEST(call_deadline_passed_is_not_sent);
    CPPUNIT_TEST(stop_call_in_flight_is_cancelled);
    CPPUNIT_TEST_SUITE_END();

public:
    void call_nothing_listens_is_connect_failure()
    {
        const http_result result = call(unused_port()).get();
        assert_outcome(http_outcome::connect_failed, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
        CPPUNIT_ASSERT(base::has_code(result.to_status(), base::error_code::connect_failed));
    }

    // A listener with a full backlog drops SYN packets, as if the host had disappeared.
    void call_connect_never_completes_is_connect_failure()
    {
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor listener{io, test::loopback(0)};
        listener.listen(0);
        const std::uint16_t port = listener.local_endpoint().port();
        std::vector<std::unique_ptr<tcp_socket>> fillers;
        for (int i = 0; i < 4; ++i) {
            fillers.push_back(std::make_unique<tcp_socket>(io));
            fillers.back()->async_connect(test::loopback(port), [](boost::system::error_code) {});
        }
        io.run_for(100ms);
        m_limits.connect_timeout = 200ms;
        const http_result result = call(port).get();
        assert_outcome(http_outcome::connect_failed, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
    }

    // Guards against a partial response that is reported as complete.
    void call_body_cut_off_is_truncated()
    {
        for (const std::string_view answer : {
                 "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
                 "HTTP/1.1 200 OK\r\nContent-Length: 10",
                 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody without a length",
             }) {
            const http_result result = one_call(answer);
            assert_outcome(http_outcome::truncated, result);
            CPPUNIT_ASSERT(result.maybe_sent);
            CPPUNIT_ASSERT(result.body.empty());
            CPPUNIT_ASSERT_EQUAL(0U, result.status);
        }
    }

    void call_reset_before_answer_is_reset()
    {
        scripted_server server{[](tcp_socket& socket, int) {
            read_request(socket);
            test::reset_at_close(socket);
        }};
        const http_result result = call(server.port()).get();
        assert_outcome(http_outcome::reset, result);
        CPPUNIT_ASSERT(result.maybe_sent);
    }

    void call_closed_before_answer_is_reset()
    {
        const http_result result = one_call("");
        assert_outcome(http_outcome::reset, result);
        CPPUNIT_ASSERT(result.maybe_sent);
    }

    void call_malformed_answer_is_truncated()
    {
        assert_outcome(http_outcome::truncated, one_call("SSH-2.0-something\r\n\r\n"));
    }

    void call_silent_server_is_timed_out()
    {
        scripted_server server{[](tcp_socket& socket, int) {
            read_request(socket);
            test::read_some(socket);
        }};
        const http_result result = call(server.port(), "/", 100ms).get();
        assert_outcome(http_outcome::timed_out, result);
        CPPUNIT_ASSERT(result.maybe_sent);
        // The connection is counted until it is closed.
        CPPUNIT_ASSERT(wait_until([&] {
            return m_client->connections_to({"127.0.0.1", server.port()}) == 0;
        }));
    }

    // Guards against a deadline that is extended by each received byte.
    void call_slow_answer_is_timed_out()
    {
        scripted_server server{[](tcp_socket& socket, int) {
            read_request(socket);
            write_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
            for (int i = 0; i < 1000 && write_all(socket, "x"); ++i) {
                std::this_thread::sleep_for(10ms);
            }
        }};
        assert_outcome(http_outcome::timed_out, call(server.port(), "/", 200ms).get());
    }

    void call_too_large_answer_is_reported()
    {
        m_limits.max_response_body_bytes = 100;
        assert_outcome(http_outcome::answer_too_large,
                       one_call("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"));
        assert_outcome(http_outcome::answer_too_large,
                       one_call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" +
                                std::string(200, 'x') + "\r\n0\r\n\r\n"));
        assert_outcome(http_outcome::answer_too_large,
                       one_call("HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x')));
    }

    // Guards against a process that runs out of memory, because the parser buffers them whole.
    void call_endless_trailers_or_extension_is_reported()
    {
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string filler(100'000, 'x');
        for (const auto& rest : {"1\r\nx\r\n0\r\nname: " + filler, "1;name=" + filler}) {
            assert_outcome(http_outcome::answer_too_large, one_call(head + rest));
        }
    }

    // Guards against targets whose answers, each within the limits, together take all memory.
    void call_response_memory_used_up_only_small_answer_is_read()
    {
        m_limits.max_response_memory_bytes = 1'000;
        const auto answer_of = [this](std::size_t size) {
            return one_call("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
                            "\r\n\r\n" + std::string(size, 'x'));
        };
        assert_outcome(http_outcome::answered, answer_of(50'000));
        assert_outcome(http_outcome::answer_too_large, answer_of(200'000));
        assert_outcome(http_outcome::answered, answer_of(50'000));
    }

    // Guards against losing an early refusal because the write of the body failed.
    void call_early_refusal_before_body_is_answered()
    {
        scripted_server server{[](tcp_socket& socket, int) {
            test::read_some(socket);
            write_all(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            while (!test::read_some(socket).empty()) {
            }
        }};
        const http_result result =
            call(server.port(), "/", test::test_timeout, std::string(8'000'000, 'x')).get();
        assert_outcome(http_outcome::answered, result);
        CPPUNIT_ASSERT_EQUAL(503U, result.status);
    }

    void call_interim_answer_is_skipped()
    {
        const http_result result = one_call("HTTP/1.1 100 Continue\r\n\r\n"
                                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_outcome(http_outcome::answered, result);
        CPPUNIT_ASSERT_EQUAL(200U, result.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"ok"}, result.body);
    }

    // Guards against header injection and a second request through a caller's text.
    void call_invalid_parts_are_not_sent()
    {
        scripted_server server{[](tcp_socket& socket, int) { read_request(socket); }};
        for (const char* path : {"/a b", "/a\r\nX: y", "no-slash"}) {
            assert_outcome(http_outcome::invalid_call, call(server.port(), path).get());
        }
        targets::http_call bad_header;
        bad_header.to = {"127.0.0.1", server.port()};
        bad_header.method = "GET";
        bad_header.path = "/";
        bad_header.headers = {{"X", "a\r\nY: b"}};
        bad_header.deadline = std::chrono::steady_clock::now() + test::test_timeout;
        std::promise<http_result> done;
        m_client->send(bad_header, [&](http_result result) { done.set_value(std::move(result)); });
        assert_outcome(http_outcome::invalid_call, done.get_future().get());
        CPPUNIT_ASSERT_EQUAL(0, server.accepted());
    }

    void call_deadline_passed_is_not_sent()
    {
        scripted_server server{[](tcp_socket& socket, int) { read_request(socket); }};
        const http_result result = call(server.port(), "/", 0ms).get();
        assert_outcome(http_outcome::timed_out, result);
        CPPUNIT_ASSERT(!result.maybe_sent);
        CPPUNIT_ASSERT_EQUAL(0, server.accepted());
    }

    void stop_call_in_flight_is_cancelled()
    {
        std::atomic<bool> received{false};
        scripted_server server{[&](tcp_socket& socket, int) {
            read_request(socket);
            received = true;
            test::read_some(socket);
        }};
        auto result = call(server.port());
        CPPUNIT_ASSERT(wait_until([&] { return received.load(); }));
        m_client->stop();
        const http_result ended = result.get();
        assert_outcome(http_outcome::cancelled, ended);
        CPPUNIT_ASSERT(ended.maybe_sent);
        const http_result later = call(server.port()).get();
        assert_outcome(http_outcome::cancelled, later);
        CPPUNIT_ASSERT(!later.maybe_sent);
    }

private:
    /// Sends one call to a server that responds with `answer` and closes.
    http_result one_call(std::string_view answer)
    {
        scripted_server server{[answer](tcp_socket& socket, int) {
            read_request(socket);
            write_all(socket, answer);
            ::shutdown(socket.native_handle(), SHUT_WR);
            test::read_some(socket);
        }};
        return call(server.port()).get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_failures_test);

} // namespace
