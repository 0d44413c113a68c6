#include "lovagebeam/base/clock.h"
#include "lovagebeam/controlplane/core_host.h"
#include "lovagebeam/jobs/evacuation.h"
#include "lovagebeam/targets/http_client.h"

#include "internal_calls.h"
#include "support/net.h"

#include <boost/json.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <unistd.h>

// Orders to evacuate failure domains at a core process, and its answers.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

class unused_worker_port final : public worker_port {
public:
    void start(const jobs::start_order&, std::function<void(jobs::start_outcome)>) override {}
    void stop(const jobs::stop_order&, std::function<void(bool)>) override {}
    void hold(const jobs::hold_order&,
              std::function<void(jobs::hold_outcome, jobs::hold_answer)>) override
    {
    }
};

class unused_codec final : public document_codec {
public:
    [[nodiscard]] absl::StatusOr<jobs::job_spec> decode_job(std::string_view) const override
    {
        return absl::UnimplementedError("unused");
    }
    [[nodiscard]] absl::StatusOr<jobs::catalog> decode_catalog(std::string_view) const override
    {
        return absl::UnimplementedError("unused");
    }
    [[nodiscard]] std::string encode_state(jobs::job_state) const override { return {}; }
    [[nodiscard]] std::string encode_pending(std::uint64_t) const override { return {}; }
};

