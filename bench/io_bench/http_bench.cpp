#include "http_bench.h"

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/targets/http_client.h"

#include "measure.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lovagebeam::bench {
namespace {

using namespace std::chrono_literals;

std::unique_ptr<callers::http_server> make_server(std::size_t size)
{
    auto built = callers::http_server_builder{}
                     .handler([size](const callers::http_request&, const callers::reply& answer) {
                         callers::http_response response;
                         response.body.assign(size, 'y');
                         answer.send(std::move(response));
                     })
                     .build();
    auto server = *std::move(built);
    if (!server->start().ok()) {
        std::cerr << "error=listen\n";
        std::exit(1);
    }
    return server;
}

/// Keeps a number of calls under way until enough have ended.
class caller {
public:
    caller(targets::http_client& client, std::uint16_t port, std::size_t size, std::size_t count)
        : m_client{client}, m_port{port}, m_size{size}, m_left{count}
    {
        m_samples.reserve(count);
    }

    void next()
    {
        if (m_left == 0) {
            return;
        }
        --m_left;
        targets::http_call call;
        call.to = {"127.0.0.1", m_port};
        call.method = "POST";
        call.path = "/";
        call.body.assign(m_size, 'x');
        call.deadline = std::chrono::steady_clock::now() + 30s;
        m_client.send(std::move(call),
                      [this, watch = stopwatch{}](const targets::http_result& result) {
                          m_samples.push_back(watch.seconds() * 1e6);
                          m_failed += result.answered() ? 0U : 1U;
                          next();
                          ++m_done;
                      });
    }

    [[nodiscard]] std::size_t done() const { return m_done; }
    [[nodiscard]] std::size_t failed() const { return m_failed; }
    std::vector<double>& samples() { return m_samples; }

private:
    targets::http_client& m_client;
    std::uint16_t m_port;
    std::size_t m_size;
    std::size_t m_left; ///< Used on the client's thread once the first calls are under way.
    std::vector<double> m_samples;
    std::size_t m_failed = 0;
    std::atomic<std::size_t> m_done{0};
};

} // namespace

void bench_http(std::size_t concurrency, std::size_t size, std::size_t count)
{
    const auto server = make_server(size);
    targets::http_client client;
    caller calls{client, server->port(), size, count};
    // Calls made before the start wait for it, so that all state is used on one thread.
    for (std::size_t i = 0; i < concurrency; ++i) {
        calls.next();
    }
    const stopwatch watch;
    client.start();
    while (calls.done() < count) {
        std::this_thread::sleep_for(1ms);
    }
    const double total = static_cast<double>(count);
    const std::string suffix =
        "_" + std::to_string(size) + "b_" + std::to_string(concurrency) + "_calls";
    report("http_requests_per_s" + suffix, total / watch.seconds());
    report("http_cpu_us_per_request" + suffix, watch.cpu_us() / total);
    report("http_failed" + suffix, static_cast<double>(calls.failed()));
    client.stop();
    report("http_latency_p50_us" + suffix, percentile(calls.samples(), 0.5));
    report("http_latency_p99_us" + suffix, percentile(calls.samples(), 0.99));
}

} // namespace lovagebeam::bench
