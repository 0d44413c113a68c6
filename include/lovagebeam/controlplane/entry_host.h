#pragma once

#include "lovagebeam/controlplane/ports.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/metrics.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace lovagebeam::controlplane {

/// What callers' requests are recognised by on the wire.
struct caller_headers {
    std::string key_prefix; ///< of the Authorization header, before the key
    std::string deadline;   ///< header with the time that the caller waits, in milliseconds
    std::string readiness_path;
};

/// An entry process: takes callers' requests, passes them to the leader of the core, and makes
/// advice calls for it. Keeps no state but where the leader is. Thread-safe.
class entry_host {
public:
    struct parts {
        settings::process_settings settings;
        advice_port* advice = nullptr; ///< must outlive the host
        caller_headers headers;
        telemetry::metrics_registry* metrics = nullptr;
    };

    static absl::StatusOr<std::unique_ptr<entry_host>> create(parts given);

    entry_host() = default;
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;
    virtual ~entry_host() = default;

    virtual absl::Status start() = 0;
    /// Stops being ready, answers what is in flight, and ends the threads within the grace time of
    /// the settings.
    virtual void stop() = 0;
};

} // namespace lovagebeam::controlplane
