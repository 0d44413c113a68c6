#pragma once

#include <absl/status/status.h>

#include <optional>
#include <string_view>

namespace lovagebeam::base {

/// The kinds of failure that the system reports. Clients and operators' tools match the names, so
/// they must not change once released.
enum class error_code {
    invalid_request,
    invalid_settings,
    unauthenticated,
    stale_key_state,
    not_found,
    already_exists,
    version_conflict,
    reason_missing,
    not_leader,
    no_quorum,
    stale_epoch,
    epoch_not_ready,
    member_lease_lapsed,
    queue_full,
    deadline_too_short,
    deadline_passed,
    team_limit_reached,
    work_key_busy,
    no_target,
    target_refused,
    not_connected,
    connect_failed,
    connection_reset,
    connection_silent,
    timed_out,
    truncated_answer,
    message_too_large,
    cancelled,
    job_can_never_run,
    storage_full,
    storage_failed,
    log_corrupt,
    snapshot_corrupt,
    state_diverged,
    stale_fence,
    in_use,
    capacity_exceeded,
    shutting_down,
    internal_error,
};

/// Returns the stable name of `code`, for example "version_conflict".
std::string_view name_of(error_code code);

/// Returns the code with the name `name`, or nothing if there is none.
std::optional<error_code> error_code_from_name(std::string_view name);

/// Makes a status that carries `code` as a payload, which `code_of` reads. `message` is meant for
/// people and names the values involved.
absl::Status make_error(error_code code, std::string_view message);

/// Returns the code that `make_error` stored in `status`, or nothing for an ok status or one that
/// carries no code.
std::optional<error_code> code_of(const absl::Status& status);

/// Returns whether `status` carries `code`.
bool has_code(const absl::Status& status, error_code code);

} // namespace lovagebeam::base
