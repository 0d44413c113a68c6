#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/routing/events.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lovagebeam::daemon {

/// Returns the bearer token from the Authorization header, or an empty string.
std::string_view bearer_token(const callers::http_request& request);

/// Returns whether `text` is a valid key: at most 200 visible ASCII characters. Messages between
/// hosts encode text as UTF-8, so arbitrary bytes aren't allowed.
bool is_valid_key(std::string_view text);

/// Decodes the headers of `POST /v1/work` and, on success, moves the body out of `request`. Leaves
/// the caller and team empty. Fails with `invalid_request`, naming the header.
absl::StatusOr<routing::caller_request> decode_work(callers::http_request& request);

} // namespace lovagebeam::daemon
