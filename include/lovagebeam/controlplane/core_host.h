#pragma once

#include "lovagebeam/controlplane/ports.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace lovagebeam::controlplane {

/// A core process: one replica of the state and, while it leads, the scheduler. Serves entry
/// processes and other core processes on the internal ports, and workers and operators through
/// `control_service`. Thread-safe.
class core_host : public control_service {
public:
    struct dependencies {
        settings::process_settings settings;
        worker_port* workers = nullptr;        ///< must outlive the host
        const document_codec* codec = nullptr; ///< must outlive the host
        telemetry::metrics_registry* metrics = nullptr;
    };

    /// Opens the data folder. Returns the errors of the log store.
    static absl::StatusOr<std::unique_ptr<core_host>> create(dependencies deps);

    virtual absl::Status start() = 0;
    /// Transfers leadership and joins the threads.
    virtual void stop() = 0;
};

} // namespace lovagebeam::controlplane
