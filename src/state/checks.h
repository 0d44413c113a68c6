#pragma once

#include "lovagebeam/base/errors.h"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagebeam::state {

/// Longest id and longest free text in bytes.
inline constexpr std::size_t max_id_bytes = 200;
inline constexpr std::size_t max_text_bytes = 4096;
/// Largest amount or duration: sums of 2^20 of them still fit 63 bits.
inline constexpr std::int64_t max_amount = std::int64_t{1} << 43U;

/// Returns `invalid_request` unless `id` has 1 to 200 bytes without blanks and control characters.
/// `what` names the field.
absl::Status check_id(std::string_view what, std::string_view id);

/// Like `check_id`, but an empty id is allowed.
absl::Status check_optional_id(std::string_view what, std::string_view id);

/// Returns `invalid_request` when `text` is longer than 4096 bytes.
absl::Status check_text(std::string_view what, std::string_view text);

/// Returns `invalid_request` unless `low <= amount <= max_amount`.
absl::Status check_amount(std::string_view what, std::int64_t amount, std::int64_t low);

/// Tells whether `text` has nothing but blanks.
bool is_blank(std::string_view text);

/// Returns the first status that isn't ok.
template <class... Status>
absl::Status first_error(const Status&... statuses)
{
    absl::Status result;
    const auto take = [&result](const absl::Status& status) {
        if (result.ok()) {
            result = status;
        }
    };
    (take(statuses), ...);
    return result;
}

} // namespace lovagebeam::state
