#include "text_file.h"

#include "lovagebeam/base/errors.h"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>
#include <utility>

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

std::optional<boost::json::object> parse_document(std::string_view text,
                                                  std::vector<problem>& problems)
{
    boost::system::error_code error;
    auto document = boost::json::parse({text.data(), text.size()}, error);
    if (error) {
        problems.push_back({"", "isn't valid JSON: " + error.message()});
        return std::nullopt;
    }
    if (!document.is_object()) {
        problems.push_back({"", "must be an object"});
        return std::nullopt;
    }
    return std::move(document.get_object());
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
