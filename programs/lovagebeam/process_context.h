#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include <absl/status/status.h>

#include <csignal>
#include <memory>
#include <string>

namespace lovagebeam::programs {

/// Settings and signals that a process starts with.
struct process_context {
    settings::process_settings settings;
    std::string settings_path;
    sigset_t signals{}; ///< blocked; received by wait_for_stop
};

inline constexpr int exit_stopped = 0;
inline constexpr int exit_failed = 1;

/// Blocks until SIGTERM or SIGINT. On SIGHUP reads the settings file again, logs whether its
/// changes need a restart, and keeps the current settings.
void wait_for_stop(const process_context& context);

/// Starts the metrics server if the settings contain its address.
absl::Status start_metrics(const process_context& context, telemetry::metrics_registry& metrics,
                           std::unique_ptr<callers::http_server>& server);

/// Logs the start or its failure. Returns `is_ok`.
bool report_start(const process_context& context, const char* role, bool is_ok,
                  const std::string& error);

} // namespace lovagebeam::programs
