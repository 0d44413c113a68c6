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

/// Returns the job for the scheduler. The deadline, which the state counts on the wall clock from
/// the acceptance, becomes a time on this host's monotonic clock.
placement::job_spec to_placement(const state::job& job, base::time_point now,
                                 base::wall_time wall_now);

/// Decodes the body of `POST /v1/jobs` into a spec without id and team. Reports all problems in
/// one `invalid_request`.
absl::StatusOr<state::job_spec> decode_job(std::string_view json);

/// Returns a job and its tasks as JSON.
std::string render_job(const state::cell_state& cell, const state::job& job);

/// Returns the outputs of the tasks of a job that has ended as JSON.
std::string render_job_result(const state::cell_state& cell, const state::job& job);

/// Returns `job_can_never_run` with the exact reason when no host has the shape of one task, the
/// job's tasks at once exceed the fleet (gangs), or one task (all of a gang) exceeds the team's
/// upper limit. A fleet without known workers refuses nothing.
absl::Status check_job_can_run(const state::cell_state& cell, const state::job_spec& spec);

} // namespace lovagebeam::daemon
