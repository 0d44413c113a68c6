#include "lovagebeam/controlplane/metrics_endpoint.h"

#include <sys/resource.h>

namespace lovagebeam::controlplane {
namespace {

constexpr std::size_t max_connections = 16;
constexpr std::size_t max_body_bytes = std::size_t{4} << 10U;

void update_process_metrics(telemetry::metrics_registry& metrics)
{
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    metrics.gauge_named("process_cpu_seconds_total")
        .set(seconds(use.ru_utime) + seconds(use.ru_stime));
    metrics.gauge_named("process_peak_memory_bytes").set(static_cast<double>(use.ru_maxrss) * 1024);
}

} // namespace

absl::StatusOr<std::unique_ptr<callers::http_server>>
make_metrics_server(const settings::endpoint& listen, telemetry::metrics_registry& metrics)
{
    callers::http_server_limits limits;
    limits.max_connections = max_connections;
    limits.max_body_bytes = max_body_bytes;
    return callers::http_server_builder{}
        .listen(listen.address, listen.port)
        .limits(limits)
        .handler([&metrics](const callers::http_request&, const callers::reply& reply) {
            update_process_metrics(metrics);
            callers::http_response response;
            response.content_type = "text/plain; version=0.0.4";
            response.body = metrics.render();
            reply(std::move(response));
        })
        .build();
}

} // namespace lovagebeam::controlplane
