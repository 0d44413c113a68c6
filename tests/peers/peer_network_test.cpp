#include "network_fixture.h"

#include <future>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using base::error_code;
using peers::channel;
using peers::connection_state;
using test::wait_until;

/// Messages between two connected networks.
class peer_network_test : public test::network_fixture {
    CPPUNIT_TEST_SUITE(peer_network_test);
    CPPUNIT_TEST(send_messages_of_all_sizes_arrive_in_order);
    CPPUNIT_TEST(send_both_directions_arrive);
    CPPUNIT_TEST(send_many_messages_are_counted);
    CPPUNIT_TEST(send_too_large_is_refused);
    CPPUNIT_TEST(send_unknown_peer_is_not_connected);
    CPPUNIT_TEST(send_full_queue_is_refused_and_nothing_accepted_is_lost);
    CPPUNIT_TEST(send_consensus_overtakes_snapshot);
    CPPUNIT_TEST(stop_queued_messages_are_delivered);
    CPPUNIT_TEST(stop_of_receiver_lets_sender_finish);
    CPPUNIT_TEST(send_after_stop_is_refused);
    CPPUNIT_TEST(removed_peer_is_disconnected);
    CPPUNIT_TEST(build_invalid_settings_returns_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void send_messages_of_all_sizes_arrive_in_order()
    {
        start_connected();
        const std::vector<std::size_t> sizes{
            0, 1, 100, 16379, 16380, 16384, 70000, 999999, peers::max_message_bytes};
        char fill = 'a';
        for (const std::size_t size : sizes) {
            CPPUNIT_ASSERT(send(channel::routing, std::string(size, fill++)).ok());
        }
        await_messages(sizes.size());
        const auto messages = m_handler_b->messages();
        for (std::size_t i = 0; i < sizes.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, messages[i].from);
            CPPUNIT_ASSERT(messages[i].which == channel::routing);
            CPPUNIT_ASSERT(messages[i].bytes ==
                           std::string(sizes[i], static_cast<char>('a' + static_cast<int>(i))));
        }
    }

    void send_both_directions_arrive()
    {
        start_connected();
        CPPUNIT_ASSERT(
            wait_until([this] { return m_b->state_of(m_node_a) == connection_state::connected; }));
        CPPUNIT_ASSERT(send(channel::consensus, "to b").ok());
        CPPUNIT_ASSERT(m_b->send(m_node_a, channel::snapshot, "to a").ok());
        await_messages(1);
        CPPUNIT_ASSERT(wait_until([this] { return m_handler_a->count() == 1; }));
        CPPUNIT_ASSERT_EQUAL(std::string{"to a"}, m_handler_a->messages()[0].bytes);
        CPPUNIT_ASSERT(m_handler_a->messages()[0].which == channel::snapshot);
    }

