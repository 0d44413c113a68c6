#include "lovagebeam/workers/protocol.h"

#include "lovagebeam/targets/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace lovagebeam::workers {
namespace {

namespace json = boost::json;
using targets::decode_object;
using targets::json_fields;
using targets::to_json;

constexpr std::uint64_t max_unsigned = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t max_signed = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t max_port = 65'535;
constexpr std::uint64_t max_millicores = 1'000'000'000;
constexpr std::uint64_t max_accelerators = 65'536;
// 30 days for a lease and a year for a run. The bounds also keep sums with a time point within 64
// bits.
constexpr std::uint64_t max_lease_ms = 30ULL * 24 * 3600 * 1000;
constexpr std::uint64_t max_run_time_ms = 365ULL * 24 * 3600 * 1000;
constexpr std::size_t max_output_bytes = std::size_t{64} * 1024;

struct state_entry {
    task_state state;
    std::string_view name;
    bool ended;
};

constexpr std::array state_table{
    state_entry{task_state::starting, "starting", false},
    state_entry{task_state::running, "running", false},
    state_entry{task_state::throttled, "throttled", false},
    state_entry{task_state::checkpointed, "checkpointed", true},
    state_entry{task_state::succeeded, "succeeded", true},
    state_entry{task_state::failed, "failed", true},
    state_entry{task_state::stopped, "stopped", true},
    state_entry{task_state::lease_expired, "lease_expired", true},
};

const state_entry& entry_of(task_state state)
{
    return *std::ranges::find(state_table, state, &state_entry::state);
}

std::chrono::milliseconds to_ms(std::uint64_t count)
{
    return std::chrono::milliseconds{static_cast<std::int64_t>(count)};
}

std::int64_t to_signed(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

task_state read_state(json_fields& fields)
{
    const std::string name = fields.id("state");
    const auto* const found = std::ranges::find(state_table, name, &state_entry::name);
    if (found == state_table.end()) {
        std::string known;
        for (const auto& each : state_table) {
            known += known.empty() ? "" : ", ";
            known += each.name;
        }
        fields.add_error("state", "expected one of " + known);
        return task_state::running;
    }
    return found->state;
}

task_spec read_spec(json_fields& fields)
{
    task_spec result;
    result.name = fields.id("name");
    result.command = fields.id("command");
    result.millicores = base::millicores{to_signed(fields.number("millicores", 0, max_millicores))};
    result.memory = base::bytes{to_signed(fields.number("memory_bytes", 0, max_signed))};
    result.accelerators =
        static_cast<std::uint32_t>(fields.number("accelerators", 0, max_accelerators));
    result.run_time = to_ms(fields.number("run_time_ms", 0, max_run_time_ms));
    return result;
}

json::object encode_spec(const task_spec& spec)
{
    return {{"name", spec.name},
            {"command", spec.command},
            {"millicores", spec.millicores.value()},
            {"memory_bytes", spec.memory.value()},
            {"accelerators", spec.accelerators},
            {"run_time_ms", spec.run_time.count()}};
}

} // namespace

std::string_view name_of(task_state state)
{
    return entry_of(state).name;
}

bool is_ended(task_state state)
{
    return entry_of(state).ended;
}

std::string encode(const worker_announcement& message)
{
    json::array tasks;
    tasks.reserve(message.tasks.size());
    for (const auto& task : message.tasks) {
        tasks.push_back(json::object{{"task_id", task.task_id.str()},
                                     {"state", to_json(name_of(task.state))},
                                     {"output", task.output}});
    }
    return json::serialize(json::object{{"worker_id", message.worker_id.str()},
                                        {"address", message.where.address},
                                        {"port", message.where.port},
                                        {"failure_domain", message.failure_domain.str()},
                                        {"rack", message.rack},
                                        {"millicores", message.millicores.value()},
                                        {"memory_bytes", message.memory.value()},
                                        {"accelerators", message.accelerators},
                                        {"tasks", std::move(tasks)}});
}

absl::StatusOr<worker_announcement> decode_worker_announcement(std::string_view json)
{
    worker_announcement result;
    const absl::Status status = decode_object(json, [&result](json_fields& fields) {
        result.worker_id = base::worker_id{fields.id("worker_id")};
        result.where.address = fields.address("address");
        result.where.port = static_cast<std::uint16_t>(fields.number("port", 1, max_port));
        result.failure_domain = base::failure_domain{fields.id("failure_domain")};
        result.rack = fields.id_or_empty("rack");
        result.millicores =
            base::millicores{to_signed(fields.number("millicores", 0, max_millicores))};
        result.memory = base::bytes{to_signed(fields.number("memory_bytes", 0, max_signed))};
        result.accelerators =
            static_cast<std::uint32_t>(fields.number("accelerators", 0, max_accelerators));
        fields.list("tasks", [&result](json_fields& element) {
            task_report task;
            task.task_id = base::task_id{element.id("task_id")};
            task.state = read_state(element);
            task.output = element.text("output", max_output_bytes);
            result.tasks.push_back(std::move(task));
        });
    });
    return status.ok() ? absl::StatusOr<worker_announcement>{std::move(result)} : status;
}

std::string encode(const announcement_answer& message)
{
    json::array leases;
    leases.reserve(message.leases.size());
    for (const auto& each : message.leases) {
        leases.push_back(
            json::object{{"task_id", each.task_id.str()}, {"lease_ms", each.lease.count()}});
    }
    return json::serialize(json::object{{"leases", std::move(leases)}});
}

absl::StatusOr<announcement_answer> decode_announcement_answer(std::string_view json)
{
    announcement_answer result;
    const absl::Status status = decode_object(json, [&result](json_fields& fields) {
        fields.list("leases", [&result](json_fields& element) {
            lease_renewal each;
            each.task_id = base::task_id{element.id("task_id")};
            each.lease = to_ms(element.number("lease_ms", 1, max_lease_ms));
            result.leases.push_back(std::move(each));
        });
    });
    return status.ok() ? absl::StatusOr<announcement_answer>{std::move(result)} : status;
}

std::string encode(const start_task_request& message)
{
    return json::serialize(json::object{{"task_id", message.task_id.str()},
                                        {"job_id", message.job_id.str()},
                                        {"lease_ms", message.lease.count()},
                                        {"fence", message.fence},
                                        {"spec", encode_spec(message.spec)}});
}

absl::StatusOr<start_task_request> decode_start_task_request(std::string_view json)
{
    start_task_request result;
    const absl::Status status = decode_object(json, [&result](json_fields& fields) {
        result.task_id = base::task_id{fields.id("task_id")};
        result.job_id = base::job_id{fields.id("job_id")};
        result.lease = to_ms(fields.number("lease_ms", 1, max_lease_ms));
        result.fence = fields.number("fence", 0, max_unsigned);
        fields.object("spec", [&result](json_fields& spec) { result.spec = read_spec(spec); });
    });
    return status.ok() ? absl::StatusOr<start_task_request>{std::move(result)} : status;
}

} // namespace lovagebeam::workers
