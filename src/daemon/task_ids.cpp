#include "task_ids.h"

#include <charconv>
#include <string_view>

namespace lovagebeam::daemon {
namespace {

constexpr unsigned term_shift = 32;
constexpr std::uint64_t number_mask = 0xffff'ffffU;

// Removes the last dot and the number after it from `text` and returns the number.
std::optional<std::uint64_t> pop_last_number(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(dot + 1);
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    text = text.substr(0, dot);
    return number;
}

} // namespace

base::task_id state_task_id(const placement_ref& ref)
{
    return base::task_id{ref.job.str() + "/" + std::to_string(ref.index)};
}

base::task_id worker_task_id(const placement_ref& ref)
{
    return base::task_id{ref.job.str() + "." + std::to_string(ref.index) + "." +
                         std::to_string(ref.fence >> term_shift) + "." +
                         std::to_string(ref.fence & number_mask)};
}

std::optional<placement_ref> parse_worker_task_id(const base::task_id& id)
{
    std::string_view rest = id.str();
    const auto number = pop_last_number(rest);
    const auto term = number ? pop_last_number(rest) : std::nullopt;
    const auto index = term ? pop_last_number(rest) : std::nullopt;
    if (!index || rest.empty() || *number > number_mask || *term > number_mask ||
        *index > number_mask) {
        return std::nullopt;
    }
    return placement_ref{base::job_id{std::string{rest}}, static_cast<std::uint32_t>(*index),
                         (*term << term_shift) | *number};
}

} // namespace lovagebeam::daemon
