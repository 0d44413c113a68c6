#include "checks.h"

#include <algorithm>

namespace lovagebeam::state {

using base::error_code;
using base::make_error;

absl::Status check_id(std::string_view what, std::string_view id)
{
    const bool valid =
        !id.empty() && id.size() <= max_id_bytes && std::ranges::all_of(id, [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte > 0x20U && byte != 0x7fU;
        });
    if (valid) {
        return absl::OkStatus();
    }
    return make_error(error_code::invalid_request,
                      std::string{what} + " must have 1 to 200 bytes without blanks, has " +
                          std::to_string(id.size()));
}

absl::Status check_optional_id(std::string_view what, std::string_view id)
{
    return id.empty() ? absl::OkStatus() : check_id(what, id);
}

absl::Status check_text(std::string_view what, std::string_view text)
{
    if (text.size() <= max_text_bytes) {
        return absl::OkStatus();
    }
    return make_error(error_code::invalid_request, std::string{what} + " has " +
                                                       std::to_string(text.size()) +
                                                       " bytes, more than 4096");
}

absl::Status check_amount(std::string_view what, std::int64_t amount, std::int64_t low)
{
    if (amount >= low && amount <= max_amount) {
        return absl::OkStatus();
    }
    return make_error(error_code::invalid_request, std::string{what} + " must be at least " +
                                                       std::to_string(low) + " and at most " +
                                                       std::to_string(max_amount) + ", is " +
                                                       std::to_string(amount));
}

bool is_blank(std::string_view text)
{
    return text.find_first_not_of(" \t\r\n") == std::string_view::npos;
}

} // namespace lovagebeam::state
