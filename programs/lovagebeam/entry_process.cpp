#include "entry_process.h"

#include "lovagebeam/controlplane/entry_host.h"
#include "lovagebeam/controlplane/metrics_endpoint.h"
#include "lovagebeam/telemetry/log.h"
#include "lovagebeam/telemetry/metrics.h"

#include "control_api.h"
#include "http_ports.h"

#include <memory>
#include <string>
#include <utility>

namespace lovagebeam::programs {
namespace {

using telemetry::log_event;
using telemetry::severity;

targets::endpoint advice_endpoint(const settings::process_settings& settings)
{
    return settings.advice_service
               ? targets::endpoint{settings.advice_service->address, settings.advice_service->port}
               : targets::endpoint{};
}

} // namespace

int run_entry(const process_context& context)
{
    telemetry::metrics_registry metrics;
    targets::http_client client;
    platform::http_advice_port advice{client, advice_endpoint(context.settings)};
    client.start();
    auto host = controlplane::entry_host::create(
        {context.settings, &advice, platform::caller_headers(), &metrics});
    absl::Status status = host.status();
    if (status.ok()) {
        status = (*host)->start();
    }
    std::unique_ptr<callers::http_server> metrics_server;
    if (status.ok()) {
        status = start_metrics(context, metrics, metrics_server);
    }
    if (!report_start(context, "entry", status.ok(), std::string{status.message()})) {
        return exit_failed;
    }
    wait_for_stop(context);
    (*host)->stop();
    client.stop();
    log_event{severity::info, "stopped"}.write();
    return exit_stopped;
}

} // namespace lovagebeam::programs
