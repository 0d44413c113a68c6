#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::operators {

/// One line of a process's log.
struct log_line {
    std::int64_t time_us = 0; ///< since 1970 on the clock of its host
    std::map<std::string, std::string, std::less<>> fields;
    std::string text;

    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// Reads a line of key=value pairs with a `time`. Text before `time=` is left out. Returns false
/// for any other line.
bool parse_log_line(std::string_view text, log_line& out);

/// Returns the lines that name the job or request `id`, in the order in which they happened. The
/// clocks of hosts differ: how far each is ahead of the leader's follows from the requests that the
/// host passed on, since the leader's line about a request lies within the time that it took.
std::vector<log_line> explain(std::string_view id, const std::vector<log_line>& lines);

} // namespace lovagebeam::operators
