#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/state/model.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The JSON format of the operators' interface. Every decoder is strict and reports all problems of
/// a document in one `invalid_request`, one line for each problem with the field's path.
namespace lovagebeam::operators {

/// Common fields of all changes. A retry with the same `operation` gets the answer of the first
/// call.
struct change_call {
    base::operation_id operation;
    std::string who;
    std::string why;
    /// The version that the operator last read.
    base::config_version expected;
};

/// `PUT /v1/config`
struct config_change {
    change_call call;
    state::configuration document;
};

/// `POST /v1/keys`
struct key_grant {
    change_call call;
    base::team_id team;
};

absl::StatusOr<config_change> decode_config_change(std::string_view json);
absl::StatusOr<key_grant> decode_key_grant(std::string_view json);
/// The body of `DELETE /v1/keys/{id}`.
absl::StatusOr<change_call> decode_change_call(std::string_view json);

std::string encode(const config_change& message);
std::string encode(const key_grant& message);
std::string encode(const change_call& message);

/// Decodes {"defaults":{...},"exceptions":[{"scope","set","reason"}]}.
absl::StatusOr<state::configuration> decode_configuration(std::string_view json);

/// Returns {"version":n,"defaults":{...},"exceptions":[...]}.
std::string render_configuration(const state::configuration& document,
                                 base::config_version version);

} // namespace lovagebeam::operators
