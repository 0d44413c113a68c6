#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/base/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::routing {

/// Names a caller's request on its entry host. The daemon assigns it and never reuses it within a
/// process.
using caller_id = base::strong_number<struct caller_id_tag>;

/// Classes in priority order. The numbers are part of routing.proto.
enum class work_class : std::uint8_t { urgent = 0, interactive = 1, batch = 2 };
inline constexpr std::size_t work_class_count = 3;

/// What is known about a request at the end. `not_run` proves that no target started the work;
/// `unknown` may become known later and can be asked for with `result_query`.
enum class outcome : std::uint8_t { completed = 0, not_run = 1, unknown = 2 };

/// How an attempt ended as seen by the client towards targets.
enum class attempt_result : std::uint8_t {
    answered,       ///< The whole answer has arrived.
    refused,        ///< The target refused before the start (409 or 503).
    connect_failed, ///< No byte was sent.
    timed_out,      ///< Bytes were sent and no whole answer came in time.
    reset,          ///< The connection broke after bytes were sent.
    truncated,      ///< The answer was shorter than announced.
};

/// What a target says about an attempt.
enum class attempt_state : std::uint8_t {
    running,
    ended,
    never_seen,
    unreachable, ///< The target could not be asked.
};

/// How a fence ended.
enum class fence_result : std::uint8_t {
    fenced,
    stale, ///< The target knows a newer epoch.
    unreachable,
};

/// What an owner knows about an idempotency key.
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

/// An attempt as a target reports it in a fence answer or an announcement.
struct running_attempt {
    base::attempt_id attempt;
    base::team_id team;
    base::idempotency_key key;
    base::work_key work_key;
};

/// A target as it announces itself.
struct target_info {
    base::target_id target;
    std::string address;
    std::uint16_t port = 0;
    base::failure_domain failure_domain;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
};

/// The record that is committed before work that may not be repeated is sent. The replicated state
/// refuses an intent whose epoch is older than the present one.
struct intent {
    base::epoch number;
    base::team_id team;
    base::idempotency_key key;
    base::work_key work_key;
    base::attempt_id attempt;
    base::target_id target;
};

} // namespace lovagebeam::routing
