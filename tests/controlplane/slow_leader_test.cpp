#include "lovagebeam/base/clock.h"
#include "lovagebeam/callers/http_server.h"

#include "internal_calls.h"
#include "leader_link.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

// Load pattern: the leader is late with every answer, as after a return of all core processes into
// a burst, and each entry process has calls under way to it.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

using outcome_kind = leader_link::outcome::kind;

callers::http_response with_message(const google::protobuf::MessageLite& message)
{
    callers::http_response response;
    response.body = message.SerializeAsString();
    return response;
}

/// A leader that answers every call after `delay`.
class slow_leader {
public:
    slow_leader()
        : m_server{callers::http_server_builder{}
                       .handler([this](const callers::http_request& request,
                                       const callers::reply& reply) { on_request(request, reply); })
                       .build()},
          m_answers{[this] { run(); }}
    {
        CPPUNIT_ASSERT((*m_server)->start().ok());
    }

    ~slow_leader()
    {
        (*m_server)->stop();
        {
            const std::lock_guard lock{m_mutex};
            m_is_stopping = true;
        }
        m_changed.notify_one();
        m_answers.join();
    }

    slow_leader(const slow_leader&) = delete;
    slow_leader& operator=(const slow_leader&) = delete;

    [[nodiscard]] std::uint16_t port() const { return (*m_server)->port(); }
    [[nodiscard]] std::uint64_t connections() const
    {
        return (*m_server)->counters().connections_accepted;
    }

    std::atomic<std::chrono::milliseconds> delay = 0ms;
    std::atomic<std::size_t> calls = 0;

private:
    struct pending_answer {
        std::chrono::steady_clock::time_point due;
        callers::reply reply;
        callers::http_response response;
    };

    void on_request(const callers::http_request& request, const callers::reply& reply)
    {
        callers::http_response response;
        if (request.path() == sync_path) {
            proto::controlplane::SyncAnswer sync;
            sync.set_is_leader(true);
            sync.set_leader("127.0.0.1");
            response = with_message(sync);
        }
        else {
            ++calls;
            proto::controlplane::CallerAnswer answer;
            answer.set_status(200);
            response = with_message(answer);
        }
        const std::lock_guard lock{m_mutex};
        m_pending.push_back({std::chrono::steady_clock::now() + delay.load(), reply, response});
        m_changed.notify_one();
    }

    void run()
    {
        std::unique_lock lock{m_mutex};
        while (!m_is_stopping) {
            if (m_pending.empty()) {
                m_changed.wait(lock);
            }
            else if (std::chrono::steady_clock::now() < m_pending.front().due) {
                const auto due = m_pending.front().due;
                m_changed.wait_until(lock, due);
            }
            else {
                const auto next = std::move(m_pending.front());
                m_pending.pop_front();
                next.reply(next.response);
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<pending_answer> m_pending; ///< guarded by m_mutex
    bool m_is_stopping = false;           ///< guarded by m_mutex
    absl::StatusOr<std::unique_ptr<callers::http_server>> m_server;
    std::thread m_answers;
};

/// An entry process's link to one leader, with the calls that it forwarded.
class running_link {
public:
    explicit running_link(std::uint16_t port)
        : m_settings{settings_for(port)}, m_loop{&base::boot_time}, m_link{m_settings, m_client,
                                                                           m_loop}
    {
        m_client.start();
        m_decisions = std::thread{[this] {
            m_loop.run({[this](base::time_point now) {
                            m_link.tick(now);
                            m_is_connected = m_link.is_connected(now);
                        },
                        [](base::time_point) {}});
        }};
        while (!m_is_connected) {
            std::this_thread::sleep_for(1ms);
        }
    }

    ~running_link()
    {
        m_loop.stop();
        m_decisions.join();
        m_client.stop();
    }

    running_link(const running_link&) = delete;
    running_link& operator=(const running_link&) = delete;

    void forward(std::size_t count, std::chrono::milliseconds deadline)
    {
        m_loop.post_completion([this, count, deadline](base::time_point now) {
            for (std::size_t i = 0; i < count; ++i) {
                proto::controlplane::CallerCall call;
                call.set_method("POST");
                m_link.forward(
                    now, call, now + deadline, [this](const leader_link::outcome& outcome) {
                        (outcome.how == outcome_kind::answered ? answered : unanswered)++;
                    });
            }
        });
    }

    void wait_for(std::size_t ended)
    {
        while (answered + unanswered < ended) {
            std::this_thread::sleep_for(1ms);
        }
    }

    std::atomic<std::size_t> answered = 0;
    std::atomic<std::size_t> unanswered = 0;

private:
    static settings::process_settings settings_for(std::uint16_t port)
    {
        settings::process_settings settings;
        settings.address = "127.0.0.1";
        settings.seeds = {{"127.0.0.1", 1}};
        settings.first_internal_port = static_cast<std::uint16_t>(port - 1);
        return settings;
    }

    settings::process_settings m_settings;
    targets::http_client m_client;
    daemon::decision_loop m_loop;
    leader_link m_link;
    std::atomic<bool> m_is_connected = false;
    std::thread m_decisions;
};

class slow_leader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slow_leader_test);
    CPPUNIT_TEST(forward_one_call_past_its_deadline_others_are_sent_once);
    CPPUNIT_TEST(forward_leader_later_than_sync_timeout_calls_are_sent_once);
    CPPUNIT_TEST(forward_leader_later_than_call_timeout_few_calls_are_sent_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an overload that keeps itself up: each call whose caller's time is over ended
    // all other calls to the leader, which were sent again on new connections (issue 29).
    void forward_one_call_past_its_deadline_others_are_sent_once()
    {
        slow_leader leader;
        running_link link{leader.port()};
        leader.delay = 400ms;
        link.forward(1, 200ms);
        link.forward(15, 3s);
        link.wait_for(16);
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, link.answered.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, leader.calls.load());
    }

    // Guards against a leader that gets every call again because one answer was late.
    void forward_leader_later_than_sync_timeout_calls_are_sent_once()
    {
        slow_leader leader;
        running_link link{leader.port()};
        leader.delay = 1'500ms;
        link.forward(15, 3s);
        link.wait_for(15);
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, link.answered.load());
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, leader.calls.load());
    }

    // Guards against a load that doubles as soon as answers take longer than the time after which
    // a call is sent again.
    void forward_leader_later_than_call_timeout_few_calls_are_sent_again()
    {
        slow_leader leader;
        running_link link{leader.port()};
        leader.delay = 2'200ms;
        link.forward(15, 3s);
        link.wait_for(15);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(leader.calls) + " calls", leader.calls <= 18);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_leader_test);

} // namespace
