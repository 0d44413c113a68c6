#pragma once

#include "lovagebeam/base/errors.h"
#include "lovagebeam/storage/file_system.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::storage {

/// Returns an error that names the file and the offset.
absl::Status file_error(base::error_code code, const std::string& path, std::uint64_t offset,
                        std::string_view what);

/// Writes all of `bytes` at `offset`.
absl::Status write_all(file& target, std::uint64_t offset, std::string_view bytes);

/// Reads the whole file.
absl::StatusOr<std::string> read_all(file_system& files, const std::string& path);

/// Replaces the content of a file atomically and durably: a crash leaves either the old or the new
/// file.
absl::Status replace_file(file_system& files, const std::string& folder, const std::string& name,
                          std::string_view bytes);

/// Suffix of incomplete files, which are removed when the store is opened.
inline constexpr std::string_view temporary_suffix = ".tmp";

/// Returns `<prefix><number with 20 digits>`, so that names sort by number.
std::string numbered_name(std::string_view prefix, std::uint64_t number);

/// Returns the number in a name made by `numbered_name`, or nothing for any other name.
std::optional<std::uint64_t> parse_numbered_name(std::string_view prefix, std::string_view name);

} // namespace lovagebeam::storage
