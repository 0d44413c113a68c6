#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/callers/http_server.h"

#include <absl/status/status.h>

#include <string_view>

namespace lovagebeam::daemon {

/// Maps an error code to an HTTP status.
unsigned http_status_of(base::error_code code);

/// Returns the documented error response for `status`. `outcome` is "not_run" unless the failed
/// call may have taken effect.
callers::http_response error_answer(const absl::Status& status,
                                    std::string_view outcome = "not_run");

/// Returns a response with a JSON body.
callers::http_response json_answer(std::string body, unsigned status = 200);

} // namespace lovagebeam::daemon
