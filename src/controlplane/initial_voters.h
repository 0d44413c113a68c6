#pragma once

#include "lovagebeam/settings/process_settings.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// Chooses the initial voters of the group: the seeds that have a disk. Every process makes the
/// same choice, since the seeds of the first start are the same everywhere and whether one has a
/// disk doesn't change. When no seed has a disk, the seed with the lowest address chooses alone:
/// among the known hosts with a disk, the one with the lowest address, once `waited` is long enough
/// for all hosts to have started. `durable` tells for each known host whether it has a disk.
/// Returns nothing while the choice isn't determined.
std::optional<std::vector<std::string>>
choose_initial_voters(const std::vector<std::string>& seeds,
                      const std::map<std::string, bool>& durable, const std::string& self,
                      std::chrono::milliseconds waited);

/// Queries the other core processes until the initial voters are known. For the first start of a
/// process with a disk. Blocks. Fails with `timed_out`, after which the process joins the group
/// like any process that starts later.
absl::StatusOr<std::vector<std::string>>
discover_initial_voters(const settings::process_settings& settings);

} // namespace lovagebeam::controlplane
