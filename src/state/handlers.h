#pragma once

#include "cell_data.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

namespace lovagebeam::state {

/// What a handler gets beside its message. `now` never goes back from one command to the next.
struct apply_context {
    base::wall_time now;
    apply_result& result;
};

// Every handler checks the whole message before it changes anything, so that a refusal leaves the
// data as they were, and sets `result.changed` when it changed them.

/// Applies an operator's command: repeats, the expected version, the audit trail.
absl::Status apply_operator_command(cell_data& data, const pb::Command& message,
                                    apply_context& context);

/// Returns `invalid_settings` or `reason_missing` when the document can't be in force.
absl::Status check_configuration(const configuration& document);

/// Describes the difference of two documents for the audit trail, in at most 1,000 bytes.
std::string describe_change(const configuration& before, const configuration& after);

/// Returns `invalid_request` unless the job can be accepted as far as its own fields tell.
absl::Status check_spec(const job_spec& spec, const state_limits& limits);

absl::Status apply(cell_data& data, const pb::InstallEpoch& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::PutTarget& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::RemoveTarget& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::PutWorker& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::RemoveWorker& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::AcceptJob& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::PlaceTasks& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::TaskStarted& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::TaskEnded& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::LeaseExpired& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::CancelJob& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::CommitIntent& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::ResolveIntent& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::RecordResult& message, apply_context& context);
absl::Status apply(cell_data& data, const pb::ExpireEntries& message, apply_context& context);

/// Ends a task that has not ended; ends its job with the last one.
void end_task(cell_data& data, task value, task_outcome outcome, base::wall_time now);

} // namespace lovagebeam::state
