#pragma once

#include "api_client.h"

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace lovagebeam::ctl {

/// The options of the command line that commands use.
struct call_options {
    bool as_json = false;
    /// The author of a change and the reason for it; required for changes.
    std::string who;
    std::string why;
    /// Identifies a change, so that it can be sent again after a lost answer. Random if empty.
    std::string operation;
    /// The configuration version on which a change is based; -1 for the current one.
    std::int64_t expected_version = -1;
    /// The revision of the failure domain's record that an evacuation is based on; 0 for any.
    std::int64_t expected_revision = 0;
    /// Whether `evacuate` withdraws an evacuation.
    bool is_withdrawal = false;
};

/// Returns the help text of all commands.
std::string command_help();

/// Runs the command that `arguments` begins with and prints its result to the standard output.
/// `arguments` must not be empty.
absl::Status run_command(api_client& client, const call_options& options,
                         const std::vector<std::string>& arguments);

} // namespace lovagebeam::ctl
