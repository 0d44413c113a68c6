#pragma once

#include "lovagebeam/state/cell_state.h"

#include <cstdint>
#include <string>

namespace lovagebeam::daemon {

/// Render parts of the replicated state as JSON lists for the operator API.
std::string render_keys(const state::cell_state& cell);
std::string render_audit(const state::cell_state& cell, std::uint64_t from, std::size_t limit);
std::string render_hosts(const state::cell_state& cell);
std::string render_targets(const state::cell_state& cell);
std::string render_workers(const state::cell_state& cell);
std::string render_teams(const state::cell_state& cell);
std::string render_jobs(const state::cell_state& cell);

} // namespace lovagebeam::daemon
