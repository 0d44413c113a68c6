#pragma once

#include "lovagebeam/controlplane/ports.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace lovagebeam::controlplane {

/// The parts of the callers' HTTP protocol that depend on the platform.
struct caller_headers {
    std::string key_prefix; ///< precedes the key in the Authorization header
    std::string deadline;   ///< name of the header with the caller's timeout in milliseconds
    std::string readiness_path;
};

/// An entry process: accepts callers' requests, forwards them to the leader of the core, and makes
/// advice calls on its behalf. Its only state is the address of the leader. Thread-safe.
class entry_host {
public:
    struct dependencies {
        settings::process_settings settings;
        advice_port* advice = nullptr; ///< must outlive the host
        caller_headers headers;
        telemetry::metrics_registry* metrics = nullptr;
    };

    static absl::StatusOr<std::unique_ptr<entry_host>> create(dependencies deps);

    entry_host() = default;
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;
    virtual ~entry_host() = default;

    virtual absl::Status start() = 0;
    /// Reports not ready, completes the requests in flight, and joins the threads within the grace
    /// period of the settings.
    virtual void stop() = 0;
};

} // namespace lovagebeam::controlplane
