#pragma once

#include "lovagebeam/settings/daemon_settings.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace lovagebeam::daemon {

/// Initialises the empty data folder of one of the initial voters of a new group. Call it once, at
/// installation. Otherwise a host that starts with an empty folder waits to be added to the
/// existing group under a new identity, since the votes of its earlier instance may be lost. Fails
/// with `already_exists` or a storage error.
absl::Status init_group(const settings::daemon_settings& settings);

/// One host of the system: all components of `lovagebeamd` and the threads that run them.
class host {
public:
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    /// Opens the data folder and creates the components. Fails with `invalid_settings`,
    /// `log_corrupt`, `snapshot_corrupt` or `storage_failed`.
    static absl::StatusOr<std::unique_ptr<host>> create(settings::daemon_settings settings);

    /// Starts all threads. Fails with `connect_failed` if the host can't listen on an address.
    absl::Status start();

    /// Shuts down gracefully: readiness fails, requests in flight complete, and another host takes
    /// over everything that this one owns. Takes at most 10 s. Returns `timed_out` if a
    /// request was aborted.
    absl::Status stop();

private:
    class implementation;
    explicit host(std::unique_ptr<implementation> owned);

    std::unique_ptr<implementation> m_implementation;
};

} // namespace lovagebeam::daemon
