#pragma once

#include "lovagebeam/placement/types.h"
#include "lovagebeam/state/cell_state.h"
#include "lovagebeam/state/model.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lovagebeam::daemon {

placement::team_settings to_team_settings(const state::effective_settings& settings);

/// Converts a job for the scheduler. The deadline, which the state stores relative to the
/// wall-clock time of acceptance, becomes a time on this host's monotonic clock.
placement::job_spec to_placement(const state::job& job, base::time_point now,
                                 base::wall_time wall_now);

/// Decodes the body of `POST /v1/jobs` into a spec without id and team. A single `invalid_request`
/// error reports all problems.
absl::StatusOr<state::job_spec> decode_job(std::string_view json);

/// Renders a job and its tasks as JSON.
std::string render_job(const state::cell_state& cell, const state::job& job);

/// Renders a job and the outputs of its tasks as JSON.
std::string render_job_result(const state::cell_state& cell, const state::job& job);

/// Returns `job_can_never_run` with the exact reason if a single task fits on no host, the tasks of
/// a gang don't fit on the whole fleet at the same time, or one task (all tasks of a gang) exceeds
/// the team's upper limit. While no workers are known, the checks against the fleet always pass.
absl::Status check_job_can_run(const state::cell_state& cell, const state::job_spec& spec);

} // namespace lovagebeam::daemon
