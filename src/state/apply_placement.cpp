// Placements of tasks on workers.
#include "checks.h"
#include "handlers.h"

#include <map>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

/// One group while it is checked: nothing of it is in the data yet.
struct tentative_group {
    std::map<base::task_id, task> placed;
    std::map<base::worker_id, worker_usage> added;
};

worker_usage add(worker_usage usage, const job_spec& spec)
{
    usage.cores += spec.cores;
    usage.memory += spec.memory;
    usage.accelerators += spec.accelerators;
    return usage;
}

worker_usage usage_with(const cell_data& data, const tentative_group& group,
                        const base::worker_id& id)
{
    worker_usage usage;
    if (const auto entry = data.placements_by_worker.find(id);
        entry != data.placements_by_worker.end()) {
        usage = entry->second.usage;
    }
    if (const auto added = group.added.find(id); added != group.added.end()) {
        usage.cores += added->second.cores;
        usage.memory += added->second.memory;
        usage.accelerators += added->second.accelerators;
    }
    return usage;
}

// P1 is checked here as well as by the placement module: commands of two leaders can follow each
// other in the log.
absl::Status check_capacity(const cell_data& data, const tentative_group& group,
                            const base::worker_id& id, const job_spec& spec)
{
    const worker* const host = data.workers.find(id);
    if (host == nullptr) {
        return make_error(error_code::not_found, "there is no worker " + id.str());
    }
    if (host->leaving) {
        return make_error(error_code::shutting_down, "worker " + id.str() + " is leaving");
    }
    const worker_usage usage = add(usage_with(data, group, id), spec);
    if (usage.cores > host->cores || usage.memory > host->memory ||
        usage.accelerators > host->accelerators) {
        return make_error(error_code::capacity_exceeded,
                          "worker " + id.str() + " would hold " +
                              std::to_string(usage.cores.value()) + " millicores, " +
                              std::to_string(usage.memory.value()) + " bytes and " +
                              std::to_string(usage.accelerators) + " accelerators");
    }
    return absl::OkStatus();
}

absl::Status check_placeable(const task& known, const pb::Placement& message)
{
    if (known.state != task_state::pending) {
        return make_error(error_code::already_exists,
                          "task " + known.id.str() + " is " + std::string{name_of(known.state)} +
                              " under fence " + std::to_string(known.fence));
    }
    if (message.fence() <= known.fence) {
        return make_error(error_code::stale_fence,
                          "task " + known.id.str() + " had fence " + std::to_string(known.fence) +
                              ", not below " + std::to_string(message.fence()));
    }
    return absl::OkStatus();
}

/// Adds one placement to the group, or tells why it can't be made.
absl::Status place(const cell_data& data, tentative_group& group, const pb::Placement& message,
                   base::wall_time now)
{
    if (auto status =
            first_error(check_id("task", message.task()), check_id("worker", message.worker()),
                        check_amount("lease_ms", message.lease_ms(), 1));
        !status.ok()) {
        return status;
    }
    const base::task_id id{message.task()};
    const task* const known = data.tasks.find(id);
    if (known == nullptr) {
        return make_error(error_code::not_found, "there is no task " + id.str());
    }
    if (auto status = check_placeable(*known, message); !status.ok()) {
        return status;
    }
    const job_spec& spec = data.jobs.find(known->job)->spec;
    const base::worker_id host{message.worker()};
    if (auto status = check_capacity(data, group, host, spec); !status.ok()) {
        return status;
    }
    task value = *known;
    value.state = task_state::placed;
    value.worker = host;
    value.lease = milliseconds{message.lease_ms()};
    value.fence = message.fence();
    value.placed = now;
    ++value.attempts;
    if (!group.placed.emplace(id, std::move(value)).second) {
        return make_error(error_code::already_exists, "task " + id.str() + " is placed twice");
    }
    worker_usage& added = group.added[host];
    added = add(added, spec);
    return absl::OkStatus();
}

/// A resend of a placement that is in force.
bool is_repeated_placement(const cell_data& data, const pb::Placement& message)
{
    const task* const known = data.tasks.find(base::task_id{message.task()});
    return known != nullptr && is_placement(*known) && known->fence == message.fence() &&
           known->worker.str() == message.worker();
}

void apply_group(cell_data& data, const pb::PlacementGroup& message, apply_context& context)
{
    tentative_group group;
    bool is_refused = false;
    std::vector<absl::Status> items;
    for (const pb::Placement& one : message.placements()) {
        items.push_back(is_repeated_placement(data, one) ? absl::OkStatus()
                                                         : place(data, group, one, context.now));
        is_refused = is_refused || !items.back().ok();
    }
    for (absl::Status& item : items) {
        if (is_refused && item.ok()) {
            item = make_error(error_code::cancelled, "another placement of the group was refused");
        }
        context.result.items.push_back(std::move(item));
    }
    if (is_refused) {
        return;
    }
    for (auto& [id, value] : group.placed) {
        data.put_task(std::move(value));
        context.result.changed = true;
    }
}

} // namespace

absl::Status apply(cell_data& data, const pb::PlaceTasks& message, apply_context& context)
{
    for (const pb::PlacementGroup& group : message.groups()) {
        apply_group(data, group, context);
    }
    if (context.result.items.empty()) {
        return make_error(error_code::invalid_request, "no placement in the command");
    }
    return absl::OkStatus();
}

} // namespace lovagebeam::state
