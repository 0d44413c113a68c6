#include "api_errors.h"

#include <string>
#include <utility>

namespace lovagebeam::daemon {

using base::error_code;

unsigned http_status_of(base::error_code code)
{
    switch (code) {
    case error_code::invalid_request:
    case error_code::invalid_settings:
    case error_code::reason_missing:
        return 400;
    case error_code::unauthenticated:
        return 401;
    case error_code::not_found:
        return 404;
    case error_code::already_exists:
    case error_code::version_conflict:
    case error_code::work_key_busy:
    case error_code::cancelled:
        return 409;
    case error_code::message_too_large:
        return 413;
    case error_code::job_can_never_run:
        return 422;
    case error_code::queue_full:
    case error_code::team_limit_reached:
        return 429;
    case error_code::connection_reset:
    case error_code::truncated_answer:
        return 502;
    case error_code::timed_out:
    case error_code::deadline_passed:
        return 504;
    case error_code::storage_full:
        return 507;
    case error_code::internal_error:
    case error_code::state_diverged:
        return 500;
    default:
        return 503;
    }
}

callers::http_response error_answer(const absl::Status& status, std::string_view outcome)
{
    const auto code = base::code_of(status).value_or(error_code::internal_error);
    const std::string message{status.message()};
    return callers::error_response(http_status_of(code), code, message, outcome);
}

callers::http_response json_answer(std::string body, unsigned status)
{
    callers::http_response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

} // namespace lovagebeam::daemon
