#include "lovagebeam/operators/protocol.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/settings/json_reader.h"

#include <boost/json.hpp>

#include <limits>
#include <optional>
#include <utility>

namespace lovagebeam::operators {
namespace {

namespace json = boost::json;
using settings::json_reader;
using settings::presence;
using settings::problem;

constexpr std::int64_t max_number = std::int64_t{1} << 43U;

absl::Status status_of(const std::vector<problem>& problems)
{
    if (problems.empty()) {
        return absl::OkStatus();
    }
    std::string message = std::to_string(problems.size()) + " problems";
    for (const auto& found : problems) {
        message.append("\n  ").append(found.path.empty() ? "document" : found.path);
        message.append(": ").append(found.message);
    }
    return base::make_error(base::error_code::invalid_request, message);
}

/// Reads an optional number, converted by `convert`, into `out`.
template <class Value, class Convert>
void read_amount(json_reader& reader, std::string_view name, std::int64_t low,
                 std::optional<Value>& out, Convert convert)
{
    constexpr std::int64_t absent = std::numeric_limits<std::int64_t>::min();
    std::int64_t number = absent;
    reader.read(name, number, low, max_number, presence::optional);
    if (number != absent) {
        out = convert(number);
    }
}

void read_flag(json_reader& reader, const json::object& object, std::string_view name,
               std::optional<bool>& out)
{
    bool value = false;
    reader.read(name, value, presence::optional);
    if (object.contains({name.data(), name.size()})) {
        out = value;
    }
}

state::settings_set read_set(const json::object& object, const std::string& path,
                             std::vector<problem>& problems)
{
    const auto same = [](std::int64_t number) { return number; };
    const auto to_cores = [](std::int64_t number) { return base::millicores{number}; };
    const auto to_bytes = [](std::int64_t number) { return base::bytes{number}; };
    const auto to_millis = [](std::int64_t number) { return std::chrono::milliseconds{number}; };
    state::settings_set set;
    json_reader reader{object, path, problems};
    read_amount(reader, "share", 1, set.share, same);
    read_amount(reader, "upper_limit_slots", 0, set.upper_limit_slots, same);
    read_amount(reader, "upper_limit_millicores", 0, set.upper_limit_millicores, to_cores);
    read_amount(reader, "upper_limit_memory_bytes", 0, set.upper_limit_memory, to_bytes);
    read_amount(reader, "upper_limit_accelerators", 0, set.upper_limit_accelerators, same);
    read_amount(reader, "queue_limit", 0, set.queue_limit, same);
    read_amount(reader, "max_deadline_ms", 1, set.max_deadline, to_millis);
    read_amount(reader, "result_retention_ms", 1, set.result_retention, to_millis);
    read_flag(reader, object, "open", set.open);
    read_flag(reader, object, "draining", set.draining);
    reader.finish();
    return set;
}

state::config_exception read_exception(const json::object& object, const std::string& path,
                                       std::vector<problem>& problems)
{
    state::config_exception result;
    json_reader reader{object, path, problems};
    reader.read("scope", result.scope, presence::required);
    reader.read("reason", result.reason, presence::required);
    if (const auto* const set = reader.child("set", presence::required)) {
        result.set = read_set(*set, reader.path_of("set"), problems);
    }
    reader.finish();
    return result;
}

state::configuration read_configuration(json_reader& reader, std::vector<problem>& problems)
{
    state::configuration document;
    if (const auto* const defaults = reader.child("defaults", presence::required)) {
        document.defaults = read_set(*defaults, "defaults", problems);
    }
    const auto* const exceptions = reader.array("exceptions", presence::optional);
    for (std::size_t i = 0; exceptions != nullptr && i < exceptions->size(); ++i) {
        const std::string path = "exceptions[" + std::to_string(i) + "]";
        if (const auto* const object = (*exceptions)[i].if_object()) {
            document.exceptions.push_back(read_exception(*object, path, problems));
        }
        else {
            problems.push_back({path, "must be an object"});
        }
    }
    return document;
}

change_call read_call(json_reader& reader)
{
    change_call call;
    std::string operation;
    std::int64_t expected = 0;
    reader.read("operation_id", operation, presence::required);
    reader.read("who", call.who, presence::required);
    reader.read("why", call.why, presence::required);
    reader.read("expected_version", expected, 0, max_number, presence::required);
    call.operation = base::operation_id{operation};
    call.expected = base::config_version{static_cast<std::uint64_t>(expected)};
    return call;
}

/// Parses `text` as an object and calls `read` to read its fields.
template <class Result, class Read>
absl::StatusOr<Result> decode(std::string_view text, Read read)
{
    std::vector<problem> problems;
    boost::system::error_code error;
    const auto document = json::parse({text.data(), text.size()}, error);
    if (error || !document.is_object()) {
        problems.push_back(
            {"", error ? "isn't valid JSON: " + error.message() : "must be an object"});
        return status_of(problems);
    }
    Result result;
    json_reader reader{document.get_object(), "", problems};
    read(reader, problems, result);
    reader.finish();
    if (auto status = status_of(problems); !status.ok()) {
        return status;
    }
    return result;
}

template <class Value>
void put(json::object& out, const char* name, const std::optional<Value>& value)
{
    if (!value) {
        return;
    }
    if constexpr (requires { value->value(); }) {
        out[name] = value->value();
    }
    else if constexpr (requires { value->count(); }) {
        out[name] = value->count();
    }
    else {
        out[name] = *value;
    }
}

json::object to_json(const state::settings_set& set)
{
    json::object out;
    put(out, "share", set.share);
    put(out, "upper_limit_slots", set.upper_limit_slots);
    put(out, "upper_limit_millicores", set.upper_limit_millicores);
    put(out, "upper_limit_memory_bytes", set.upper_limit_memory);
    put(out, "upper_limit_accelerators", set.upper_limit_accelerators);
    put(out, "queue_limit", set.queue_limit);
    put(out, "max_deadline_ms", set.max_deadline);
    put(out, "result_retention_ms", set.result_retention);
    put(out, "open", set.open);
    put(out, "draining", set.draining);
    return out;
}

void put_document(json::object& out, const state::configuration& document)
{
    out["defaults"] = to_json(document.defaults);
    json::array exceptions;
    for (const auto& exception : document.exceptions) {
        exceptions.push_back(json::object{{"scope", exception.scope},
                                          {"set", to_json(exception.set)},
                                          {"reason", exception.reason}});
    }
    out["exceptions"] = std::move(exceptions);
}

void put_call(json::object& out, const change_call& call)
{
    out["operation_id"] = call.operation.str();
    out["who"] = call.who;
    out["why"] = call.why;
    out["expected_version"] = call.expected.value();
}

} // namespace

absl::StatusOr<config_change> decode_config_change(std::string_view json)
{
    return decode<config_change>(json, [](auto& reader, auto& problems, auto& result) {
        result.call = read_call(reader);
        result.document = read_configuration(reader, problems);
    });
}

absl::StatusOr<key_grant> decode_key_grant(std::string_view json)
{
    return decode<key_grant>(json, [](auto& reader, auto&, auto& result) {
        std::string team;
        result.call = read_call(reader);
        reader.read("team", team, presence::required);
        result.team = base::team_id{team};
    });
}

absl::StatusOr<change_call> decode_change_call(std::string_view json)
{
    return decode<change_call>(
        json, [](auto& reader, auto&, auto& result) { result = read_call(reader); });
}

absl::StatusOr<state::configuration> decode_configuration(std::string_view json)
{
    return decode<state::configuration>(json, [](auto& reader, auto& problems, auto& result) {
        result = read_configuration(reader, problems);
    });
}

std::string encode(const config_change& message)
{
    json::object out;
    put_call(out, message.call);
    put_document(out, message.document);
    return json::serialize(out);
}

std::string encode(const key_grant& message)
{
    json::object out;
    put_call(out, message.call);
    out["team"] = message.team.str();
    return json::serialize(out);
}

std::string encode(const change_call& message)
{
    json::object out;
    put_call(out, message);
    return json::serialize(out);
}

std::string render_configuration(const state::configuration& document, base::config_version version)
{
    json::object out;
    out["version"] = version.value();
    put_document(out, document);
    return json::serialize(out);
}

} // namespace lovagebeam::operators
