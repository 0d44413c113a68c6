#pragma once

#include "commands.h"

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace lovagebeam::ctl {

/// Whether the command goes to the internal port of a core process, which takes no credential.
bool is_evacuation_command(const std::string& name);

/// Runs `evacuate DOMAIN` or `evacuations` and prints the result to the standard output.
absl::Status run_evacuation_command(api_client& client, const call_options& options,
                                    const std::vector<std::string>& arguments);

} // namespace lovagebeam::ctl
