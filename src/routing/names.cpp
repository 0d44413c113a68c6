#include "lovagebeam/routing/types.h"

#include <array>

namespace lovagebeam::routing {
namespace {

template <std::size_t Size, class Value>
std::string_view at(const std::array<std::string_view, Size>& table, Value value)
{
    return table.at(static_cast<std::size_t>(value));
}

constexpr std::array<std::string_view, work_class_count> class_names{"urgent", "interactive",
                                                                     "batch"};
constexpr std::array<std::string_view, 3> outcome_names{"completed", "not_run", "unknown"};
constexpr std::array<std::string_view, 6> attempt_result_names{
    "answered", "refused", "connect_failed", "timed_out", "reset", "truncated"};
constexpr std::array<std::string_view, 5> result_state_names{"not_found", "waiting", "running",
                                                             "completed", "unknown"};

} // namespace

std::string_view name_of(work_class value)
{
    return at(class_names, value);
}

std::string_view name_of(outcome value)
{
    return at(outcome_names, value);
}

std::string_view name_of(attempt_result value)
{
    return at(attempt_result_names, value);
}

std::string_view name_of(result_state value)
{
    return at(result_state_names, value);
}

std::optional<work_class> work_class_from_name(std::string_view name)
{
    for (std::size_t i = 0; i < class_names.size(); ++i) {
        if (class_names.at(i) == name) {
            return static_cast<work_class>(i);
        }
    }
    return std::nullopt;
}

} // namespace lovagebeam::routing
