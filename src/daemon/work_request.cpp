#include "work_request.h"

#include "lovagebeam/base/errors.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;

constexpr std::chrono::milliseconds default_deadline{10'000};
constexpr std::int64_t max_deadline_ms = 24 * 3600 * 1000;
constexpr std::size_t max_key_length = 200;

absl::Status header_error(std::string_view name, std::string_view expected)
{
    return make_error(error_code::invalid_request,
                      "header " + std::string{name} + " must be " + std::string{expected});
}

absl::StatusOr<std::chrono::milliseconds> read_deadline(const callers::http_request& request)
{
    const auto text = request.header("Lovagebeam-Deadline-Ms");
    if (!text) {
        return default_deadline;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc{} || end != text->data() + text->size() || value < 1 ||
        value > max_deadline_ms) {
        return header_error("Lovagebeam-Deadline-Ms", "a number from 1 to 86400000");
    }
    return std::chrono::milliseconds{value};
}

absl::StatusOr<std::string> read_key(const callers::http_request& request, std::string_view name)
{
    const std::string value{request.header(name).value_or("")};
    if (!is_valid_key(value)) {
        return header_error(name, "at most 200 visible ASCII characters");
    }
    return value;
}

} // namespace

bool is_valid_key(std::string_view text)
{
    return text.size() <= max_key_length &&
           std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7f; });
}

std::string_view bearer_token(const callers::http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = request.header("Authorization").value_or("");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view{};
}

absl::StatusOr<routing::caller_request> decode_work(callers::http_request& request)
{
    routing::caller_request work;
    const auto priority =
        routing::work_class_from_name(request.header("Lovagebeam-Class").value_or("interactive"));
    if (!priority) {
        return header_error("Lovagebeam-Class", "urgent, interactive or batch");
    }
    const std::string_view repeatable = request.header("Lovagebeam-Repeatable").value_or("true");
    if (repeatable != "true" && repeatable != "false") {
        return header_error("Lovagebeam-Repeatable", "true or false");
    }
    const auto deadline = read_deadline(request);
    const auto key = read_key(request, "Idempotency-Key");
    const auto work_key = read_key(request, "Lovagebeam-Work-Key");
    for (const auto& status : {deadline.status(), key.status(), work_key.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    work.priority = *priority;
    work.repeatable = repeatable == "true";
    work.timeout = *deadline;
    work.key = base::idempotency_key{*key};
    work.work_key = base::work_key{*work_key};
    if (!work.repeatable && work.key.empty()) {
        return header_error("Idempotency-Key", "set for work that may not be repeated");
    }
    work.body = std::move(request.body);
    return work;
}

} // namespace lovagebeam::daemon
