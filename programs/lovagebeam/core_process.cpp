#include "core_process.h"

#include "lovagebeam/controlplane/core_host.h"
#include "lovagebeam/controlplane/metrics_endpoint.h"
#include "lovagebeam/telemetry/log.h"
#include "lovagebeam/telemetry/metrics.h"

#include "control_api.h"
#include "documents.h"
#include "http_ports.h"

#include <memory>
#include <utility>

namespace lovagebeam::programs {
namespace {

using telemetry::log_event;
using telemetry::severity;

/// A hold call occupies one connection for a second; the others are for start and stop calls. With
/// 350 workers this leaves more than half of the 4,100 file descriptors of a host unused.
constexpr std::size_t connections_per_worker = 4;
constexpr std::chrono::seconds idle_connection_timeout{20};

targets::http_client_limits client_limits()
{
    targets::http_client_limits limits;
    limits.max_connections_per_endpoint = connections_per_worker;
    limits.idle_timeout = idle_connection_timeout;
    return limits;
}

} // namespace

int run_core(const process_context& context)
{
    telemetry::metrics_registry metrics;
    targets::http_client client{client_limits()};
    platform::http_worker_port workers{client};
    const platform::documents codec;
    auto host = controlplane::core_host::create({context.settings, &workers, &codec, &metrics});
    absl::Status status = host.status();
    std::unique_ptr<callers::http_server> control;
    if (status.ok() && context.settings.control) {
        auto server = platform::make_control_server(context.settings, **host);
        status = server.status();
        if (status.ok()) {
            control = *std::move(server);
        }
    }
    client.start();
    if (status.ok()) {
        status = (*host)->start();
    }
    if (status.ok() && control) {
        status = control->start();
    }
    std::unique_ptr<callers::http_server> metrics_server;
    if (status.ok()) {
        status = start_metrics(context, metrics, metrics_server);
    }
    if (!report_start(context, "core", status.ok(), std::string{status.message()})) {
        return exit_failed;
    }
    wait_for_stop(context);
    (*host)->stop();
    if (control) {
        control->stop();
    }
    client.stop();
    log_event{severity::info, "stopped"}.write();
    return exit_stopped;
}

} // namespace lovagebeam::programs
