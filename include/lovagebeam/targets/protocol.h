#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/targets/http_client.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The target protocol: messages between the system and its targets. Decoders are strict: a field
/// that is unknown, missing, of the wrong type or out of range gives `invalid_request` with the
/// path of the field in the message, for example "running[2].team: expected a string".
namespace lovagebeam::targets {

/// An attempt that a target is running.
struct running_attempt {
    base::attempt_id attempt_id;
    base::team_id team;
    base::idempotency_key idempotency_key;
    base::work_key work_key; ///< Empty when the request has none.

    friend bool operator==(const running_attempt&, const running_attempt&) = default;
};

/// `POST /v1/targets/announce`, sent by a target to any entry host.
struct target_announcement {
    base::target_id target_id;
    endpoint where; ///< The JSON fields "address" and "port".
    base::failure_domain failure_domain;
    std::string rack;
    std::uint32_t slots = 0;       ///< 1 to 65536.
    std::uint32_t connections = 0; ///< 1 to 65536.
    bool leaving = false;
    std::vector<running_attempt> running;

    friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// `POST /lovagebeam/v1/fence`
struct fence_request {
    base::epoch epoch;
    base::node_id home;

    friend bool operator==(const fence_request&, const fence_request&) = default;
};

/// Body of the response to a fence request with status 200.
struct fence_answer {
    std::vector<running_attempt> running;

    friend bool operator==(const fence_answer&, const fence_answer&) = default;
};

/// `POST /lovagebeam/v1/run`. Every field but the body is sent in a header.
struct run_request {
    base::attempt_id attempt_id;
    base::epoch epoch;
    base::team_id team;
    base::idempotency_key idempotency_key;
    base::work_key work_key; ///< The header is omitted when empty.
    std::chrono::milliseconds lease{0};
    std::string content_type = "application/json";
    std::string body;

    friend bool operator==(const run_request&, const run_request&) = default;
};

enum class attempt_state { running, ended, never_seen };

std::string_view name_of(attempt_state state);

/// Body of the response to `GET /lovagebeam/v1/attempts/{id}`. `answer` is the body of the response
/// to the run call, as UTF-8 text; it is present exactly when the state is `ended`.
struct attempt_answer {
    attempt_state state = attempt_state::never_seen;
    std::optional<std::string> answer;

    friend bool operator==(const attempt_answer&, const attempt_answer&) = default;
};

/// Whether the work of a run call was executed, as far as the result of the call shows.
enum class run_outcome {
    completed, ///< Complete response with status 200.
    not_run,   ///< Refused before the work started, or no byte of the request was sent.
    unknown,   ///< Anything else.
};

std::string_view name_of(run_outcome outcome);

/// Classifies the result of a run call. Status 409 and 503 mean that the work was refused before it
/// started. Other statuses than 200 give `unknown`, since the work may have started.
run_outcome classify_run(const http_result& result);

std::string encode(const target_announcement& message);
std::string encode(const fence_request& message);
std::string encode(const fence_answer& message);
std::string encode(const attempt_answer& message);

absl::StatusOr<target_announcement> decode_target_announcement(std::string_view json);
absl::StatusOr<fence_request> decode_fence_request(std::string_view json);
absl::StatusOr<fence_answer> decode_fence_answer(std::string_view json);
absl::StatusOr<attempt_answer> decode_attempt_answer(std::string_view json);

/// Finds a request header by name, ignoring case.
using header_lookup = std::function<std::optional<std::string_view>(std::string_view name)>;

/// Reads a run request from its headers and body. `content_type` is taken from the header.
absl::StatusOr<run_request> decode_run_request(const header_lookup& header, std::string body);

/// Builds the HTTP calls of the protocol.
http_call make_fence_call(const endpoint& to, const fence_request& message,
                          base::time_point deadline);
http_call make_run_call(const endpoint& to, run_request message, base::time_point deadline);
http_call make_attempt_query_call(const endpoint& to, const base::attempt_id& id,
                                  base::time_point deadline);

/// Returns `text` with every byte that isn't unreserved in a URL percent-encoded.
std::string percent_encode(std::string_view text);

/// Returns the decoded text, or nothing when an escape is malformed.
std::optional<std::string> percent_decode(std::string_view text);

} // namespace lovagebeam::targets
