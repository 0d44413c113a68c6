#include "text_file.h"

#include "lovagebeam/base/errors.h"

#include <fstream>
#include <sstream>

namespace lovagebeam::settings {

absl::StatusOr<std::string> read_text_file(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return base::make_error(base::error_code::invalid_settings, "can't read " + path);
    }
    return text.str();
}

absl::Status problems_error(const std::string& path, const std::vector<problem>& problems)
{
    std::string message = path + " has " + std::to_string(problems.size()) + " problems";
    for (const auto& found : problems) {
        message += "\n  " + (found.path.empty() ? "document" : found.path) + ": " + found.message;
    }
    return base::make_error(base::error_code::invalid_settings, message);
}

} // namespace lovagebeam::settings
