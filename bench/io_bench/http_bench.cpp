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

/// Closed-loop load generator: starts a call whenever one ends, until `count` calls were made.
class load_generator {
public:
    load_generator(targets::http_client& client, std::uint16_t port, std::size_t size,
                   std::size_t count)
        : m_client{client}, m_port{port}, m_size{size}, m_remaining{count}
    {
        m_samples.reserve(count);
    }

    void start_call()
    {
        if (m_remaining == 0) {
            return;
        }
        --m_remaining;
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
                          start_call();
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
    std::size_t m_remaining; ///< Used only on the client's thread after the client has started.
    std::vector<double> m_samples;
    std::size_t m_failed = 0;
    std::atomic<std::size_t> m_done{0};
};

} // namespace

void bench_http(std::size_t concurrency, std::size_t size, std::size_t count)
{
    const auto server = make_server(size);
    targets::http_client client;
    load_generator generator{client, server->port(), size, count};
    // Calls sent before the start are queued until then, so that only one thread uses the state.
    for (std::size_t i = 0; i < concurrency; ++i) {
        generator.start_call();
    }
    const stopwatch watch;
    client.start();
    while (generator.done() < count) {
        std::this_thread::sleep_for(1ms);
    }
    const double total = static_cast<double>(count);
    const std::string suffix =
        "_" + std::to_string(size) + "b_" + std::to_string(concurrency) + "_calls";
    report("http_requests_per_s" + suffix, total / watch.seconds());
    report("http_cpu_us_per_request" + suffix, watch.cpu_us() / total);
    report("http_failed" + suffix, static_cast<double>(generator.failed()));
    client.stop();
    report("http_latency_p50_us" + suffix, percentile(generator.samples(), 0.5));
    report("http_latency_p99_us" + suffix, percentile(generator.samples(), 0.99));
}

} // namespace lovagebeam::bench
