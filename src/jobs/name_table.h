#pragma once

#include <algorithm>
#include <string_view>

namespace lovagebeam::jobs {

/// An enum value and its name.
template <class Enum>
struct named {
    Enum value;
    std::string_view name;
};

/// Returns the name of `value`, or "unknown" if the table lacks it, as for a value of a newer
/// version in a message.
template <class Table, class Enum>
constexpr std::string_view name_in(const Table& table, Enum value)
{
    const auto found = std::ranges::find(table, value, &Table::value_type::value);
    return found == table.end() ? std::string_view{"unknown"} : found->name;
}

} // namespace lovagebeam::jobs
