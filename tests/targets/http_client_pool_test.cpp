#include "client_fixture.h"

#include <string>
#include <vector>

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

std::string answer_with(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string{body};
}

void answer_all(tcp_socket& socket, int number)
{
    while (!read_request(socket).empty()) {
        write_all(socket, answer_with(std::to_string(number)));
    }
}

/// Connection reuse, limits and connection loss.
class http_client_pool_test : public test::client_fixture {
    CPPUNIT_TEST_SUITE(http_client_pool_test);
    CPPUNIT_TEST(calls_in_sequence_reuse_one_connection);
    CPPUNIT_TEST(call_after_server_closed_idle_connection_uses_new_one);
    CPPUNIT_TEST(connection_with_unexpected_bytes_is_not_reused);
    CPPUNIT_TEST(idle_connection_is_closed_after_idle_timeout);
    CPPUNIT_TEST(calls_over_limit_wait_for_a_connection);
    CPPUNIT_TEST(urgent_call_all_connections_busy_is_answered);
    CPPUNIT_TEST(closing_connection_counts_until_closed);
    CPPUNIT_TEST(call_to_full_queue_is_refused);
    CPPUNIT_TEST(queued_call_deadline_is_timed_out_not_sent);
    CPPUNIT_TEST(silent_connections_cost_one_call_one_timeout);
    CPPUNIT_TEST(close_endpoint_cancels_its_calls_only);
    CPPUNIT_TEST_SUITE_END();

public:
    void calls_in_sequence_reuse_one_connection()
    {
        scripted_server server{answer_all};
        for (int i = 0; i < 3; ++i) {
            const http_result result = call(server.port(), "/", test::test_timeout, "body").get();
            assert_outcome(http_outcome::answered, result);
            CPPUNIT_ASSERT_EQUAL(i > 0, result.reused_connection);
            CPPUNIT_ASSERT_EQUAL(std::string{"0"}, result.body);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_client->counters().connections_opened);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_client->counters().connections_reused);
    }

    // Guards against a call that fails because the server closed the connection between two calls.
    void call_after_server_closed_idle_connection_uses_new_one()
    {
        scripted_server server{[](tcp_socket& socket, int number) {
            read_request(socket);
            write_all(socket, answer_with(std::to_string(number)));
        }};
        for (int i = 0; i < 20; ++i) {
            const http_result result = call(server.port()).get();
            if (result.outcome == http_outcome::answered) {
                CPPUNIT_ASSERT_EQUAL(std::to_string(i), result.body);
            }
            CPPUNIT_ASSERT(wait_until([&] {
                return m_client->connections_to({"127.0.0.1", server.port()}) == 0;
            }));
            assert_outcome(http_outcome::answered, result);
        }
    }

    // Guards against surplus bytes after a response that are read as the response to the next call.
    void connection_with_unexpected_bytes_is_not_reused()
    {
        scripted_server server{[](tcp_socket& socket, int number) {
            read_request(socket);
            write_all(socket, answer_with(std::to_string(number)) + answer_with("late"));
            read_request(socket);
        }};
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, call(server.port()).get().body);
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, call(server.port()).get().body);
    }

    void idle_connection_is_closed_after_idle_timeout()
    {
        m_limits.idle_timeout = 50ms;
        scripted_server server{answer_all};
        assert_outcome(http_outcome::answered, call(server.port()).get());
        CPPUNIT_ASSERT(wait_until([this] { return m_client->counters().connections_open == 0; }));
    }

    // Guards against a health check that fails because other calls keep all connections busy.
    void urgent_call_all_connections_busy_is_answered()
    {
        m_limits.max_connections_per_endpoint = 1;
        scripted_server server{[](tcp_socket& socket, int number) {
            read_request(socket);
            if (number > 0) {
                write_all(socket, answer_with(std::to_string(number)));
            }
            read_request(socket);
        }};
        auto unanswered = call(server.port(), "/", 500ms);
        CPPUNIT_ASSERT(wait_until([this] { return m_client->counters().connections_open == 1; }));
        auto waiting = call(server.port(), "/", 500ms);
        const http_result urgent = urgent_call(server.port()).get();
        assert_outcome(http_outcome::answered, urgent);
        assert_outcome(http_outcome::timed_out, unanswered.get());
        static_cast<void>(waiting.get());
    }

    void calls_over_limit_wait_for_a_connection()
    {
        m_limits.max_connections_per_endpoint = 3;
        std::atomic<int> open{0};
        std::atomic<int> most{0};
        scripted_server server{[&](tcp_socket& socket, int number) {
            most = std::max(most.load(), ++open);
            // Every second connection closes after one response, so that connections are replaced.
            for (int i = 0; number % 2 == 1 || i == 0; ++i) {
                if (read_request(socket).empty()) {
                    break;
                }
                std::this_thread::sleep_for(1ms);
                write_all(socket, answer_with("ok"));
            }
            --open;
            ::shutdown(socket.native_handle(), SHUT_RDWR);
        }};
        std::vector<std::future<http_result>> results;
        for (int i = 0; i < 60; ++i) {
            results.push_back(call(server.port()));
        }
        std::size_t answered = 0;
        for (auto& each : results) {
            const http_result result = each.get();
            answered += result.answered() ? 1U : 0U;
            // The server may close a connection just as a call is sent on it. The only other
            // outcome is then `reset`.
            if (!result.answered()) {
                assert_outcome(http_outcome::reset, result);
            }
        }
        CPPUNIT_ASSERT(answered >= 30);
        CPPUNIT_ASSERT(most <= 3);
    }

    // Guards against more connections at the server than the limit, because the client no longer
    // counts closing connections that are still open at the server.
    void closing_connection_counts_until_closed()
    {
        m_limits.max_connections_per_endpoint = 1;
        m_limits.close_timeout = test::test_timeout;
        std::promise<void> let_close;
        auto may_close = let_close.get_future().share();
        scripted_server server{[may_close](tcp_socket& socket, int number) {
            read_request(socket);
            write_all(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n" +
                                  std::to_string(number));
            if (number == 0) {
                may_close.wait();
            }
        }};
        assert_outcome(http_outcome::answered, call(server.port()).get());
        auto second = call(server.port());
        std::this_thread::sleep_for(100ms);
        CPPUNIT_ASSERT_EQUAL(1, server.accepted());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             m_client->connections_to({"127.0.0.1", server.port()}));
        let_close.set_value();
        assert_outcome(http_outcome::answered, second.get());
    }

    void call_to_full_queue_is_refused()
    {
        m_limits.max_connections_per_endpoint = 1;
        m_limits.max_queued_calls_per_endpoint = 1;
        std::promise<void> let_answer;
        auto may_answer = let_answer.get_future().share();
        scripted_server server{[may_answer](tcp_socket& socket, int number) {
            read_request(socket);
            may_answer.wait();
            write_all(socket, answer_with(std::to_string(number)));
            answer_all(socket, number);
        }};
        auto first = call(server.port());
        auto second = call(server.port());
        const http_result third = call(server.port()).get();
        assert_outcome(http_outcome::queue_full, third);
        CPPUNIT_ASSERT(!third.maybe_sent);
        let_answer.set_value();
        assert_outcome(http_outcome::answered, first.get());
        assert_outcome(http_outcome::answered, second.get());
    }

    void queued_call_deadline_is_timed_out_not_sent()
    {
        m_limits.max_connections_per_endpoint = 1;
        std::promise<void> let_answer;
        auto may_answer = let_answer.get_future().share();
        scripted_server server{[may_answer](tcp_socket& socket, int number) {
            read_request(socket);
            may_answer.wait();
            write_all(socket, answer_with(std::to_string(number)));
        }};
        auto first = call(server.port());
        const http_result second = call(server.port(), "/", 50ms).get();
        assert_outcome(http_outcome::timed_out, second);
        CPPUNIT_ASSERT(!second.maybe_sent);
        let_answer.set_value();
        assert_outcome(http_outcome::answered, first.get());
    }

    // Guards against one timed-out call for each idle connection after the network path of all open
    // connections failed.
    void silent_connections_cost_one_call_one_timeout()
    {
        scripted_server server{answer_all};
        test::silent_relay relay{server.port()};
        std::vector<std::future<http_result>> first;
        for (int i = 0; i < 5; ++i) {
            first.push_back(call(relay.port()));
        }
        for (auto& each : first) {
            assert_outcome(http_outcome::answered, each.get());
        }
        const int before = relay.accepted();
        relay.silence();
        const http_result lost = call(relay.port(), "/", 200ms).get();
        assert_outcome(http_outcome::timed_out, lost);
        CPPUNIT_ASSERT(lost.reused_connection && lost.maybe_sent);
        const http_result next = call(relay.port()).get();
        assert_outcome(http_outcome::answered, next);
        CPPUNIT_ASSERT(!next.reused_connection);
        CPPUNIT_ASSERT_EQUAL(before + 1, relay.accepted());
    }

    void close_endpoint_cancels_its_calls_only()
    {
        m_limits.max_connections_per_endpoint = 1;
        std::atomic<int> received{0};
        scripted_server lost{[&](tcp_socket& socket, int) {
            read_request(socket);
            ++received;
            test::read_some(socket);
        }};
        scripted_server other{answer_all};
        auto in_flight = call(lost.port());
        auto queued = call(lost.port());
        CPPUNIT_ASSERT(wait_until([&] { return received == 1; }));
        m_client->close_endpoint({"127.0.0.1", lost.port()});
        const http_result sent = in_flight.get();
        assert_outcome(http_outcome::cancelled, sent);
        CPPUNIT_ASSERT(sent.maybe_sent);
        const http_result waiting = queued.get();
        assert_outcome(http_outcome::cancelled, waiting);
        CPPUNIT_ASSERT(!waiting.maybe_sent);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_client->connections_to({"127.0.0.1", lost.port()}));
        assert_outcome(http_outcome::answered, call(other.port()).get());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_pool_test);

} // namespace
