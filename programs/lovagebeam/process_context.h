#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include <absl/status/status.h>

#include <csignal>
#include <memory>
#include <string>

namespace lovagebeam::programs {

/// What every process of the job system starts from.
struct process_context {
    settings::process_settings settings;
    std::string settings_path;
    sigset_t signals{}; ///< blocked; taken by wait_for_stop
};

inline constexpr int exit_stopped = 0;
inline constexpr int exit_failed = 1;

/// Waits for a signal to stop. A signal to reload reads the settings file again, says which
/// changes need a restart, and keeps the running settings when the file is invalid.
void wait_for_stop(const process_context& context);

/// Starts the server of the metrics address, if the settings name one.
absl::Status start_metrics(const process_context& context, telemetry::metrics_registry& metrics,
                           std::unique_ptr<callers::http_server>& server);

/// Logs the start or its failure and returns whether the process runs.
bool report_start(const process_context& context, const char* role, bool is_ok,
                  const std::string& error);

} // namespace lovagebeam::programs
