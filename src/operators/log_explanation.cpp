#include "lovagebeam/operators/log_explanation.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <limits>
#include <optional>

namespace lovagebeam::operators {
namespace {

/// Parses "2026-02-24T12:04:45.007Z" as microseconds since the Unix epoch.
std::optional<std::int64_t> parse_time(const std::string& text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int millis = 0;
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hour, &minute,
                    &second, &millis) != 7) {
        return std::nullopt;
    }
    using namespace std::chrono;
    const auto days =
        sys_days{std::chrono::year{year} / static_cast<int>(month) / static_cast<int>(day)};
    const auto time = days + hours{hour} + minutes{minute} + seconds{second} + milliseconds{millis};
    return duration_cast<microseconds>(time.time_since_epoch()).count();
}

std::string unquote(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\\' && i + 1 < text.size()) {
            ++i;
        }
        out += text[i];
    }
    return out;
}

/// Removes the value at the front of `rest`, quoted or up to the next space, and returns it.
std::string consume_value(std::string_view& rest)
{
    if (!rest.starts_with('"')) {
        const auto end = std::min(rest.find(' '), rest.size());
        std::string out{rest.substr(0, end)};
        rest.remove_prefix(end);
        return out;
    }
    std::size_t end = 1;
    while (end < rest.size() && rest[end] != '"') {
        end += rest[end] == '\\' ? 2 : 1;
    }
    end = std::min(end, rest.size());
    std::string out = unquote(rest.substr(1, end - 1));
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return out;
}

std::int64_t parse_number(std::string_view text)
{
    std::int64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

bool contains_id(const log_line& line, std::string_view id)
{
    return line.text.find(id) != std::string::npos;
}

/// Bounds in microseconds for how far a host's clock is ahead of the leader's.
struct offset_bounds {
    std::int64_t low = std::numeric_limits<std::int64_t>::min();
    std::int64_t high = std::numeric_limits<std::int64_t>::max();

    /// Returns 0 if the bounds include 0, since most clocks are nearly synchronous, or contradict
    /// each other.
    [[nodiscard]] std::int64_t correction() const
    {
        const bool is_close = low <= 0 && high >= 0;
        return is_close || low > high ? 0 : low + (high - low) / 2;
    }
};

std::string job_id_from_path(const log_line& line)
{
    const auto path = line.field("path");
    const auto slash = path.rfind('/');
    return slash == std::string_view::npos ? std::string{} : std::string{path.substr(slash + 1)};
}

std::map<std::string, offset_bounds> clock_offsets(const std::vector<log_line>& lines)
{
    std::map<std::string, std::int64_t> submitted; // by job, by the leader's clock
    for (const auto& line : lines) {
        if (line.field("event") == "job_submitted") {
            submitted.emplace(line.field("job"), line.time_us);
        }
    }
    std::map<std::string, offset_bounds> out;
    for (const auto& line : lines) {
        const auto found = submitted.find(job_id_from_path(line));
        if (line.field("event") != "request_answered" || line.field("method") != "POST" ||
            found == submitted.end()) {
            continue;
        }
        auto& bounds = out[std::string{line.field("node")}];
        const auto began = line.time_us - parse_number(line.field("took_us"));
        bounds.low = std::max(bounds.low, began - found->second);
        bounds.high = std::min(bounds.high, line.time_us - found->second);
    }
    return out;
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

bool parse_log_line(std::string_view text, log_line& out)
{
    const auto begin = text.find("time=");
    if (begin == std::string_view::npos) {
        return false;
    }
    out = {};
    out.text = text.substr(begin);
    std::string_view rest = out.text;
    while (!rest.empty()) {
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos) {
            break;
        }
        std::string name{rest.substr(0, equals)};
        rest.remove_prefix(equals + 1);
        out.fields[std::move(name)] = consume_value(rest);
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    }
    const auto time = parse_time(std::string{out.field("time")});
    out.time_us = time.value_or(0);
    return time.has_value();
}

std::vector<log_line> explain(std::string_view id, const std::vector<log_line>& lines)
{
    const auto offsets = clock_offsets(lines);
    std::vector<log_line> out;
    for (const auto& line : lines) {
        if (!contains_id(line, id)) {
            continue;
        }
        out.push_back(line);
        const auto offset = offsets.find(std::string{line.field("node")});
        // Only the lines of the entry process are corrected. The leader's lines are the reference,
        // even if its host also runs an entry process.
        if (offset != offsets.end() && line.field("event").starts_with("request_")) {
            out.back().time_us -= offset->second.correction();
        }
    }
    std::ranges::stable_sort(out, {}, &log_line::time_us);
    return out;
}

} // namespace lovagebeam::operators
