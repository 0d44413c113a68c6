#pragma once

#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/storage/file_system.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// Returns the addresses of the first group's voters as this data folder remembers them, or none
/// for a folder that isn't one of theirs. On the first start they are agreed on with the other core
/// processes (see discover_initial_voters) and remembered; later seeds may differ. Blocks
/// meanwhile.
absl::StatusOr<std::vector<std::string>>
load_initial_voters(const settings::process_settings& settings, storage::file_system& files);

/// Returns the settings with which the log of this process is opened.
settings::daemon_settings log_settings(const settings::process_settings& settings,
                                       const std::vector<std::string>& first_voters);

} // namespace lovagebeam::controlplane
