#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::operators {

/// A parsed line of a process's log.
struct log_line {
    std::int64_t time_us = 0; ///< since the Unix epoch, by the clock of its host
    std::map<std::string, std::string, std::less<>> fields;
    std::string text;

    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// Parses a line of key=value pairs with a `time`. Text before `time=` is ignored. Returns false
/// for any other line.
bool parse_log_line(std::string_view text, log_line& out);

/// Returns the lines that contain the job or request `id`, in the order in which they happened. The
/// clocks of hosts differ: the offset of a host's clock from the leader's is estimated from the
/// requests that the host forwarded, since the leader logs a request between its start and its end.
std::vector<log_line> explain(std::string_view id, const std::vector<log_line>& lines);

} // namespace lovagebeam::operators
