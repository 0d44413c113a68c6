#include "lovagebeam/state/command.h"

#include "lovagebeam/base/errors.h"

#include "convert.h"

namespace lovagebeam::state {

std::string encode_command(command body, base::wall_time now)
{
    body.set_time_ms(to_ms(now));
    return body.SerializeAsString();
}

std::string encode_result(const apply_result& result)
{
    return to_proto(result).SerializeAsString();
}

absl::StatusOr<apply_result> decode_result(std::string_view bytes)
{
    pb::Result message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return base::make_error(base::error_code::invalid_request, "not a result");
    }
    auto result = from_proto(message);
    if (!result) {
        return base::make_error(base::error_code::invalid_request, "unknown outcome in a result");
    }
    return *std::move(result);
}

} // namespace lovagebeam::state
