#include "table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <vector>

namespace lovagebeam::ctl {
namespace {

using table_row = std::vector<std::string>;

std::string format_utc(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const auto size = std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%SZ", &parts);
    return {text, size};
}

std::string format_cell(std::string_view name, const boost::json::value& value)
{
    const bool is_time = name == "when_ms" || name == "given_ms";
    if (is_time && value.is_int64()) {
        return format_utc(value.get_int64());
    }
    return value.is_string() ? std::string{value.get_string()} : boost::json::serialize(value);
}

std::string column_title(std::string_view name)
{
    std::string text{name.ends_with("_ms") ? name.substr(0, name.size() - 3) : name};
    std::ranges::replace(text, '_', ' ');
    return text;
}

void append_row(std::string& out, const table_row& cells, const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += cells[i];
        line.append(widths[i] - cells[i].size() + 2, ' ');
    }
    out += line.substr(0, line.find_last_not_of(' ') + 1);
    out += '\n';
}

} // namespace

std::string render_table(const boost::json::array& rows)
{
    if (rows.empty()) {
        return "(none)\n";
    }
    std::vector<table_row> lines(1);
    for (const auto& field : rows.front().as_object()) {
        lines.front().push_back(column_title({field.key().data(), field.key().size()}));
    }
    for (const auto& row : rows) {
        table_row cells;
        for (const auto& field : row.as_object()) {
            cells.push_back(format_cell({field.key().data(), field.key().size()}, field.value()));
        }
        cells.resize(lines.front().size());
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    std::string out;
    for (const auto& line : lines) {
        append_row(out, line, widths);
    }
    return out;
}

} // namespace lovagebeam::ctl
