#include "lovagebeam/base/errors.h"
#include "lovagebeam/peers/peer_network.h"

#include "handshake.h"
#include "message_framing.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace lovagebeam;
using namespace lovagebeam::peers;

const base::wall_time now{1'700'000'000'000ms};

class handshake_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(handshake_test);
    CPPUNIT_TEST(hello_of_peer_is_accepted_once);
    CPPUNIT_TEST(hello_changed_part_is_refused);
    CPPUNIT_TEST(hello_for_another_node_is_refused);
    CPPUNIT_TEST(hello_outside_time_window_is_refused);
    CPPUNIT_TEST(hello_replayed_at_the_end_of_its_window_is_refused);
    CPPUNIT_TEST(decoder_any_split_gives_the_same_messages);
    CPPUNIT_TEST(decoder_too_long_message_fails_permanently);
    CPPUNIT_TEST_SUITE_END();

public:
    void hello_of_peer_is_accepted_once()
    {
        const hello greeting = m_sender.make_hello(base::node_id{"b"}, now);
        assert_accepted(m_receiver.check(greeting, now));
        assert_refused("nonce was used", m_receiver.check(greeting, now));
        assert_accepted(m_receiver.check(m_sender.make_hello(base::node_id{"b"}, now), now));
    }

    void hello_changed_part_is_refused()
    {
        const hello good = m_sender.make_hello(base::node_id{"b"}, now);
        std::vector<hello> changed(5, good);
        changed[0].node.front() = 'c';
        changed[1].time_ms.back() = good.time_ms.back() == '1' ? '2' : '1';
        changed[2].nonce.front() = good.nonce.front() == '1' ? '2' : '1';
        changed[3].mac.front() = good.mac.front() == '1' ? '2' : '1';
        changed[4].mac.clear();
        for (const auto& each : changed) {
            assert_refused("MAC is wrong", m_receiver.check(each, now));
        }
    }

    void hello_for_another_node_is_refused()
    {
        assert_refused("MAC is wrong",
                       m_receiver.check(m_sender.make_hello(base::node_id{"c"}, now), now));
    }

    void hello_outside_time_window_is_refused()
    {
        for (const auto offset : {-30'001ms, 30'001ms}) {
            assert_refused(
                "clocks differ",
                m_receiver.check(m_sender.make_hello(base::node_id{"b"}, now), now + offset));
        }
        for (const auto offset : {-30'000ms, 30'000ms}) {
            assert_accepted(
                m_receiver.check(m_sender.make_hello(base::node_id{"b"}, now), now + offset));
        }
    }

    // Guards against a nonce that expires while its hello is still within the time window.
    void hello_replayed_at_the_end_of_its_window_is_refused()
    {
        const hello early = m_sender.make_hello(base::node_id{"b"}, now + 30'000ms);
        assert_accepted(m_receiver.check(early, now));
        assert_refused("nonce was used", m_receiver.check(early, now + 60'000ms));
        assert_refused("clocks differ", m_receiver.check(early, now + 60'001ms));
    }

    void decoder_any_split_gives_the_same_messages()
    {
        const std::vector<std::string> messages{"", "a", std::string(300, 'b'), ""};
        std::string stream;
        for (const auto& each : messages) {
            const auto prefix = make_length_prefix(each.size());
            stream.append(prefix.data(), prefix.size()).append(each);
        }
        for (std::size_t step = 1; step <= stream.size(); ++step) {
            message_decoder decoder;
            std::vector<std::string> received;
            for (std::size_t at = 0; at < stream.size(); at += step) {
                assert_accepted(decoder.push(
                    std::string_view{stream}.substr(at, step),
                    [&](std::string message) { received.push_back(std::move(message)); }));
            }
            CPPUNIT_ASSERT(received == messages);
        }
    }

    void decoder_too_long_message_fails_permanently()
    {
        message_decoder decoder;
        const auto ignore = [](const std::string&) { CPPUNIT_FAIL("unexpected message"); };
        const auto prefix = make_length_prefix(max_message_bytes + 1);
        for (const std::string_view bytes :
             {std::string_view{prefix.data(), prefix.size()}, std::string_view{"\0\0\0\0", 4}}) {
            CPPUNIT_ASSERT(
                base::has_code(decoder.push(bytes, ignore), base::error_code::message_too_large));
        }
    }

private:
    static void assert_accepted(const absl::Status& status)
    {
        CPPUNIT_ASSERT_MESSAGE(std::string{status.message()}, status.ok());
    }

    static void assert_refused(std::string_view reason, const absl::Status& status)
    {
        CPPUNIT_ASSERT(base::has_code(status, base::error_code::unauthenticated));
        CPPUNIT_ASSERT_MESSAGE(std::string{status.message()},
                               std::string{status.message()}.find(reason) != std::string::npos);
    }

    authenticator m_sender{base::node_id{"a"}, "0123456789abcdef"};
    authenticator m_receiver{base::node_id{"b"}, "0123456789abcdef"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(handshake_test);

} // namespace
