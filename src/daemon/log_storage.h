#pragma once

#include "lovagebeam/consensus/replica.h"
#include "lovagebeam/settings/daemon_settings.h"
#include "lovagebeam/state/cell_state.h"
#include "lovagebeam/storage/file_system.h"
#include "lovagebeam/storage/log_store.h"

#include "decision_loop.h"
#include "ports.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace lovagebeam::daemon {

/// What a host starts from: its replica and state as far as the data folder holds them.
struct opened_log {
    std::unique_ptr<consensus::replica> replica;
    state::cell_state state;
    consensus::snapshot_meta snapshot;
    std::shared_ptr<const std::string> snapshot_bytes;
    consensus::member identity;
    /// Empty on a learner.
    std::unique_ptr<storage::log_store> store;
};

/// Opens the data folder of a voter, or builds a learner's empty replica. `run` seeds the replica,
/// which starts at `now` of the clock that it is driven with.
absl::StatusOr<opened_log> open_log(const settings::daemon_settings& settings,
                                    storage::file_system& files, std::uint64_t run,
                                    base::time_point now = std::chrono::steady_clock::now());

/// Makes the empty data folder of this host that of one of the first voters of a new group. Fails
/// with `already_exists` when the folder is in use by a group.
absl::Status init_group(const settings::daemon_settings& settings, storage::file_system& files);

/// Returns the writer that makes the replica's log durable: a storage thread, or nothing to do
/// for a learner without a store.
std::unique_ptr<log_writer> make_writer(std::unique_ptr<storage::log_store> store,
                                        decision_loop& loop);

} // namespace lovagebeam::daemon
