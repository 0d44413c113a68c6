#pragma once

#include "api_client.h"

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace lovagebeam::ctl {

/// What the command line says besides the command's own words.
struct call_options {
    bool as_json = false;
    /// Who makes a change and why; needed for changes.
    std::string who;
    std::string why;
    /// Identifies a change, so that it can be sent again after a lost answer. Random if empty.
    std::string operation;
    /// The version that a change expects; -1 takes the present one.
    std::int64_t expected_version = -1;
};

/// Returns the lines of help on all commands.
std::string command_help();

/// Runs the command in `words` and prints its result to the standard output.
absl::Status run_command(api_client& client, const call_options& options,
                         const std::vector<std::string>& words);

} // namespace lovagebeam::ctl
