#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/state/model.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <state.pb.h>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::state {

/// Commands are the messages of state.proto. The proposer fills in the body and, for an operator's
/// command, `operator_call`; `encode_command` adds the time.
///
/// Operators' commands (change_configuration, give_key, withdraw_key) need an operation id, who
/// gives them and why, and `expected_version`, the version that the operator saw. A new attempt
/// after a `version_conflict` needs a new operation id, since the answer to the old one is final.
using command = proto::state::Command;

/// Returns `body` as bytes for the log, with the proposer's wall-clock time `now`.
std::string encode_command(command body, base::wall_time now);

/// The result of a command. Equal on every replica at the same index.
struct apply_result {
    /// Ok, or a typed error: `base::code_of(status)`.
    absl::Status status;
    std::uint64_t index = 0;
    /// The version and the epoch after the command, also when it was refused.
    base::config_version version;
    base::epoch epoch;
    /// Whether the command changed the state. False for a refusal and for a repeated command that
    /// was answered from the records.
    bool changed = false;
    /// accept_job: the id of the accepted job; for a repeated request, that of the existing job.
    base::job_id job;
    /// commit_intent, resolve_intent, record_result: the recorded attempt, also in a refusal.
    base::attempt_id attempt;
    /// The recorded outcome for the same commands; none while the intent is open.
    work_outcome outcome = work_outcome::none;
    /// give_key: the id of the key and its encrypted text.
    base::key_id key;
    std::string sealed_key;
    /// place_tasks: one status for each placement, in the order of the command.
    std::vector<absl::Status> items;
    /// expire_entries: the number of records removed, and whether more have expired.
    std::uint32_t expired = 0;
    bool more = false;
};

/// Returns `result` as bytes for another process; `decode_result` reads them back or returns
/// `invalid_request`. The index is not part of the bytes.
std::string encode_result(const apply_result& result);
absl::StatusOr<apply_result> decode_result(std::string_view bytes);

proto::state::Settings to_proto(const settings_set& set);
proto::state::Configuration to_proto(const configuration& document);
proto::state::Member to_proto(const member& value);
proto::state::Target to_proto(const target& value);
proto::state::Worker to_proto(const worker& value);
proto::state::JobSpec to_proto(const job_spec& value);

} // namespace lovagebeam::state
