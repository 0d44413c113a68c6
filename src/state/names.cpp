#include "lovagebeam/state/model.h"

#include <array>
#include <cstddef>

namespace lovagebeam::state {
namespace {

// Each table is in the order of its enumeration.
constexpr std::array<std::string_view, 4> job_kind_names{"service", "batch", "gang", "urgent"};
constexpr std::array<std::string_view, 4> task_state_names{"pending", "placed", "running", "ended"};
constexpr std::array<std::string_view, 6> task_outcome_names{"none",      "succeeded", "failed",
                                                             "cancelled", "requeued",  "unknown"};
constexpr std::array<std::string_view, 4> work_outcome_names{"none", "completed", "not_run",
                                                             "unknown"};

template <class Enum, std::size_t Size>
std::string_view name_in(const std::array<std::string_view, Size>& names, Enum value)
{
    const auto number = static_cast<std::size_t>(value);
    return number < Size ? names[number] : std::string_view{"invalid"};
}

template <class Enum, std::size_t Size>
std::optional<Enum> find_in(const std::array<std::string_view, Size>& names, std::string_view name)
{
    for (std::size_t i = 0; i < Size; ++i) {
        if (names[i] == name) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view name_of(job_kind kind)
{
    return name_in(job_kind_names, kind);
}

std::string_view name_of(task_state state)
{
    return name_in(task_state_names, state);
}

std::string_view name_of(task_outcome outcome)
{
    return name_in(task_outcome_names, outcome);
}

std::string_view name_of(work_outcome outcome)
{
    return name_in(work_outcome_names, outcome);
}

std::optional<job_kind> job_kind_from_name(std::string_view name)
{
    return find_in<job_kind>(job_kind_names, name);
}

std::optional<work_outcome> work_outcome_from_name(std::string_view name)
{
    return find_in<work_outcome>(work_outcome_names, name);
}

} // namespace lovagebeam::state
