#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/routing/events.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lovagebeam::daemon {

/// Returns the text behind "Bearer " in the Authorization header, or an empty text.
std::string_view bearer_token(const callers::http_request& request);

/// Tells whether `text` can be a key: at most 200 visible ASCII characters. Other bytes can't be
/// carried by the messages between hosts, whose text is UTF-8.
bool is_key_text(std::string_view text);

/// Reads the headers of `POST /v1/work` and takes the body. The caller and team are left empty.
/// Fails with `invalid_request`, which names the header.
absl::StatusOr<routing::caller_request> decode_work(callers::http_request& request);

} // namespace lovagebeam::daemon
