#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/settings/daemon_settings.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::settings {

/// How workers receive their orders. Only calls to the workers are supported.
enum class control_mode { calls };

/// The settings of one process of the job system, core or entry.
struct process_settings {
    base::node_id node;
    std::string address; ///< of this host
    base::failure_domain domain;
    std::string data_folder; ///< empty on a host that stores nothing on disk
    std::optional<endpoint> callers;
    std::optional<endpoint> readiness;
    std::optional<endpoint> control;
    std::optional<endpoint> metrics;
    /// Ports that are free on every host for calls between hosts.
    std::uint16_t first_internal_port = 0;
    std::uint16_t last_internal_port = 0;
    /// Hosts that run core processes. Those listed at the first start form the initial group.
    std::vector<endpoint> seeds;
    bool is_first_start = false;
    std::uint32_t tolerated_losses = 1; ///< hosts with a disk that may fail at the same time
    std::optional<endpoint> advice_service;
    std::chrono::milliseconds max_lease{6'000};
    std::chrono::milliseconds grace{6'000};
    std::chrono::milliseconds heartbeat{1'500};
    /// How long an operator repeats an order that isn't acknowledged. One that has waited in a
    /// process for longer isn't carried out.
    std::chrono::milliseconds ack_timeout{5'000};
    /// Connections of callers to an entry process, or of workers and operators to a core process.
    /// With the other connections of the process it has to fit into the descriptors of the host.
    std::size_t max_connections = 2'500;
    /// Memory of the requests on these connections. An entry process holds a second copy of each
    /// that it forwards.
    std::size_t max_request_memory_bytes = std::size_t{32} << 20U;
    std::string log_level = "info";
};

/// Valid settings, or all problems that were found in the document.
struct process_parse_result {
    std::optional<process_settings> settings;
    std::vector<problem> problems;
};

process_parse_result parse_process_settings(std::string_view text);

/// Reads `path` and parses it. Fails with `invalid_settings`; the message has one line for each
/// problem.
absl::StatusOr<process_settings> load_process_settings(const std::string& path);

} // namespace lovagebeam::settings
