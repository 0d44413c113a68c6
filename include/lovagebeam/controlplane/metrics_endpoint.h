#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include <absl/status/statusor.h>

#include <memory>

namespace lovagebeam::controlplane {

/// Builds the server that exposes the metrics as text. It runs on its own thread, so that it
/// responds while the process is overloaded. `metrics` must outlive it.
absl::StatusOr<std::unique_ptr<callers::http_server>>
make_metrics_server(const settings::endpoint& listen, telemetry::metrics_registry& metrics);

} // namespace lovagebeam::controlplane
