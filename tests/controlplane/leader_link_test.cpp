#include "lovagebeam/base/clock.h"
#include "lovagebeam/callers/http_server.h"

#include "internal_calls.h"
#include "leader_link.h"
#include "support/net.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

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

proto::controlplane::CallerAnswer answer_with(unsigned status)
{
    proto::controlplane::CallerAnswer out;
    out.set_status(status);
    return out;
}

/// A core process that leads and answers callers' requests one after the other as it is told.
class fake_core {
public:
    explicit fake_core(std::vector<proto::controlplane::CallerAnswer> answers)
        : m_answers{std::move(answers)},
          m_server{callers::http_server_builder{}
                       .handler([this](const callers::http_request& request,
                                       const callers::reply& reply) { answer(request, reply); })
                       .build()}
    {
        CPPUNIT_ASSERT((*m_server)->start().ok());
    }

    [[nodiscard]] std::uint16_t port() const { return (*m_server)->port(); }

private:
    void answer(const callers::http_request& request, const callers::reply& reply)
    {
        if (request.path() == sync_path) {
            proto::controlplane::SyncAnswer sync;
            sync.set_is_leader(true);
            sync.set_leader("127.0.0.1");
            reply(with_message(sync));
            return;
        }
        const auto number = m_calls++;
        reply(with_message(m_answers.at(std::min(number, m_answers.size() - 1))));
    }

    std::vector<proto::controlplane::CallerAnswer> m_answers;
    std::atomic<std::size_t> m_calls = 0;
    absl::StatusOr<std::unique_ptr<callers::http_server>> m_server;
};

/// Passes one request through a link to a fake core.
leader_link::outcome pass(std::vector<proto::controlplane::CallerAnswer> answers)
{
    fake_core core{std::move(answers)};
    settings::process_settings settings;
    settings.address = "127.0.0.1";
    settings.seeds = {{"127.0.0.1", 1}};
    settings.first_internal_port = static_cast<std::uint16_t>(core.port() - 1);
    targets::http_client client;
    client.start();
    daemon::decision_loop loop{&base::boot_time};
    leader_link link{settings, client, loop};
    std::thread decisions{[&] {
        loop.run({[&](base::time_point now) { link.tick(now); }, [](base::time_point) {}});
    }};
    std::promise<leader_link::outcome> ended;
    loop.post_completion([&](base::time_point now) {
        proto::controlplane::CallerCall call;
        call.set_method("POST");
        link.pass(now, call, now + 3s,
                  [&](const leader_link::outcome& outcome) { ended.set_value(outcome); });
    });
    auto result = ended.get_future().get();
    loop.stop();
    decisions.join();
    client.stop();
    return result;
}

proto::controlplane::CallerAnswer in_doubt()
{
    proto::controlplane::CallerAnswer out;
    out.set_in_doubt(true);
    return out;
}

class leader_link_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leader_link_test);
    CPPUNIT_TEST(pass_refused_at_once_is_refused);
    CPPUNIT_TEST(pass_in_doubt_then_accepted_is_accepted);
    CPPUNIT_TEST(pass_in_doubt_then_refused_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    void pass_refused_at_once_is_refused()
    {
        const auto result = pass({answer_with(401)});
        CPPUNIT_ASSERT(outcome_kind::answered == result.how);
        CPPUNIT_ASSERT_EQUAL(401U, result.answer.status());
    }

    void pass_in_doubt_then_accepted_is_accepted()
    {
        const auto result = pass({in_doubt(), answer_with(200)});
        CPPUNIT_ASSERT(outcome_kind::answered == result.how);
        CPPUNIT_ASSERT_EQUAL(200U, result.answer.status());
    }

    // Guards against telling a caller that its job was turned away although an earlier attempt
    // was accepted before its key was withdrawn (kowhai-desk-grown, scale-1).
    void pass_in_doubt_then_refused_is_unknown()
    {
        for (const auto status : {401U, 404U, 503U}) {
            const auto result = pass({in_doubt(), answer_with(status)});
            CPPUNIT_ASSERT(outcome_kind::unknown == result.how);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_link_test);

} // namespace
