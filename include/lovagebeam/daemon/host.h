#pragma once

#include "lovagebeam/settings/daemon_settings.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>

namespace lovagebeam::daemon {

/// Prepares the empty data folder of one of the first voters of a new group. Done once, at the
/// installation: a host that starts with an empty folder otherwise waits to be added to the
/// existing group under a new identity, since its votes of an earlier life may be lost. Fails with
/// `already_exists` or a storage error.
absl::Status init_group(const settings::daemon_settings& settings);

/// One host of the system: every part of `lovagebeamd` and the threads that run it.
class host {
public:
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    /// Opens the data folder and builds the parts. Fails with `invalid_settings`, `log_corrupt`,
    /// `snapshot_corrupt` or `storage_failed`.
    static absl::StatusOr<std::unique_ptr<host>> create(settings::daemon_settings settings);

    /// Starts every thread. Fails with `connect_failed` when an address can't be used.
    absl::Status start();

    /// Stops gracefully: readiness fails, requests in flight end, another host takes over what this
    /// one owns. Takes at most 10 s. Returns `timed_out` if a request was cut.
    absl::Status stop();

private:
    class implementation;
    explicit host(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> m_parts;
};

} // namespace lovagebeam::daemon
