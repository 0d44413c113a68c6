#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/callers/http_server.h"

#include <absl/status/status.h>

#include <string_view>

namespace lovagebeam::daemon {

/// Returns the HTTP status that stands for `code`.
unsigned http_status_of(base::error_code code);

/// Returns the documented error body for `status`. `outcome` is "not_run" unless the failed call
/// may have had its effect.
callers::http_response error_answer(const absl::Status& status,
                                    std::string_view outcome = "not_run");

/// Returns status 200 with a JSON body.
callers::http_response json_answer(std::string body, unsigned status = 200);

} // namespace lovagebeam::daemon
