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

/// Makes an error that names file and offset.
absl::Status file_error(base::error_code code, const std::string& path, std::uint64_t offset,
                        std::string_view what);

/// Writes all of `bytes` at `offset`.
absl::Status write_all(file& target, std::uint64_t offset, std::string_view bytes);

/// Reads the whole file.
absl::StatusOr<std::string> read_all(file_system& files, const std::string& path);

/// Makes `path` hold `bytes`, durably and at once: a crash leaves the old file or the new one.
absl::Status replace_file(file_system& files, const std::string& folder, const std::string& name,
                          std::string_view bytes);

/// Suffix of files that are being written. They count for nothing and are removed at the start.
inline constexpr std::string_view temporary_suffix = ".tmp";

/// Returns `<prefix><number with 20 digits>`, so that the order of names is that of numbers.
std::string numbered_name(std::string_view prefix, std::uint64_t number);

/// Reverses `numbered_name`.
std::optional<std::uint64_t> number_in(std::string_view prefix, std::string_view name);

} // namespace lovagebeam::storage
