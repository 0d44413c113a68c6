#include "process_context.h"

#include "lovagebeam/controlplane/metrics_endpoint.h"
#include "lovagebeam/telemetry/log.h"

#include <iostream>

namespace lovagebeam::programs {
namespace {

using telemetry::log_event;
using telemetry::severity;

void reload(const process_context& context)
{
    const auto settings = settings::load_process_settings(context.settings_path);
    if (!settings.ok()) {
        log_event{severity::error, "settings_invalid"}
            .with("kept", "the running settings")
            .with("detail", std::string{settings.status().message()})
            .write();
        return;
    }
    const bool are_seeds_new = settings->seeds != context.settings.seeds;
    log_event{severity::info, "settings_reloaded"}
        .with("changed", are_seeds_new ? "seeds" : "nothing")
        .with("needs_restart", are_seeds_new)
        .write();
}

} // namespace

void wait_for_stop(const process_context& context)
{
    for (;;) {
        int signal = 0;
        if (sigwait(&context.signals, &signal) != 0) {
            continue;
        }
        if (signal != SIGHUP) {
            log_event{severity::info, "stopping"}.with("signal", signal).write();
            return;
        }
        reload(context);
    }
}

absl::Status start_metrics(const process_context& context, telemetry::metrics_registry& metrics,
                           std::unique_ptr<callers::http_server>& server)
{
    if (!context.settings.metrics) {
        return absl::OkStatus();
    }
    auto built = controlplane::make_metrics_server(*context.settings.metrics, metrics);
    if (!built.ok()) {
        return built.status();
    }
    server = *std::move(built);
    return server->start();
}

bool report_start(const process_context& context, const char* role, bool is_ok,
                  const std::string& error)
{
    log_event line{is_ok ? severity::info : severity::error, is_ok ? "started" : "start_failed"};
    line.with("role", role)
        .with("version", LOVAGEBEAM_VERSION)
        .with("address", context.settings.address)
        .with("first_start", context.settings.is_first_start);
    if (!is_ok) {
        line.with("detail", error);
        std::cerr << "lovagebeam: " << error << '\n';
    }
    line.write();
    return is_ok;
}

} // namespace lovagebeam::programs
