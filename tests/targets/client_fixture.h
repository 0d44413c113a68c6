#pragma once

#include "lovagebeam/targets/http_client.h"

#include "support/net.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>

namespace lovagebeam::test {

inline void assert_outcome(targets::http_outcome expected, const targets::http_result& result)
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.detail, std::string{targets::name_of(expected)},
                                 std::string{targets::name_of(result.outcome)});
}

/// Creates a client and sends calls to loopback ports.
class client_fixture : public CppUnit::TestFixture {
public:
    void tearDown() override { m_client.reset(); }

protected:
    std::future<targets::http_result> call(std::uint16_t port, std::string path = "/",
                                           std::chrono::milliseconds limit = test_timeout,
                                           std::string body = {}, bool is_urgent = false)
    {
        if (!m_client) {
            m_client = std::make_unique<targets::http_client>(m_limits);
            m_client->start();
        }
        targets::http_call request;
        request.to = {"127.0.0.1", port};
        request.method = body.empty() ? "GET" : "POST";
        request.path = std::move(path);
        request.body = std::move(body);
        request.deadline = std::chrono::steady_clock::now() + limit;
        request.is_urgent = is_urgent;
        auto done = std::make_shared<std::promise<targets::http_result>>();
        m_client->send(std::move(request),
                       [done](targets::http_result result) { done->set_value(std::move(result)); });
        return done->get_future();
    }

    std::future<targets::http_result> urgent_call(std::uint16_t port)
    {
        return call(port, "/", test_timeout, {}, true);
    }

    /// Returns a port on which nothing listens.
    static std::uint16_t unused_port()
    {
        boost::asio::io_context io;
        const boost::asio::ip::tcp::acceptor acceptor{io, loopback(0)};
        return acceptor.local_endpoint().port();
    }

    targets::http_client_limits m_limits;
    std::unique_ptr<targets::http_client> m_client;
};

} // namespace lovagebeam::test
