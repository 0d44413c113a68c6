#include "lovagebeam/targets/protocol.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/targets/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace lovagebeam::targets {
namespace {

namespace json = boost::json;

constexpr std::uint32_t max_slots = 65'536;
constexpr std::uint32_t max_port = 65'535;
constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();
// 30 days. The bound also prevents a 64-bit overflow when a lease is added to a clock.
constexpr std::uint64_t max_lease_ms = 30ULL * 24 * 3600 * 1000;

constexpr std::string_view attempt_header = "Lovagebeam-Attempt";
constexpr std::string_view epoch_header = "Lovagebeam-Epoch";
constexpr std::string_view team_header = "Lovagebeam-Team";
constexpr std::string_view idempotency_header = "Lovagebeam-Idempotency-Key";
constexpr std::string_view work_key_header = "Lovagebeam-Work-Key";
constexpr std::string_view lease_header = "Lovagebeam-Lease-Ms";
constexpr std::string_view content_type_header = "Content-Type";

struct state_entry {
    attempt_state state;
    std::string_view name;
};

constexpr std::array state_table{
    state_entry{attempt_state::running, "running"},
    state_entry{attempt_state::ended, "ended"},
    state_entry{attempt_state::never_seen, "never_seen"},
};

json::array encode_running(const std::vector<running_attempt>& running)
{
    json::array result;
    result.reserve(running.size());
    for (const auto& each : running) {
        result.push_back(json::object{{"attempt_id", each.attempt_id.str()},
                                      {"team", each.team.str()},
                                      {"idempotency_key", each.idempotency_key.str()},
                                      {"work_key", each.work_key.str()}});
    }
    return result;
}

std::vector<running_attempt> decode_running(json_fields& fields)
{
    std::vector<running_attempt> result;
    fields.list("running", [&result](json_fields& element) {
        running_attempt each;
        each.attempt_id = base::attempt_id{element.id("attempt_id")};
        each.team = base::team_id{element.id("team")};
        each.idempotency_key = base::idempotency_key{element.id("idempotency_key")};
        each.work_key = base::work_key{element.id_or_empty("work_key")};
        result.push_back(std::move(each));
    });
    return result;
}

/// Reads the headers of a run request and records the first error.
class header_reader {
public:
    explicit header_reader(const header_lookup& lookup) : m_lookup{lookup} {}

    std::string id(std::string_view name)
    {
        const auto value = m_lookup(name);
        if (!value || value->empty()) {
            m_errors.add(name, "missing");
            return {};
        }
        return optional_id(name);
    }

    std::string optional_id(std::string_view name)
    {
        const auto value = m_lookup(name).value_or(std::string_view{});
        if (value.size() > max_id_bytes) {
            m_errors.add(name, "expected at most " + std::to_string(max_id_bytes) + " bytes");
            return {};
        }
        return std::string{value};
    }

    std::uint64_t number(std::string_view name, std::uint64_t low, std::uint64_t high)
    {
        const auto value = m_lookup(name);
        if (!value) {
            m_errors.add(name, "missing");
            return low;
        }
        std::uint64_t result = 0;
        const char* const end = value->data() + value->size();
        const auto [rest, error] = std::from_chars(value->data(), end, result);
        if (error != std::errc{} || rest != end || result < low || result > high) {
            m_errors.add(name, "expected an integer of " + std::to_string(low) + " to " +
                                   std::to_string(high));
            return low;
        }
        return result;
    }

    [[nodiscard]] const absl::Status& status() const { return m_errors.status(); }

private:
    const header_lookup& m_lookup;
    decode_errors m_errors;
};

http_call make_call(const endpoint& to, std::string method, std::string path,
                    base::time_point deadline)
{
    http_call call;
    call.to = to;
    call.method = std::move(method);
    call.path = std::move(path);
    call.deadline = deadline;
    return call;
}

} // namespace

std::string_view name_of(attempt_state state)
{
    return std::ranges::find(state_table, state, &state_entry::state)->name;
}

