#include "job_convert.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/settings/json_reader.h"

#include <boost/json.hpp>

#include <vector>

namespace lovagebeam::daemon {
namespace {

namespace json = boost::json;
using base::error_code;
using base::make_error;
using settings::presence;

constexpr std::int64_t max_amount = std::int64_t{1} << 43U;
constexpr std::int64_t max_tasks_per_job = 20'000;

placement::job_kind to_placement(state::job_kind kind)
{
    switch (kind) {
    case state::job_kind::service:
        return placement::job_kind::service;
    case state::job_kind::gang:
        return placement::job_kind::gang;
    case state::job_kind::urgent:
        return placement::job_kind::urgent;
    case state::job_kind::batch:
        break;
    }
    return placement::job_kind::batch;
}

void read_kind(settings::json_reader& reader, state::job_spec& spec)
{
    std::string kind;
    reader.read("kind", kind, presence::required);
    if (kind.empty()) {
        return;
    }
    if (const auto known = state::job_kind_from_name(kind)) {
        spec.kind = *known;
    }
    else {
        reader.report("kind", "must be service, batch, gang or urgent, but is \"" + kind + "\"");
    }
}

void read_resources(settings::json_reader& reader, state::job_spec& spec)
{
    std::int64_t tasks = 1;
    std::int64_t millicores = 0;
    std::int64_t memory = 0;
    std::int64_t run_time = 0;
    std::int64_t deadline = 0;
    reader.read("tasks", tasks, 1, max_tasks_per_job, presence::optional);
    reader.read("millicores", millicores, 1, max_amount, presence::required);
    reader.read("memory_bytes", memory, 1, max_amount, presence::required);
    reader.read("accelerators", spec.accelerators, 0, max_amount, presence::optional);
    reader.read("run_time_ms", run_time, 0, max_amount, presence::optional);
    reader.read("deadline_ms", deadline, 0, max_amount, presence::optional);
    spec.tasks = static_cast<std::uint32_t>(tasks);
    spec.cores = base::millicores{millicores};
    spec.memory = base::bytes{memory};
    spec.run_time = std::chrono::milliseconds{run_time};
    spec.deadline = std::chrono::milliseconds{deadline};
}

json::object task_to_json(const state::task& task)
{
    json::object out;
    out["task_id"] = task.id.str();
    out["state"] = std::string{state::name_of(task.state)};
    out["worker"] = task.worker.str();
    out["attempts"] = task.attempts;
    if (task.state == state::task_state::ended) {
        out["outcome"] = std::string{state::name_of(task.outcome)};
    }
    return out;
}

json::object job_to_json(const state::job& job)
{
    json::object out;
    out["job_id"] = job.spec.id.str();
    out["team"] = job.spec.team.str();
    out["name"] = job.spec.name;
    out["kind"] = std::string{state::name_of(job.spec.kind)};
    out["state"] = job.ended ? "ended" : "open";
    out["cancel_requested"] = job.cancel_requested;
    return out;
}

absl::Status check_fits_any_worker(const state::cell_state& cell, const state::job_spec& spec)
{
    bool has_worker = false;
    bool fits = false;
    cell.for_each_worker([&](const state::worker& worker) {
        has_worker = true;
        fits = fits || (spec.cores <= worker.cores && spec.memory <= worker.memory &&
                        spec.accelerators <= worker.accelerators);
    });
    if (has_worker && !fits) {
        return make_error(error_code::job_can_never_run,
                          "no host has " + std::to_string(spec.cores.value()) + " millicores, " +
                              std::to_string(spec.memory.value()) + " bytes and " +
                              std::to_string(spec.accelerators) + " accelerators");
    }
    return absl::OkStatus();
}

absl::Status check_gang_fits_fleet(const state::cell_state& cell, const state::job_spec& spec)
{
    if (spec.kind != state::job_kind::gang) {
        return absl::OkStatus();
    }
    std::int64_t capacity = 0;
    bool has_worker = false;
    cell.for_each_worker([&](const state::worker& worker) {
        has_worker = true;
        std::int64_t worker_capacity = std::min(worker.cores.value() / spec.cores.value(),
                                                worker.memory.value() / spec.memory.value());
        if (spec.accelerators > 0) {
            worker_capacity = std::min(worker_capacity, worker.accelerators / spec.accelerators);
        }
        capacity += worker_capacity;
    });
    if (has_worker && capacity < spec.tasks) {
        return make_error(error_code::job_can_never_run,
                          "the gang has " + std::to_string(spec.tasks) +
                              " tasks, but the whole fleet has room for " +
                              std::to_string(capacity));
    }
    return absl::OkStatus();
}

absl::Status check_team_limit(const state::cell_state& cell, const state::job_spec& spec)
{
    state::settings_scope scope;
    scope.team = spec.team;
    const auto limits = cell.settings_for(scope);
    const std::int64_t concurrent_tasks = spec.kind == state::job_kind::gang ? spec.tasks : 1;
    if (spec.cores.value() * concurrent_tasks > limits.upper_limit_millicores.value() ||
        spec.memory.value() * concurrent_tasks > limits.upper_limit_memory.value() ||
        spec.accelerators * concurrent_tasks > limits.upper_limit_accelerators) {
        return make_error(
            error_code::job_can_never_run,
            "the job needs more at once than the upper limit of team " + spec.team.str() + ": " +
                std::to_string(limits.upper_limit_millicores.value()) + " millicores, " +
                std::to_string(limits.upper_limit_memory.value()) + " bytes and " +
                std::to_string(limits.upper_limit_accelerators) + " accelerators");
    }
    return absl::OkStatus();
}

} // namespace

placement::team_settings to_team_settings(const state::effective_settings& settings)
{
    placement::team_settings result;
    result.share = settings.share;
    result.limit_cpu = settings.upper_limit_millicores;
    result.limit_memory = settings.upper_limit_memory;
    result.limit_devices = placement::accelerators{settings.upper_limit_accelerators};
    return result;
}

placement::job_spec to_placement(const state::job& job, base::time_point now,
                                 base::wall_time wall_now)
{
    const state::job_spec& spec = job.spec;
    placement::job_spec result;
    if (spec.deadline.count() > 0) {
        result.deadline = now + (job.accepted + spec.deadline - wall_now);
    }
    result.id = spec.id;
    result.team = spec.team;
    result.command = spec.command;
    result.kind = to_placement(spec.kind);
    result.tasks = spec.tasks;
    result.size = {spec.cores, spec.memory, placement::accelerators{spec.accelerators}};
    result.run_time = spec.run_time;
    result.repeatable = spec.repeatable;
    return result;
}

absl::StatusOr<state::job_spec> decode_job(std::string_view text)
{
    boost::system::error_code error;
    const auto document = json::parse({text.data(), text.size()}, error);
    if (error || !document.is_object()) {
        return make_error(error_code::invalid_request, "the body must be a JSON object");
    }
    std::vector<settings::problem> problems;
    settings::json_reader reader{document.get_object(), "", problems};
    state::job_spec spec;
    std::string key;
    std::string work_key;
    reader.read("name", spec.name, presence::required);
    reader.read("command", spec.command, presence::required);
    reader.read("idempotency_key", key, presence::required);
    reader.read("work_key", work_key, presence::optional);
    reader.read("repeatable", spec.repeatable, presence::optional);
    read_kind(reader, spec);
    read_resources(reader, spec);
    reader.finish();
    if (!problems.empty()) {
        std::string message = std::to_string(problems.size()) + " problems";
        for (const auto& found : problems) {
            message.append("\n  ").append(found.path).append(": ").append(found.message);
        }
        return make_error(error_code::invalid_request, message);
    }
    spec.key = base::idempotency_key{key};
    spec.work = base::work_key{work_key};
    return spec;
}

std::string render_job(const state::cell_state& cell, const state::job& job)
{
    json::object out = job_to_json(job);
    json::array tasks;
    cell.for_each_task(job.spec.id,
                       [&](const state::task& task) { tasks.push_back(task_to_json(task)); });
    out["tasks"] = std::move(tasks);
    return json::serialize(out);
}

std::string render_job_result(const state::cell_state& cell, const state::job& job)
{
    json::object out = job_to_json(job);
    json::array results;
    cell.for_each_task(job.spec.id, [&](const state::task& task) {
        json::object entry = task_to_json(task);
        entry["output"] = task.output;
        results.push_back(std::move(entry));
    });
    out["results"] = std::move(results);
    return json::serialize(out);
}

absl::Status check_job_can_run(const state::cell_state& cell, const state::job_spec& spec)
{
    for (const auto check : {check_fits_any_worker, check_gang_fits_fleet, check_team_limit}) {
        if (auto status = check(cell, spec); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

} // namespace lovagebeam::daemon
