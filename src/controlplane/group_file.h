#pragma once

#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/storage/file_system.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// Returns the addresses of the initial voters as stored in the data folder, or none if this
/// process wasn't an initial voter. On the first start they are agreed on with the other core
/// processes (see discover_initial_voters), which blocks, and stored, since later seeds may differ.
absl::StatusOr<std::vector<std::string>>
load_initial_voters(const settings::process_settings& settings, storage::file_system& files);

/// Returns the settings for opening the log of this process.
settings::daemon_settings log_settings(const settings::process_settings& settings,
                                       const std::vector<std::string>& initial_voters);

} // namespace lovagebeam::controlplane
