#pragma once

#include "lovagebeam/settings/json_reader.h"

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::settings {

/// Returns the content of the file, or `invalid_settings`.
absl::StatusOr<std::string> read_text_file(const std::string& path);

/// Parses a JSON object. Returns nothing and adds a problem if `text` isn't one.
std::optional<boost::json::object> parse_document(std::string_view text,
                                                  std::vector<problem>& problems);

/// Returns `invalid_settings` with one line for each problem of the document at `path`.
absl::Status problems_error(const std::string& path, const std::vector<problem>& problems);

} // namespace lovagebeam::settings
