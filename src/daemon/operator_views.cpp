#include "operator_views.h"

#include <boost/json.hpp>

#include <utility>

namespace lovagebeam::daemon {
namespace {

namespace json = boost::json;

std::int64_t unix_millis(base::wall_time time)
{
    return time.time_since_epoch().count();
}

std::string serialize_list(const char* name, json::array list)
{
    return json::serialize(json::object{{name, std::move(list)}});
}

} // namespace

std::string render_keys(const state::cell_state& cell)
{
    json::array list;
    for (const auto& key : cell.keys()) {
        list.push_back(json::object{{"key_id", key.id.str()},
                                    {"team", key.team.str()},
                                    {"given_by", key.given_by},
                                    {"given_ms", unix_millis(key.given)}});
    }
    return serialize_list("keys", std::move(list));
}

std::string render_audit(const state::cell_state& cell, std::uint64_t from, std::size_t limit)
{
    json::array list;
    for (const auto& entry : cell.audit(from, limit)) {
        list.push_back(json::object{{"sequence", entry.sequence},
                                    {"when_ms", unix_millis(entry.when)},
                                    {"who", entry.who},
                                    {"what", entry.what},
                                    {"why", entry.why},
                                    {"version_before", entry.before.value()},
                                    {"version_after", entry.after.value()},
                                    {"operation_id", entry.operation.str()}});
    }
    return serialize_list("audit", std::move(list));
}

std::string render_hosts(const state::cell_state& cell)
{
    json::array list;
    for (const auto& member : cell.members()) {
        list.push_back(json::object{{"host", member.node.str()},
                                    {"address", member.address},
                                    {"failure_domain", member.domain.str()},
                                    {"voter", member.voter},
                                    {"epoch", cell.epoch().value()}});
    }
    return serialize_list("hosts", std::move(list));
}

std::string render_targets(const state::cell_state& cell)
{
    json::array list;
    cell.for_each_target([&list](const state::target& target) {
        list.push_back(json::object{{"target", target.id.str()},
                                    {"address", target.address},
                                    {"port", target.port},
                                    {"failure_domain", target.domain.str()},
                                    {"rack", target.rack},
                                    {"slots", target.slots},
                                    {"leaving", target.leaving}});
    });
    return serialize_list("targets", std::move(list));
}

std::string render_workers(const state::cell_state& cell)
{
    json::array list;
    cell.for_each_worker([&](const state::worker& worker) {
        const auto usage = cell.usage_of(worker.id);
        list.push_back(json::object{{"worker", worker.id.str()},
                                    {"address", worker.address},
                                    {"port", worker.port},
                                    {"failure_domain", worker.domain.str()},
                                    {"rack", worker.rack},
                                    {"millicores", worker.cores.value()},
                                    {"booked_millicores", usage.cores.value()},
                                    {"memory_bytes", worker.memory.value()},
                                    {"booked_memory_bytes", usage.memory.value()},
                                    {"accelerators", worker.accelerators},
                                    {"booked_accelerators", usage.accelerators}});
    });
    return serialize_list("workers", std::move(list));
}

std::string render_teams(const state::cell_state& cell)
{
    json::array list;
    for (const auto& team : cell.teams()) {
        list.push_back(
            json::object{{"team", team.id.str()},
                         {"keys", team.keys},
                         {"share", team.settings.share},
                         {"upper_limit_slots", team.settings.upper_limit_slots},
                         {"upper_limit_millicores", team.settings.upper_limit_millicores.value()},
                         {"upper_limit_memory_bytes", team.settings.upper_limit_memory.value()},
                         {"upper_limit_accelerators", team.settings.upper_limit_accelerators}});
    }
    return serialize_list("teams", std::move(list));
}

std::string render_jobs(const state::cell_state& cell)
{
    json::array list;
    cell.for_each_job([&list](const state::job& job) {
        list.push_back(json::object{{"job_id", job.spec.id.str()},
                                    {"team", job.spec.team.str()},
                                    {"name", job.spec.name},
                                    {"kind", std::string{state::name_of(job.spec.kind)}},
                                    {"tasks", job.spec.tasks},
                                    {"tasks_open", job.tasks_open},
                                    {"state", job.ended ? "ended" : "open"}});
    });
    return serialize_list("jobs", std::move(list));
}

} // namespace lovagebeam::daemon
