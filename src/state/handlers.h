#pragma once

#include "cell_data.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>

namespace lovagebeam::state {

/// The context of a handler besides its message. `now` never decreases from one command to the
/// next.
struct apply_context {
    base::wall_time now;
    apply_result& result;
};

// Every handler checks the whole message before it changes anything, so that a refusal leaves the
// data unchanged, and sets `result.changed` if it changed them.

/// Applies an operator's command: answers a repeated one from its record, checks the expected
/// version and writes the audit trail.
absl::Status apply_operator_command(cell_data& data, const pb::Command& message,
                                    apply_context& context);

/// Returns `invalid_settings` or `reason_missing` if the document isn't valid.
absl::Status check_configuration(const configuration& document);

/// Describes the difference of two documents for the audit trail. A text of more than 1,000 bytes
/// is cut and ends in "...".
std::string describe_change(const configuration& before, const configuration& after);

/// Returns `invalid_request` unless the fields of the job are valid on their own.
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

/// Ends an open task, and its job if that was the last open one.
void end_task(cell_data& data, task value, task_outcome outcome, base::wall_time now);

} // namespace lovagebeam::state