    void send_many_messages_are_counted()
    {
        start_connected();
        constexpr std::size_t count = 2000;
        for (std::size_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(send(static_cast<channel>(i % 3), std::to_string(i)).ok());
        }
        await_messages(count);
        std::uint64_t messages_in = 0;
        std::uint64_t messages_out = 0;
        for (int i = 0; i < 3; ++i) {
            const auto in = m_b->counters_of(m_node_a, static_cast<channel>(i));
            const auto out = m_a->counters_of(m_node_b, static_cast<channel>(i));
            CPPUNIT_ASSERT_EQUAL(out.bytes_out, in.bytes_in);
            messages_in += in.messages_in;
            messages_out += out.messages_out;
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{count}, messages_in);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{count}, messages_out);
        CPPUNIT_ASSERT(m_a->counters().wire_bytes_out > 0);
    }

    void send_too_large_is_refused()
    {
        start_connected();
        const auto status = send(channel::snapshot, std::string(peers::max_message_bytes + 1, 'x'));
        CPPUNIT_ASSERT(base::has_code(status, error_code::message_too_large));
    }

    void send_unknown_peer_is_not_connected()
    {
        start_both();
        CPPUNIT_ASSERT(base::has_code(send(channel::routing, "x"), error_code::not_connected));
        m_a->update_peers({{m_node_b, "127.0.0.1", 1}});
        CPPUNIT_ASSERT(wait_until([this] { return !m_a->last_error_of(m_node_b).ok(); }));
        CPPUNIT_ASSERT(base::has_code(send(channel::routing, "x"), error_code::not_connected));
        CPPUNIT_ASSERT(base::has_code(m_a->last_error_of(m_node_b), error_code::connect_failed));
    }

    // Guards against unbounded buffering for a receiver that doesn't read, and against a message
    // that is accepted and then lost or sent twice.
    void send_full_queue_is_refused_and_nothing_accepted_is_lost()
    {
        m_limits.max_queued_messages = 10;
        std::promise<void> let_read;
        auto may_read = let_read.get_future().share();
        m_handler_b->before_message = [may_read](const std::string&) { may_read.wait(); };
        start_connected();
        std::size_t accepted = 0;
        absl::Status status;
        const auto end = std::chrono::steady_clock::now() + test::test_timeout;
        while (std::chrono::steady_clock::now() < end) {
            status = send(channel::snapshot, std::to_string(accepted) + std::string(100'000, 'x'));
            if (!status.ok()) {
                // The queue may still drain into the flow control windows; after a pause these are
                // full.
                std::this_thread::sleep_for(50ms);
                status =
                    send(channel::snapshot, std::to_string(accepted) + std::string(100'000, 'x'));
            }
            if (!status.ok()) {
                break;
            }
            ++accepted;
        }
        CPPUNIT_ASSERT(base::has_code(status, error_code::queue_full));
        CPPUNIT_ASSERT(send(channel::consensus, "c").ok());
        let_read.set_value();
        await_messages(accepted + 1);
        std::size_t next = 0;
        for (const auto& message : m_handler_b->messages()) {
            if (message.which == channel::snapshot) {
                CPPUNIT_ASSERT(message.bytes.starts_with(std::to_string(next++) + "x"));
            }
        }
        CPPUNIT_ASSERT_EQUAL(accepted, next);
    }

    // Guards against a consensus message that is delayed by a snapshot: the receiver doesn't read
    // until both have been sent.
    void send_consensus_overtakes_snapshot()
    {
        std::promise<void> let_read;
        auto may_read = let_read.get_future().share();
        m_handler_b->before_message = [may_read](const std::string& bytes) {
            if (bytes == "block") {
                may_read.wait();
            }
        };
        start_connected();
        CPPUNIT_ASSERT(send(channel::routing, "block").ok());
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(
                send(channel::snapshot, std::string(peers::max_message_bytes, 's')).ok());
        }
        std::this_thread::sleep_for(50ms);
        CPPUNIT_ASSERT(send(channel::consensus, "heartbeat").ok());
        let_read.set_value();
        await_messages(6);
        CPPUNIT_ASSERT_EQUAL(std::string{"heartbeat"}, m_handler_b->messages()[1].bytes);
    }

    void stop_queued_messages_are_delivered()
    {
        m_limits.stop_timeout = test::test_timeout;
        start_connected();
        constexpr std::size_t count = 500;
        for (std::size_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(send(channel::routing, std::string(5000, 'x')).ok());
        }
        m_a->stop();
        CPPUNIT_ASSERT_EQUAL(count, m_handler_b->count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                             m_a->counters_of(m_node_b, channel::routing).dropped);
    }

    // Guards against a graceful stop that loses messages which other nodes have queued for this
    // node.
    void stop_of_receiver_lets_sender_finish()
    {
        m_limits.stop_timeout = test::test_timeout;
        std::promise<void> let_read;
        auto may_read = let_read.get_future().share();
        m_handler_b->before_message = [may_read](const std::string&) { may_read.wait(); };
        start_connected();
        constexpr std::size_t count = 500;
        for (std::size_t i = 0; i < count; ++i) {
            CPPUNIT_ASSERT(send(channel::routing, std::string(5000, 'x')).ok());
        }
        std::thread stopper{[this] { m_b->stop(); }};
        let_read.set_value();
        stopper.join();
        CPPUNIT_ASSERT_EQUAL(count, m_handler_b->count());
        await_state_change();
    }

    void send_after_stop_is_refused()
    {
        start_connected();
        m_a->stop();
        CPPUNIT_ASSERT(base::has_code(send(channel::routing, "x"), error_code::shutting_down));
        CPPUNIT_ASSERT(m_a->state_of(m_node_b) == connection_state::disconnected);
    }

    void removed_peer_is_disconnected()
    {
        start_connected();
        m_a->update_peers({});
        CPPUNIT_ASSERT(wait_until([this] {
            return base::has_code(send(channel::routing, "x"), error_code::not_connected);
        }));
        exchange_addresses();
        await_state(connection_state::connected);
    }

    void build_invalid_settings_returns_error()
    {
        const auto builder = [this] {
            return peers::peer_network_builder{}
                .id(m_node_a)
                .secret(usual_secret)
                .handler(*m_handler_a);
        };
        CPPUNIT_ASSERT(builder().build().ok());
        for (const auto& status :
             {builder().secret("short").build().status(), builder().listen("x", 0).build().status(),
              builder().peers({{m_node_b, "host", 1}}).build().status(),
              peers::peer_network_builder{}.id(m_node_a).secret(usual_secret).build().status()}) {
            CPPUNIT_ASSERT(base::has_code(status, error_code::invalid_settings));
        }
    }

private:
    void await_state_change()
    {
        CPPUNIT_ASSERT(
            wait_until([this] { return m_a->state_of(m_node_b) != connection_state::connected; }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_network_test);

} // namespace
