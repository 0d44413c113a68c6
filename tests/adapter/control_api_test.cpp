#include "lovagebeam/base/clock.h"
#include "lovagebeam/targets/http_client.h"

#include "control_api.h"
#include "support/net.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::controlplane;
using namespace std::chrono_literals;

std::uint16_t free_port()
{
    boost::asio::io_context io;
    return boost::asio::ip::tcp::acceptor{io, test::loopback(0)}.local_endpoint().port();
}

/// Answers orders as the test says and keeps them.
class recording_service final : public control_service {
public:
    void report_worker(worker_report, control_done done) override { done({}); }
    void remove_worker(base::worker_id, base::wall_time, control_done done) override { done({}); }
    void put_catalog(std::string, control_done done) override { done(answer); }
    void get_catalog(control_done done) override { done({}); }
    void set_evacuation(evacuation_order order, control_done done) override
    {
        orders.push_back(std::move(order));
        done(answer);
    }
    void list_evacuations(control_done done) override { done({}); }

    control_answer answer{control_outcome::done, {}, {}};
    std::vector<evacuation_order> orders;
};

/// Operators' orders about failure domains, from the request to the service and back.
class control_api_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_api_test);
    CPPUNIT_TEST(post_evacuates_and_delete_withdraws);
    CPPUNIT_TEST(order_without_leader_gets_503_with_retry_after);
    CPPUNIT_TEST(order_to_follower_gets_307_to_same_path_of_leader);
    CPPUNIT_TEST(invalid_order_gets_400_with_reason);
    CPPUNIT_TEST(order_over_limit_gets_422);
    CPPUNIT_TEST(order_with_body_gets_400_and_is_not_carried_out);
    CPPUNIT_TEST(other_method_gets_405_with_allow);
    CPPUNIT_TEST(names_reach_the_service_unchanged);
    CPPUNIT_TEST(order_carries_time_of_its_arrival);
    CPPUNIT_TEST(configuration_to_follower_still_gets_307);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        settings::process_settings settings;
        settings.control = settings::endpoint{"127.0.0.1", free_port()};
        m_port = settings.control->port;
        auto server = platform::make_control_server(settings, m_service);
        CPPUNIT_ASSERT(server.ok());
        m_server = *std::move(server);
        CPPUNIT_ASSERT(m_server->start().ok());
        m_client.start();
    }

    void tearDown() override
    {
        m_client.stop();
        m_server->stop();
    }

    void post_evacuates_and_delete_withdraws()
    {
        CPPUNIT_ASSERT_EQUAL(200U, call("POST", "/lovagebeam/evacuate/zone-1").status);
        CPPUNIT_ASSERT_EQUAL(200U, call("DELETE", "/lovagebeam/evacuate/zone-1").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_service.orders.size());
        CPPUNIT_ASSERT(m_service.orders[0].evacuate);
        CPPUNIT_ASSERT(!m_service.orders[1].evacuate);
        for (const auto& order : m_service.orders) {
            CPPUNIT_ASSERT_EQUAL(std::string{"zone-1"}, order.domain.str());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, order.expected_revision);
        }
    }

    void order_without_leader_gets_503_with_retry_after()
    {
        for (const auto outcome : {control_outcome::unconfirmed, control_outcome::not_leader}) {
            m_service.answer = {outcome, {}, {}};
            const auto response = call("POST", "/lovagebeam/evacuate/z1");
            CPPUNIT_ASSERT_EQUAL(503U, response.status);
            CPPUNIT_ASSERT(response.header("Retry-After") == "1");
        }
    }

    void order_to_follower_gets_307_to_same_path_of_leader()
    {
        m_service.answer = {control_outcome::not_leader, "10.0.0.9", {}};
        const auto response = call("DELETE", "/lovagebeam/evacuate/z1");
        CPPUNIT_ASSERT_EQUAL(307U, response.status);
        CPPUNIT_ASSERT_EQUAL("http://10.0.0.9:" + std::to_string(m_port) +
                                 "/lovagebeam/evacuate/z1",
                             std::string{response.header("Location").value_or("")});
    }

    void invalid_order_gets_400_with_reason()
    {
        m_service.answer = {control_outcome::invalid, {}, "the name is \"too\" long"};
        const auto response = call("POST", "/lovagebeam/evacuate/z1");
        CPPUNIT_ASSERT_EQUAL(400U, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"error":"the name is \"too\" long"})"}, response.body);
    }

    // A 429 would be repeated by operators, a 422 ends the call.
    void order_over_limit_gets_422()
    {
        m_service.answer = {control_outcome::limit, {}, "256 domains"};
        CPPUNIT_ASSERT_EQUAL(422U, call("POST", "/lovagebeam/evacuate/z1").status);
    }

    void order_with_body_gets_400_and_is_not_carried_out()
    {
        const auto response = call("POST", "/lovagebeam/evacuate/z1", "{}");
        CPPUNIT_ASSERT_EQUAL(400U, response.status);
        CPPUNIT_ASSERT(response.body.find("body") != std::string::npos);
        CPPUNIT_ASSERT(m_service.orders.empty());
    }

    void other_method_gets_405_with_allow()
    {
        for (const auto* const method : {"GET", "PUT"}) {
            const auto response = call(method, "/lovagebeam/evacuate/z1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(method, 405U, response.status);
            CPPUNIT_ASSERT(response.header("Allow") == "POST, DELETE");
        }
        test::raw_client other{m_port};
        other.send("PATCH /lovagebeam/evacuate/z1 HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(other.read_answer().starts_with("HTTP/1.1 405 "));
        CPPUNIT_ASSERT(m_service.orders.empty());
        CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/lovagebeam/evacuate").status);
    }

    // The service checks names. Decoding an escaped one here would let it pass.
    void names_reach_the_service_unchanged()
    {
        const std::string names[] = {"", "a/b", "a%20b", "..", "z1"};
        for (const auto& name : names) {
            static_cast<void>(call("POST", "/lovagebeam/evacuate/" + name));
        }
        CPPUNIT_ASSERT_EQUAL(std::size(names), m_service.orders.size());
        for (std::size_t i = 0; i < std::size(names); ++i) {
            CPPUNIT_ASSERT_EQUAL(names[i], m_service.orders[i].domain.str());
        }
    }

    // Guards against an order that is carried out after its sender has given up.
    void order_carries_time_of_its_arrival()
    {
        const auto before = base::boot_time();
        static_cast<void>(call("POST", "/lovagebeam/evacuate/z1"));
        const auto received = m_service.orders.at(0).received;
        CPPUNIT_ASSERT(received >= before - 1ms);
        CPPUNIT_ASSERT(received <= base::boot_time());
    }

    void configuration_to_follower_still_gets_307()
    {
        m_service.answer = {control_outcome::not_leader, "10.0.0.9", {}};
        const auto response = call("PUT", "/lovagebeam/config", "{}");
        CPPUNIT_ASSERT_EQUAL(307U, response.status);
        CPPUNIT_ASSERT_EQUAL("http://10.0.0.9:" + std::to_string(m_port) + "/lovagebeam/config",
                             std::string{response.header("Location").value_or("")});
        m_service.answer = {};
        CPPUNIT_ASSERT_EQUAL(503U, call("PUT", "/lovagebeam/config", "{}").status);
    }

private:
    targets::http_result call(const std::string& method, const std::string& path,
                              const std::string& body = {})
    {
        targets::http_call request;
        request.to = {"127.0.0.1", m_port};
        request.method = method;
        request.path = path;
        request.body = body;
        request.deadline = std::chrono::steady_clock::now() + 10s;
        std::promise<targets::http_result> promise;
        m_client.send(std::move(request),
                      [&](targets::http_result result) { promise.set_value(std::move(result)); });
        auto result = promise.get_future().get();
        CPPUNIT_ASSERT(result.answered());
        return result;
    }

    recording_service m_service;
    std::uint16_t m_port = 0;
    std::unique_ptr<callers::http_server> m_server;
    targets::http_client m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_api_test);

} // namespace
