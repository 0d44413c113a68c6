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

/// The replica and the state that a host starts with, restored from its data folder if it has one.
struct opened_log {
    std::unique_ptr<consensus::replica> replica;
    state::cell_state state;
    consensus::snapshot_meta snapshot;
    std::shared_ptr<const std::string> snapshot_bytes;
    consensus::member identity;
    /// Empty on a learner.
    std::unique_ptr<storage::log_store> store;
};

/// Opens the data folder of a voter, or creates an empty replica for a learner. `run` seeds the
/// replica's random source. `now` is the start time on the clock that drives the replica.
absl::StatusOr<opened_log> open_log(const settings::daemon_settings& settings,
                                    storage::file_system& files, std::uint64_t run,
                                    base::time_point now = std::chrono::steady_clock::now());

/// Initialises the empty data folder of this host as one of the initial voters of a new group.
/// Fails with `already_exists` if the folder already belongs to a member of a group.
absl::Status init_group(const settings::daemon_settings& settings, storage::file_system& files);

/// Creates the writer of the replica's log: a storage thread, or a writer that stores nothing for a
/// learner, which has no store.
std::unique_ptr<log_writer> make_writer(std::unique_ptr<storage::log_store> store,
                                        decision_loop& loop);

} // namespace lovagebeam::daemon