std::string_view name_of(run_outcome outcome)
{
    constexpr std::array<std::string_view, 3> names{"completed", "not_run", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

run_outcome classify_run(const http_result& result)
{
    constexpr unsigned ok = 200;
    constexpr unsigned refused = 409;
    constexpr unsigned busy = 503;
    if (result.answered() && result.status == ok) {
        return run_outcome::completed;
    }
    if (result.answered() && (result.status == refused || result.status == busy)) {
        return run_outcome::not_run;
    }
    return result.maybe_sent ? run_outcome::unknown : run_outcome::not_run;
}

std::string encode(const target_announcement& message)
{
    return json::serialize(json::object{{"target_id", message.target_id.str()},
                                        {"address", message.where.address},
                                        {"port", message.where.port},
                                        {"failure_domain", message.failure_domain.str()},
                                        {"rack", message.rack},
                                        {"slots", message.slots},
                                        {"connections", message.connections},
                                        {"leaving", message.leaving},
                                        {"running", encode_running(message.running)}});
}

absl::StatusOr<target_announcement> decode_target_announcement(std::string_view json)
{
    target_announcement result;
    const absl::Status status = decode_object(json, [&result](json_fields& fields) {
        result.target_id = base::target_id{fields.id("target_id")};
        result.where.address = fields.address("address");
        result.where.port = static_cast<std::uint16_t>(fields.number("port", 1, max_port));
        result.failure_domain = base::failure_domain{fields.id("failure_domain")};
        result.rack = fields.id_or_empty("rack");
        result.slots = static_cast<std::uint32_t>(fields.number("slots", 1, max_slots));
        result.connections = static_cast<std::uint32_t>(fields.number("connections", 1, max_slots));
        result.leaving = fields.boolean("leaving");
        result.running = decode_running(fields);
    });
    return status.ok() ? absl::StatusOr<target_announcement>{std::move(result)} : status;
}

std::string encode(const fence_request& message)
{
    return json::serialize(
        json::object{{"epoch", message.epoch.value()}, {"home", message.home.str()}});
}

absl::StatusOr<fence_request> decode_fence_request(std::string_view json)
{
    fence_request result;
    const absl::Status status = decode_object(json, [&result](json_fields& fields) {
        result.epoch = base::epoch{fields.number("epoch", 0, max_number)};
        result.home = base::node_id{fields.id("home")};
    });
    return status.ok() ? absl::StatusOr<fence_request>{std::move(result)} : status;
}

std::string encode(const fence_answer& message)
{
    return json::serialize(json::object{{"running", encode_running(message.running)}});
}

absl::StatusOr<fence_answer> decode_fence_answer(std::string_view json)
{
    fence_answer result;
    const absl::Status status = decode_object(
        json, [&result](json_fields& fields) { result.running = decode_running(fields); });
    return status.ok() ? absl::StatusOr<fence_answer>{std::move(result)} : status;
}

std::string encode(const attempt_answer& message)
{
    json::object object{{"state", to_json(name_of(message.state))}};
    if (message.answer) {
        object["answer"] = *message.answer;
    }
    return json::serialize(object);
}

absl::StatusOr<attempt_answer> decode_attempt_answer(std::string_view json)
{
    attempt_answer result;
    const absl::Status status = decode_object(json, [&result](json_fields& fields) {
        const std::string name = fields.id("state");
        const auto* const found = std::ranges::find(state_table, name, &state_entry::name);
        if (found == state_table.end()) {
            fields.add_error("state", "expected one of running, ended, never_seen");
            return;
        }
        result.state = found->state;
        if (result.state == attempt_state::ended) {
            result.answer = fields.text("answer");
        }
    });
    return status.ok() ? absl::StatusOr<attempt_answer>{std::move(result)} : status;
}

absl::StatusOr<run_request> decode_run_request(const header_lookup& header, std::string body)
{
    header_reader reader{header};
    run_request result;
    result.attempt_id = base::attempt_id{reader.id(attempt_header)};
    result.epoch = base::epoch{reader.number(epoch_header, 0, max_number)};
    result.team = base::team_id{reader.id(team_header)};
    result.idempotency_key = base::idempotency_key{reader.id(idempotency_header)};
    result.work_key = base::work_key{reader.optional_id(work_key_header)};
    result.lease = std::chrono::milliseconds{
        static_cast<std::int64_t>(reader.number(lease_header, 1, max_lease_ms))};
    result.content_type = reader.optional_id(content_type_header);
    result.body = std::move(body);
    if (!reader.status().ok()) {
        return reader.status();
    }
    return result;
}

http_call make_fence_call(const endpoint& to, const fence_request& message,
                          base::time_point deadline)
{
    http_call call = make_call(to, "POST", "/lovagebeam/v1/fence", deadline);
    call.headers.push_back({std::string{content_type_header}, "application/json"});
    call.body = encode(message);
    return call;
}

http_call make_run_call(const endpoint& to, run_request message, base::time_point deadline)
{
    http_call call = make_call(to, "POST", "/lovagebeam/v1/run", deadline);
    const auto add = [&call](std::string_view name, std::string value) {
        if (!value.empty()) {
            call.headers.push_back({std::string{name}, std::move(value)});
        }
    };
    add(attempt_header, message.attempt_id.str());
    add(epoch_header, std::to_string(message.epoch.value()));
    add(team_header, message.team.str());
    add(idempotency_header, message.idempotency_key.str());
    add(work_key_header, message.work_key.str());
    add(lease_header, std::to_string(message.lease.count()));
    add(content_type_header, std::move(message.content_type));
    call.body = std::move(message.body);
    return call;
}

http_call make_attempt_query_call(const endpoint& to, const base::attempt_id& id,
                                  base::time_point deadline)
{
    return make_call(to, "GET", "/lovagebeam/v1/attempts/" + percent_encode(id.str()), deadline);
}

} // namespace lovagebeam::targets
