#pragma once

#include "lovagebeam/peers/peer_network.h"

#include "support/net.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lovagebeam::test {

struct received_message {
    std::string from;
    peers::channel which;
    std::string bytes;
};

/// Records the messages and states that a network reports. `before_message` may block, which stops
/// the network from reading.
class recording_handler : public peers::peer_handler {
public:
    void on_message(const base::node_id& from, peers::channel which, std::string bytes) override
    {
        if (before_message) {
            before_message(bytes);
        }
        const std::lock_guard lock{m_mutex};
        m_messages.push_back({from.str(), which, std::move(bytes)});
    }

    void on_state(const base::node_id& peer, peers::connection_state state) override
    {
        const std::lock_guard lock{m_mutex};
        m_states.push_back(peer.str() + " " + std::string{peers::name_of(state)});
    }

    std::vector<received_message> messages()
    {
        const std::lock_guard lock{m_mutex};
        return m_messages;
    }

    std::size_t count()
    {
        const std::lock_guard lock{m_mutex};
        return m_messages.size();
    }

    std::vector<std::string> states()
    {
        const std::lock_guard lock{m_mutex};
        return m_states;
    }

    std::function<void(const std::string&)> before_message;

private:
    std::mutex m_mutex;
    std::vector<received_message> m_messages;
    std::vector<std::string> m_states;
};

/// Two networks, "a" and "b", on loopback.
class network_fixture : public CppUnit::TestFixture {
public:
    void setUp() override
    {
        // Far longer than the pauses of a loaded machine; tests of silent connections set shorter
        // times.
        m_limits = {};
        m_limits.ping_interval = std::chrono::seconds{5};
        m_limits.dial_timeout = test_timeout;
        m_handler_a = std::make_unique<recording_handler>();
        m_handler_b = std::make_unique<recording_handler>();
    }

    void tearDown() override
    {
        m_a.reset();
        m_b.reset();
    }

protected:
    using network_ptr = std::unique_ptr<peers::peer_network>;

    const base::node_id m_node_a{"a"};
    const base::node_id m_node_b{"b"};
    static constexpr const char* usual_secret = "0123456789abcdef";

    network_ptr start(const base::node_id& id, recording_handler& handler,
                      std::string secret = usual_secret, std::uint16_t port = 0)
    {
        auto built = peers::peer_network_builder{}
                         .id(id)
                         .listen("127.0.0.1", port)
                         .secret(std::move(secret))
                         .handler(handler)
                         .limits(m_limits)
                         .build();
        CPPUNIT_ASSERT(built.ok());
        network_ptr network = *std::move(built);
        const absl::Status started = network->start();
        CPPUNIT_ASSERT_MESSAGE(std::string{started.message()}, started.ok());
        return network;
    }

    void start_both()
    {
        m_a = start(m_node_a, *m_handler_a);
        m_b = start(m_node_b, *m_handler_b);
    }

    /// Gives each network the other's address. "a" dials "b" at `port_of_b`, or at the port where
    /// it listens when that is 0.
    void exchange_addresses(std::uint16_t port_of_b = 0)
    {
        m_b->update_peers({{m_node_a, "127.0.0.1", m_a->port()}});
        m_a->update_peers({{m_node_b, "127.0.0.1", port_of_b == 0 ? m_b->port() : port_of_b}});
    }

    void start_connected()
    {
        start_both();
        exchange_addresses();
        await_state(peers::connection_state::connected);
    }

    void await_state(peers::connection_state state)
    {
        CPPUNIT_ASSERT_MESSAGE(std::string{peers::name_of(m_a->state_of(m_node_b))},
                               wait_until([&] { return m_a->state_of(m_node_b) == state; }));
    }

    absl::Status send(peers::channel which, std::string bytes)
    {
        return m_a->send(m_node_b, which, std::move(bytes));
    }

    void await_messages(std::size_t count)
    {
        const bool arrived = wait_until([&] { return m_handler_b->count() >= count; });
        CPPUNIT_ASSERT_EQUAL_MESSAGE("messages", count, arrived ? count : m_handler_b->count());
    }

    peers::peer_limits m_limits;
    std::unique_ptr<recording_handler> m_handler_a;
    std::unique_ptr<recording_handler> m_handler_b;
    network_ptr m_a;
    network_ptr m_b;
};

} // namespace lovagebeam::test
