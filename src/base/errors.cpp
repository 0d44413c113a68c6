#include "lovagebeam/base/errors.h"

#include <absl/strings/cord.h>

#include <algorithm>
#include <array>
#include <string>

namespace lovagebeam::base {
namespace {

constexpr const char* payload_type = "lovagebeam/error_code";

// Debian's Abseil is built as C++14, where absl::string_view isn't std::string_view.
absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

struct error_entry {
    error_code code;
    std::string_view name;
    absl::StatusCode status;
};

using enum absl::StatusCode;

constexpr std::array error_table{
    error_entry{error_code::invalid_request, "invalid_request", kInvalidArgument},
    error_entry{error_code::invalid_settings, "invalid_settings", kInvalidArgument},
    error_entry{error_code::unauthenticated, "unauthenticated", kUnauthenticated},
    error_entry{error_code::stale_key_state, "stale_key_state", kUnavailable},
    error_entry{error_code::not_found, "not_found", kNotFound},
    error_entry{error_code::already_exists, "already_exists", kAlreadyExists},
    error_entry{error_code::version_conflict, "version_conflict", kAborted},
    error_entry{error_code::reason_missing, "reason_missing", kInvalidArgument},
    error_entry{error_code::not_leader, "not_leader", kUnavailable},
    error_entry{error_code::no_quorum, "no_quorum", kUnavailable},
    error_entry{error_code::stale_epoch, "stale_epoch", kAborted},
    error_entry{error_code::epoch_not_ready, "epoch_not_ready", kUnavailable},
    error_entry{error_code::member_lease_lapsed, "member_lease_lapsed", kUnavailable},
    error_entry{error_code::queue_full, "queue_full", kResourceExhausted},
    error_entry{error_code::deadline_too_short, "deadline_too_short", kDeadlineExceeded},
    error_entry{error_code::deadline_passed, "deadline_passed", kDeadlineExceeded},
    error_entry{error_code::team_limit_reached, "team_limit_reached", kResourceExhausted},
    error_entry{error_code::work_key_busy, "work_key_busy", kAborted},
    error_entry{error_code::no_target, "no_target", kUnavailable},
    error_entry{error_code::target_refused, "target_refused", kUnavailable},
    error_entry{error_code::not_connected, "not_connected", kUnavailable},
    error_entry{error_code::connect_failed, "connect_failed", kUnavailable},
    error_entry{error_code::connection_reset, "connection_reset", kUnavailable},
    error_entry{error_code::connection_silent, "connection_silent", kUnavailable},
    error_entry{error_code::timed_out, "timed_out", kDeadlineExceeded},
    error_entry{error_code::truncated_answer, "truncated_answer", kDataLoss},
    error_entry{error_code::message_too_large, "message_too_large", kResourceExhausted},
    error_entry{error_code::cancelled, "cancelled", kCancelled},
    error_entry{error_code::job_can_never_run, "job_can_never_run", kFailedPrecondition},
    error_entry{error_code::storage_full, "storage_full", kResourceExhausted},
    error_entry{error_code::storage_failed, "storage_failed", kInternal},
    error_entry{error_code::log_corrupt, "log_corrupt", kDataLoss},
    error_entry{error_code::snapshot_corrupt, "snapshot_corrupt", kDataLoss},
    error_entry{error_code::state_diverged, "state_diverged", kDataLoss},
    error_entry{error_code::stale_fence, "stale_fence", kAborted},
    error_entry{error_code::in_use, "in_use", kFailedPrecondition},
    error_entry{error_code::capacity_exceeded, "capacity_exceeded", kResourceExhausted},
    error_entry{error_code::shutting_down, "shutting_down", kUnavailable},
    error_entry{error_code::internal_error, "internal_error", kInternal},
};

const error_entry& entry_of(error_code code)
{
    const auto* const found = std::ranges::find(error_table, code, &error_entry::code);
    return found == error_table.end() ? error_table.back() : *found;
}

} // namespace

std::string_view name_of(error_code code)
{
    return entry_of(code).name;
}

std::optional<error_code> error_code_from_name(std::string_view name)
{
    const auto* const found = std::ranges::find(error_table, name, &error_entry::name);
    if (found == error_table.end()) {
        return std::nullopt;
    }
    return found->code;
}

absl::Status make_error(error_code code, std::string_view message)
{
    const error_entry& entry = entry_of(code);
    absl::Status status{entry.status, to_absl(message)};
    status.SetPayload(payload_type, absl::Cord{to_absl(entry.name)});
    return status;
}

std::optional<error_code> code_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(payload_type);
    if (!payload) {
        return std::nullopt;
    }
    return error_code_from_name(static_cast<std::string>(*payload));
}

bool has_code(const absl::Status& status, error_code code)
{
    return code_of(status) == code;
}

} // namespace lovagebeam::base
