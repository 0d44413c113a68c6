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

/// Returns the name of `value`, which must be in the table.
template <class Table, class Enum>
constexpr std::string_view name_in(const Table& table, Enum value)
{
    return std::ranges::find(table, value, &Table::value_type::value)->name;
}

} // namespace lovagebeam::jobs