/// A group of one core process.
class evacuation_orders_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(evacuation_orders_test);
    CPPUNIT_TEST(order_repeated_is_acknowledged_and_changes_nothing);
    CPPUNIT_TEST(order_that_waited_too_long_is_not_carried_out);
    CPPUNIT_TEST(order_invalid_is_refused_and_changes_nothing);
    CPPUNIT_TEST(order_before_election_is_not_acknowledged);
    CPPUNIT_TEST(acknowledged_order_after_restart_is_in_force);
    CPPUNIT_TEST(unexpected_revision_is_a_conflict);
    CPPUNIT_TEST(expected_revision_sent_again_is_acknowledged);
    CPPUNIT_TEST(one_domain_too_many_is_refused);
    CPPUNIT_TEST(internal_port_takes_orders_and_lists_them);
    CPPUNIT_TEST(internal_port_refuses_malformed_orders);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_settings.address = "127." + std::to_string(20 + ::getpid() % 200) + ".9.1";
        m_folder = std::filesystem::temp_directory_path() /
                   ("evacuation_orders_test." + std::to_string(::getpid()));
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        m_settings.node = base::node_id{"host"};
        m_settings.domain = base::failure_domain{"zone"};
        m_settings.data_folder = m_folder;
        m_settings.first_internal_port = first_port;
        m_settings.last_internal_port = first_port + 3;
        m_settings.seeds.push_back({m_settings.address, first_port});
        m_settings.tolerated_losses = 0;
        m_client.start();
        start(true);
        CPPUNIT_ASSERT(test::wait_until([this] { return is_leader(); }));
    }

    void tearDown() override
    {
        m_host.reset();
        m_client.stop();
        std::filesystem::remove_all(m_folder);
    }

    void order_repeated_is_acknowledged_and_changes_nothing()
    {
        const auto first = order("z1", true);
        CPPUNIT_ASSERT(first.outcome == control_outcome::done);
        const auto again = order("z1", true);
        CPPUNIT_ASSERT(again.outcome == control_outcome::done);
        CPPUNIT_ASSERT_EQUAL(first.body, again.body);
        CPPUNIT_ASSERT(order("z2", false).outcome == control_outcome::done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list().size());
    }

    // Guards against an order that takes effect after its sender has given up on it.
    void order_that_waited_too_long_is_not_carried_out()
    {
        evacuation_order late;
        late.domain = base::failure_domain{"z1"};
        late.received = base::boot_time() - m_settings.ack_timeout - 1ms;
        CPPUNIT_ASSERT(send(late).outcome == control_outcome::unconfirmed);
        CPPUNIT_ASSERT(list().empty());
    }

    void order_invalid_is_refused_and_changes_nothing()
    {
        for (const std::string name : {"", "a/b", "a b", "a%20b"}) {
            const auto answer = order(name, true);
            CPPUNIT_ASSERT_MESSAGE(name, answer.outcome == control_outcome::invalid);
            CPPUNIT_ASSERT_MESSAGE(name, !answer.body.empty());
        }
        CPPUNIT_ASSERT(order(std::string(65, 'a'), true).outcome == control_outcome::invalid);
        evacuation_order wordy;
        wordy.domain = base::failure_domain{"z1"};
        wordy.why = std::string(jobs::max_evacuation_note_bytes + 1, 'a');
        wordy.received = base::boot_time();
        CPPUNIT_ASSERT(send(wordy).outcome == control_outcome::invalid);
        CPPUNIT_ASSERT(list().empty());
    }

    void order_before_election_is_not_acknowledged()
    {
        m_host.reset();
        start(false);
        const auto answer = order("z1", true);
        if (answer.outcome != control_outcome::done) {
            CPPUNIT_ASSERT(answer.outcome == control_outcome::not_leader ||
                           answer.outcome == control_outcome::unconfirmed);
            CPPUNIT_ASSERT(answer.leader_address.empty());
        }
    }

    void acknowledged_order_after_restart_is_in_force()
    {
        const auto before = order("z1", true).body;
        m_host.reset();
        start(false);
        CPPUNIT_ASSERT(test::wait_until([this] { return is_leader(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list().size());
        CPPUNIT_ASSERT_EQUAL(before, boost::json::serialize(list()[0]));
    }

    void unexpected_revision_is_a_conflict()
    {
        order("z1", true);
        CPPUNIT_ASSERT(order("z1", false, 7).outcome == control_outcome::conflict);
        CPPUNIT_ASSERT(list()[0].at("evacuated").as_bool());
        CPPUNIT_ASSERT(order("z1", true, 7).outcome == control_outcome::conflict);
        CPPUNIT_ASSERT(order("z2", true, 1).outcome == control_outcome::conflict);
        CPPUNIT_ASSERT(order("z1", false, 1).outcome == control_outcome::done);
        CPPUNIT_ASSERT(!list()[0].at("evacuated").as_bool());
    }

    // The answer to the first one may be lost.
    void expected_revision_sent_again_is_acknowledged()
    {
        order("z1", true);
        CPPUNIT_ASSERT(order("z1", false, 1).outcome == control_outcome::done);
        CPPUNIT_ASSERT(order("z1", false, 1).outcome == control_outcome::done);
        CPPUNIT_ASSERT(order("z1", true, 1).outcome == control_outcome::conflict);
    }

    void one_domain_too_many_is_refused()
    {
        for (std::size_t i = 0; i < jobs::max_evacuated_domains; ++i) {
            CPPUNIT_ASSERT(order("d" + std::to_string(i), true).outcome == control_outcome::done);
        }
        CPPUNIT_ASSERT(order("z1", true).outcome == control_outcome::limit);
        CPPUNIT_ASSERT(order("d0", true).outcome == control_outcome::done);
        CPPUNIT_ASSERT(order("d0", false).outcome == control_outcome::done);
        CPPUNIT_ASSERT(order("z1", true).outcome == control_outcome::done);
    }

    void internal_port_takes_orders_and_lists_them()
    {
        const auto put = call("PUT", "/v1/evacuations/z1", R"({"who":"ops","why":"power work"})");
        CPPUNIT_ASSERT_EQUAL(200U, put.status);
        const auto listed = call("GET", "/v1/evacuations");
        CPPUNIT_ASSERT_EQUAL(200U, listed.status);
        const auto document = boost::json::parse(listed.body);
        const auto& record = document.at("evacuations").at(0);
        CPPUNIT_ASSERT(record.at("domain").as_string() == "z1");
        CPPUNIT_ASSERT(record.at("who").as_string() == "ops");
        CPPUNIT_ASSERT(record.at("why").as_string() == "power work");
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, record.at("revision").to_number<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL(
            409U, call("DELETE", "/v1/evacuations/z1", R"({"expected_revision":9})").status);
        CPPUNIT_ASSERT_EQUAL(
            200U, call("DELETE", "/v1/evacuations/z1", R"({"expected_revision":1})").status);
        CPPUNIT_ASSERT(!list()[0].at("evacuated").as_bool());
    }

    void internal_port_refuses_malformed_orders()
    {
        for (const auto* const body : {"[]", "{", R"({"who":1})", R"({"whom":"a"})",
                                       R"({"expected_revision":-1})", "{\"who\":\"\xff\"}"}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400U,
                                         call("PUT", "/v1/evacuations/z1", body).status);
        }
        CPPUNIT_ASSERT_EQUAL(400U, call("PUT", "/v1/evacuations/").status);
        CPPUNIT_ASSERT_EQUAL(400U, call("PUT", "/v1/evacuations/a/b").status);
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/evacuationsx").status);
        const auto posted = call("POST", "/v1/evacuations/z1");
        CPPUNIT_ASSERT_EQUAL(405U, posted.status);
        CPPUNIT_ASSERT(posted.header("Allow") == "PUT, DELETE");
        CPPUNIT_ASSERT(list().empty());
    }

private:
    void start(bool is_first_start)
    {
        m_settings.is_first_start = is_first_start;
        auto created = core_host::create({m_settings, &m_workers, &m_codec, &m_metrics});
        CPPUNIT_ASSERT_MESSAGE(std::string{created.status().message()}, created.ok());
        m_host = *std::move(created);
        CPPUNIT_ASSERT(m_host->start().ok());
    }

    control_answer send(const evacuation_order& order)
    {
        std::promise<control_answer> answered;
        m_host->set_evacuation(order,
                               [&](const control_answer& answer) { answered.set_value(answer); });
        return answered.get_future().get();
    }

    control_answer order(const std::string& domain, bool evacuate,
                         std::uint64_t expected_revision = 0)
    {
        evacuation_order out;
        out.domain = base::failure_domain{domain};
        out.evacuate = evacuate;
        out.expected_revision = expected_revision;
        out.received = base::boot_time();
        return send(out);
    }

    control_answer get_list()
    {
        std::promise<control_answer> answered;
        m_host->list_evacuations([&](const control_answer& answer) { answered.set_value(answer); });
        return answered.get_future().get();
    }

    bool is_leader() { return get_list().outcome == control_outcome::done; }

    boost::json::array list()
    {
        return boost::json::parse(get_list().body).at("evacuations").as_array();
    }

    targets::http_result call(const std::string& method, const std::string& path,
                              const std::string& body = {})
    {
        targets::http_call request;
        request.to = {m_settings.address, core_port(m_settings)};
        request.method = method;
        request.path = path;
        request.body = body;
        request.deadline = std::chrono::steady_clock::now() + 10s;
        std::promise<targets::http_result> promise;
        m_client.send(std::move(request),
                      [&](targets::http_result result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }

    static constexpr std::uint16_t first_port = 7420;

    settings::process_settings m_settings;
    unused_worker_port m_workers;
    unused_codec m_codec;
    telemetry::metrics_registry m_metrics;
    std::filesystem::path m_folder;
    targets::http_client m_client;
    std::unique_ptr<core_host> m_host;
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_orders_test);

} // namespace
