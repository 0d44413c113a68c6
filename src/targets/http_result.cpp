#include "lovagebeam/targets/http_client.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace lovagebeam::targets {
namespace {

using base::error_code;

struct outcome_entry {
    http_outcome outcome;
    std::string_view name;
    error_code code;
};

constexpr std::array outcome_table{
    outcome_entry{http_outcome::answered, "answered", error_code::internal_error},
    outcome_entry{http_outcome::connect_failed, "connect_failed", error_code::connect_failed},
    outcome_entry{http_outcome::timed_out, "timed_out", error_code::timed_out},
    outcome_entry{http_outcome::reset, "reset", error_code::connection_reset},
    outcome_entry{http_outcome::truncated, "truncated", error_code::truncated_answer},
    outcome_entry{http_outcome::queue_full, "queue_full", error_code::queue_full},
    outcome_entry{http_outcome::answer_too_large, "answer_too_large",
                  error_code::message_too_large},
    outcome_entry{http_outcome::cancelled, "cancelled", error_code::cancelled},
    outcome_entry{http_outcome::invalid_call, "invalid_call", error_code::invalid_request},
};

const outcome_entry& entry_of(http_outcome outcome)
{
    return *std::ranges::find(outcome_table, outcome, &outcome_entry::outcome);
}

} // namespace

std::string_view name_of(http_outcome outcome)
{
    return entry_of(outcome).name;
}

std::optional<std::string_view> http_result::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [name](const http_header& candidate) {
        return boost::beast::iequals({candidate.name.data(), candidate.name.size()},
                                     {name.data(), name.size()});
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

absl::Status http_result::to_status() const
{
    if (answered()) {
        return absl::OkStatus();
    }
    return base::make_error(entry_of(outcome).code, detail);
}

} // namespace lovagebeam::targets
