#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/settings/json_reader.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::settings {

/// An IP address with a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// Whether a member of the system votes on the replicated state or only receives it.
enum class member_role { voter, learner };

/// One host of the system, as listed in the settings of every host.
struct member {
    base::node_id node;
    base::failure_domain domain;
    endpoint peers;
    endpoint callers;
    member_role role = member_role::learner;
};

/// The settings of one `lovagebeamd`.
struct daemon_settings {
    base::node_id node;
    /// Empty on a learner, which stores nothing on disk.
    std::string data_folder;
    /// Holds the secret that the system's processes share.
    std::string cluster_secret_file;
    /// Holds the credential that operators' calls must carry.
    std::string operator_credential_file;
    /// Every host of the system, this one included.
    std::vector<member> members;
    std::string log_level = "info";

    /// Returns this host's entry in `members`.
    [[nodiscard]] const member& self() const;
};

/// Valid settings, or all problems that were found in the document.
struct parse_result {
    std::optional<daemon_settings> settings;
    std::vector<problem> problems;
};

/// Parses a settings document and checks types, ranges and unknown names. If these are right,
/// checks for contradictions between fields too. Reports every problem that a check finds, not only
/// the first.
parse_result parse_daemon_settings(std::string_view text);

/// Reads `path` and parses it. Fails with `invalid_settings`; the message has one line for each
/// problem.
absl::StatusOr<daemon_settings> load_daemon_settings(const std::string& path);

/// Reads a secret of at least 32 characters from the first line of `path`. Fails with
/// `invalid_settings`.
absl::StatusOr<std::string> load_secret(const std::string& path);

} // namespace lovagebeam::settings
