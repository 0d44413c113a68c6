#include "checks.h"
#include "handlers.h"

#include <array>
#include <map>
#include <set>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

constexpr std::size_t max_description_bytes = 1000;
constexpr std::int64_t max_duration_ms = 30LL * 24 * 3600 * 1000;

enum class scope_kind { defaults, team, queue, target, host };

struct scope_prefix {
    scope_kind kind;
    std::string_view text;
};

constexpr std::array scope_prefixes{
    scope_prefix{scope_kind::team, "team:"},
    scope_prefix{scope_kind::queue, "queue:"},
    scope_prefix{scope_kind::target, "target:"},
    scope_prefix{scope_kind::host, "host:"},
};

absl::Status invalid_settings_error(const std::string& scope, const std::string& what)
{
    return make_error(error_code::invalid_settings, scope + ": " + what);
}

absl::StatusOr<scope_kind> kind_of(const std::string& scope)
{
    for (const scope_prefix& prefix : scope_prefixes) {
        if (!scope.starts_with(prefix.text)) {
            continue;
        }
        const std::string id = scope.substr(prefix.text.size());
        if (prefix.kind == scope_kind::team && id.starts_with("queue:")) {
            return invalid_settings_error(
                scope, "the team of an open queue takes the settings of scope queue:");
        }
        if (!check_id("scope", id).ok()) {
            return invalid_settings_error(scope, "the id must have 1 to 200 bytes without blanks");
        }
        return prefix.kind;
    }
    return invalid_settings_error(scope,
                                  "a scope is team:<id>, queue:<name>, target:<id> or host:<id>");
}

absl::Status check_amounts(const std::string& scope, const settings_set& set)
{
    const auto check = [&scope](std::string_view name, const std::optional<std::int64_t>& value,
                                std::int64_t low, std::int64_t high) {
        if (!value || (*value >= low && *value <= high)) {
            return absl::OkStatus();
        }
        return invalid_settings_error(
            scope, std::string{name} + " must be at least " + std::to_string(low) +
                       " and at most " + std::to_string(high) + ", is " + std::to_string(*value));
    };
    const auto number = [](const auto& field) {
        return field ? std::optional{field->value()} : std::nullopt;
    };
    const auto count = [](const auto& field) {
        return field ? std::optional<std::int64_t>{field->count()} : std::nullopt;
    };
    return first_error(
        check("share", set.share, 1, 1'000'000),
        check("upper_limit_slots", set.upper_limit_slots, 0, max_amount),
        check("upper_limit_millicores", number(set.upper_limit_millicores), 0, max_amount),
        check("upper_limit_memory_bytes", number(set.upper_limit_memory), 0, max_amount),
        check("upper_limit_accelerators", set.upper_limit_accelerators, 0, max_amount),
        check("queue_limit", set.queue_limit, 0, 1'000'000),
        check("max_deadline_ms", count(set.max_deadline), 1, max_duration_ms),
        check("result_retention_ms", count(set.result_retention), 1, max_duration_ms));
}

// A field outside the scopes that read it would be accepted and never take effect.
absl::Status check_fields(const std::string& scope, scope_kind kind, const settings_set& set)
{
    const bool is_host = kind == scope_kind::target || kind == scope_kind::host;
    if (set.open && kind != scope_kind::queue) {
        return invalid_settings_error(scope, "open can be set for a queue only");
    }
    if (set.draining && !is_host) {
        return invalid_settings_error(scope, "draining can be set for a target or a host only");
    }
    settings_set others = set;
    others.draining.reset();
    if (is_host && others != settings_set{}) {
        return invalid_settings_error(scope, "a target or a host can only be draining");
    }
    return check_amounts(scope, set);
}

absl::Status check_exception(const config_exception& exception)
{
    const auto kind = kind_of(exception.scope);
    if (!kind.ok()) {
        return kind.status();
    }
    if (is_blank(exception.reason)) {
        return make_error(error_code::reason_missing,
                          exception.scope + ": an exception needs a reason");
    }
    if (exception.reason.size() > max_text_bytes) {
        return invalid_settings_error(exception.scope, "the reason is longer than 4096 bytes");
    }
    return check_fields(exception.scope, *kind, exception.set);
}

std::map<std::string_view, const config_exception*> by_scope(const configuration& document)
{
    std::map<std::string_view, const config_exception*> result;
    for (const config_exception& exception : document.exceptions) {
        result.emplace(exception.scope, &exception);
    }
    return result;
}

} // namespace

absl::Status check_configuration(const configuration& document)
{
    if (auto status = check_fields("defaults", scope_kind::defaults, document.defaults);
        !status.ok()) {
        return status;
    }
    std::set<std::string_view> seen;
    for (const config_exception& exception : document.exceptions) {
        if (auto status = check_exception(exception); !status.ok()) {
            return status;
        }
        if (!seen.insert(exception.scope).second) {
            return invalid_settings_error(exception.scope, "the scope has more than one exception");
        }
    }
    return absl::OkStatus();
}

std::string describe_change(const configuration& before, const configuration& after)
{
    std::string text = "configuration:";
    const auto add = [&text](std::string_view verb, std::string_view scope) {
        text.append(" ").append(verb).append(" ").append(scope).append(";");
    };
    if (before.defaults != after.defaults) {
        add("changed", "defaults");
    }
    const auto old_scopes = by_scope(before);
    const auto new_scopes = by_scope(after);
    for (const auto& [scope, exception] : new_scopes) {
        const auto old = old_scopes.find(scope);
        if (old == old_scopes.end()) {
            add("added", scope);
        }
        else if (*old->second != *exception) {
            add("changed", scope);
        }
    }
    for (const auto& [scope, exception] : old_scopes) {
        if (!new_scopes.contains(scope)) {
            add("removed", scope);
        }
    }
    if (text.size() > max_description_bytes) {
        text.resize(max_description_bytes);
        // The cut must not leave part of a multi-byte character: messages carry UTF-8 only.
        while (!text.empty() && (static_cast<unsigned char>(text.back()) & 0x80U) != 0) {
            text.pop_back();
        }
        text += "...";
    }
    return text;
}

} // namespace lovagebeam::state
