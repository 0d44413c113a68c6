#pragma once

#include "lovagebeam/settings/process_settings.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// Decides who the first voters are: the seeds that have a disk. Every process comes to the same
/// answer, since the seeds of the first start are the same everywhere and whether one has a disk
/// doesn't change. When no seed has a disk, the first seed alone names the host with a disk and the
/// lowest address that it has heard of, once `waited` is long enough for all to have come.
/// `durable` holds what is known of each host. Returns nothing while the answer is open.
std::optional<std::vector<std::string>>
choose_initial_voters(const std::vector<std::string>& seeds,
                      const std::map<std::string, bool>& durable, const std::string& self,
                      std::chrono::milliseconds waited);

/// Asks the other core processes until the first voters are known. For the first start of a process
/// with a disk. Blocks; gives up with `timed_out`, after which the process joins as any later one.
absl::StatusOr<std::vector<std::string>>
discover_initial_voters(const settings::process_settings& settings);

} // namespace lovagebeam::controlplane
