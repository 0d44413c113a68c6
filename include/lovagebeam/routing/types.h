#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::routing {

/// Identifies a caller's request on its entry host. The daemon assigns it and never reuses it
/// within a process.
using caller_id = base::strong_number<struct caller_id_tag>;

/// Work classes, highest priority first. The values are part of routing.proto.
enum class work_class : std::uint8_t { urgent = 0, interactive = 1, batch = 2 };
inline constexpr std::size_t work_class_count = 3;

/// Final outcome of a request. `not_run` guarantees that no target started the work; `unknown` may
/// be resolved later, which `result_query` shows.
enum class outcome : std::uint8_t { completed = 0, not_run = 1, unknown = 2 };

/// How an attempt ended as seen by the HTTP client.
enum class attempt_result : std::uint8_t {
    answered,       ///< The complete response arrived.
    refused,        ///< The target refused the attempt before it started (409 or 503).
    connect_failed, ///< No byte was sent.
    timed_out,      ///< Bytes were sent, but no complete response arrived in time.
    reset,          ///< The connection broke after bytes were sent.
    truncated,      ///< The response was shorter than its declared length.
};

/// State of an attempt as reported by its target.
enum class attempt_state : std::uint8_t {
    running,
    ended,
    never_seen,
    unreachable, ///< The target could not be queried.
};

/// Result of fencing a target.
enum class fence_result : std::uint8_t {
    fenced,
    stale, ///< The target has seen a newer epoch.
    unreachable,
};

/// State of an idempotency key at its owner.
enum class result_state : std::uint8_t {
    not_found,
    waiting,
    running,
    completed,
    unknown,
};

std::string_view name_of(work_class value);
std::string_view name_of(outcome value);
std::string_view name_of(attempt_result value);
std::string_view name_of(result_state value);
std::optional<work_class> work_class_from_name(std::string_view name);

/// An attempt that a target reports as running in a fence response or an announcement.
struct running_attempt {
    base::attempt_id attempt;
    base::team_id team;
    base::idempotency_key key;
    base::work_key work_key;
};

/// Properties that a target announces.
struct target_info {
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::failure_domain failure_domain;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

/// Record that is committed before non-repeatable work is sent to a target. The replicated state
/// refuses an intent whose epoch is older than the current one.
struct intent {
    base::epoch number;
    base::team_id team;
    base::idempotency_key key;
    base::work_key work_key;
    base::attempt_id attempt;
    base::target_id target;
};

} // namespace lovagebeam::routing
