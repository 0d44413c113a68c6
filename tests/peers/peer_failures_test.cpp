#include "network_fixture.h"

#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using base::error_code;
using peers::channel;
using peers::connection_state;
using test::raw_client;
using test::wait_until;

/// Refusals, silent connections and restarts.
class peer_failures_test : public test::network_fixture {
    CPPUNIT_TEST_SUITE(peer_failures_test);
    CPPUNIT_TEST(wrong_secret_is_refused);
    CPPUNIT_TEST(unknown_node_is_refused);
    CPPUNIT_TEST(unconfigured_address_is_refused);
    CPPUNIT_TEST(other_protocols_are_closed);
    CPPUNIT_TEST(data_without_handshake_is_closed);
    CPPUNIT_TEST(restarted_peer_is_dialled_again);
    CPPUNIT_TEST(silent_connection_is_replaced);
    CPPUNIT_TEST(silent_peer_is_disconnected_after_replacement_fails);
    CPPUNIT_TEST(accepted_connection_without_bytes_is_closed);
    CPPUNIT_TEST(stop_with_silent_peer_is_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void wrong_secret_is_refused()
    {
        m_a = start(m_node_a, *m_handler_a, "another secret of 25 bytes");
        m_b = start(m_node_b, *m_handler_b);
        exchange_addresses();
        await_error(error_code::unauthenticated);
        CPPUNIT_ASSERT(m_b->counters().handshakes_refused > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_b->counters().handshakes_accepted);
        CPPUNIT_ASSERT(base::has_code(send(channel::routing, "x"), error_code::not_connected));
    }

    void unknown_node_is_refused()
    {
        start_both();
        m_b->update_peers({{base::node_id{"c"}, "127.0.0.1", m_a->port()}});
        m_a->update_peers({{m_node_b, "127.0.0.1", m_b->port()}});
        await_error(error_code::unauthenticated);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_b->counters().handshakes_accepted);
    }

    void unconfigured_address_is_refused()
    {
        start_both();
        m_b->update_peers({{m_node_a, "127.0.0.9", m_a->port()}});
        m_a->update_peers({{m_node_b, "127.0.0.1", m_b->port()}});
        CPPUNIT_ASSERT(wait_until([this] { return m_b->counters().addresses_refused > 0; }));
        await_error(error_code::connection_reset);
    }

    void other_protocols_are_closed()
    {
        start_connected();
        for (const std::string& text :
             {std::string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}, std::string(100, '\0')}) {
            raw_client client{m_b->port()};
            client.send(text);
            CPPUNIT_ASSERT(client.closed_by_server());
        }
        CPPUNIT_ASSERT(send(channel::routing, "still works").ok());
        await_messages(1);
    }

    // Opens a stream without handshake headers: the HEADERS frame has the fields :method POST,
    // :scheme http and :path / of the static table, and :authority a.
    void data_without_handshake_is_closed()
    {
        start_connected();
        raw_client client{m_b->port()};
        client.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        client.send(std::string("\0\0\0\4\0\0\0\0\0", 9));
        client.send(std::string("\0\0\6\1\4\0\0\0\1\x83\x86\x84\x41\1a", 15));
        client.send(std::string("\0\0\5\0\0\0\0\0\1\0\0\0\1x", 14));
        CPPUNIT_ASSERT(wait_until([this] { return m_b->counters().handshakes_refused == 1; }));
        client.socket().shutdown(test::tcp_socket::shutdown_send);
        CPPUNIT_ASSERT(client.closed_by_server());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_handler_b->count());
    }

    void restarted_peer_is_dialled_again()
    {
        start_connected();
        const std::uint16_t port = m_b->port();
        m_b.reset();
        await_state_other_than(connection_state::connected);
        CPPUNIT_ASSERT(base::has_code(send(channel::routing, "x"), error_code::not_connected));
        m_b = start(m_node_b, *m_handler_b, usual_secret, port);
        exchange_addresses();
        await_state(connection_state::connected);
        CPPUNIT_ASSERT(send(channel::routing, "again").ok());
        await_messages(1);
        CPPUNIT_ASSERT_EQUAL(std::string{"again"}, m_handler_b->messages()[0].bytes);
    }

    // Guards against a peer that is reported as disconnected because one connection went silent
    // permanently while new connections work.
    void silent_connection_is_replaced()
    {
        m_limits.ping_interval = 100ms;
        start_both();
        test::silent_relay relay{m_b->port()};
        exchange_addresses(relay.port());
        await_state(connection_state::connected);
        CPPUNIT_ASSERT(send(channel::routing, "before").ok());
        await_messages(1);
        const int before = relay.accepted();
        relay.silence();
        CPPUNIT_ASSERT(wait_until([&] { return relay.accepted() > before; }));
        await_state(connection_state::connected);
        CPPUNIT_ASSERT(m_a->counters().silent_connections >= 1);
        CPPUNIT_ASSERT(send(channel::routing, "after").ok());
        await_messages(2);
        CPPUNIT_ASSERT_EQUAL(std::string{"after"}, m_handler_b->messages()[1].bytes);
        for (const auto& state : m_handler_a->states()) {
            CPPUNIT_ASSERT_MESSAGE(state, state != "b disconnected");
        }
    }

    void silent_peer_is_disconnected_after_replacement_fails()
    {
        m_limits.ping_interval = 100ms;
        m_limits.dial_timeout = 500ms;
        start_both();
        test::silent_relay relay{m_b->port()};
        exchange_addresses(relay.port());
        await_state(connection_state::connected);
        relay.silence_all();
        CPPUNIT_ASSERT(wait_until([this] {
            return base::has_code(send(channel::routing, "x"), error_code::not_connected);
        }));
        const auto states = m_handler_a->states();
        CPPUNIT_ASSERT(std::ranges::find(states, "b silent") != states.end());
        await_error(error_code::timed_out);
    }

    // Guards against accepted connections that stay open forever after the host at the other end
    // disappeared.
    void accepted_connection_without_bytes_is_closed()
    {
        m_limits.ping_interval = 50ms;
        m_limits.receive_timeout = 400ms;
        start_connected();
        raw_client client{m_b->port()};
        client.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        CPPUNIT_ASSERT(client.closed_by_server());
        CPPUNIT_ASSERT(send(channel::routing, "still works").ok());
        await_messages(1);
    }

    void stop_with_silent_peer_is_bounded()
    {
        m_limits.stop_timeout = 300ms;
        start_both();
        test::silent_relay relay{m_b->port()};
        exchange_addresses(relay.port());
        await_state(connection_state::connected);
        relay.silence_all();
        CPPUNIT_ASSERT(send(channel::routing, "lost").ok());
        const auto begin = std::chrono::steady_clock::now();
        m_a->stop();
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < test::test_timeout);
    }

private:
    void await_error(error_code code)
    {
        const bool came =
            wait_until([&] { return base::has_code(m_a->last_error_of(m_node_b), code); });
        CPPUNIT_ASSERT_MESSAGE(std::string{m_a->last_error_of(m_node_b).message()}, came);
    }

    void await_state_other_than(connection_state state)
    {
        CPPUNIT_ASSERT(wait_until([&] { return m_a->state_of(m_node_b) != state; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_failures_test);

} // namespace
