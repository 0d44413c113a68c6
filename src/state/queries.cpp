#include "lovagebeam/state/cell_state.h"

#include "cell_data.h"

namespace lovagebeam::state {
namespace {

template <class Map, class Value>
void visit_all(const Map& map, const std::function<void(const Value&)>& visit)
{
    for (const auto& [key, slot] : map.slots()) {
        visit(slot.value);
    }
}

} // namespace

std::uint64_t cell_state::applied_index() const
{
    return m_data->index;
}

std::uint64_t cell_state::digest() const
{
    return m_data->digest();
}

const configuration& cell_state::config() const
{
    return m_data->config;
}

base::config_version cell_state::version() const
{
    return m_data->version;
}

effective_settings cell_state::settings_for(const settings_scope& scope) const
{
    return scope.queue.empty() && !scope.team.empty() && scope.target.empty() && scope.host.empty()
               ? m_data->settings_for_team(scope.team)
               : m_data->settings_for(scope);
}

bool cell_state::is_queue_open(std::string_view queue) const
{
    return m_data->settings_for({std::string{queue}, {}, {}, {}}).open;
}

std::vector<team_summary> cell_state::teams() const
{
    std::vector<team_summary> result;
    result.reserve(m_data->keys_per_team.size());
    for (const auto& [team, keys] : m_data->keys_per_team) {
        result.push_back({team, keys, m_data->settings_for_team(team)});
    }
    return result;
}

bool cell_state::has_team(const base::team_id& team) const
{
    return m_data->keys_per_team.contains(team);
}

const team_key* cell_state::find_key(const base::key_id& id) const
{
    return m_data->keys.find(id);
}

std::vector<team_key> cell_state::keys() const
{
    std::vector<team_key> result;
    result.reserve(m_data->keys.size());
    for (const auto& [id, slot] : m_data->keys.slots()) {
        result.push_back(slot.value);
    }
    return result;
}

base::epoch cell_state::epoch() const
{
    return m_data->epoch;
}

const std::vector<member>& cell_state::members() const
{
    return m_data->members;
}

const target* cell_state::find_target(const base::target_id& id) const
{
    return m_data->targets.find(id);
}

const worker* cell_state::find_worker(const base::worker_id& id) const
{
    return m_data->workers.find(id);
}

void cell_state::for_each_target(const std::function<void(const target&)>& visit) const
{
    visit_all(m_data->targets, visit);
}

void cell_state::for_each_worker(const std::function<void(const worker&)>& visit) const
{
    visit_all(m_data->workers, visit);
}

const job* cell_state::find_job(const base::job_id& id) const
{
    return m_data->jobs.find(id);
}

const job* cell_state::find_job(const base::team_id& team, const base::idempotency_key& key) const
{
    const auto found = m_data->job_by_request.find({team, key});
    return found == m_data->job_by_request.end() ? nullptr : m_data->jobs.find(found->second);
}

const task* cell_state::find_task(const base::task_id& id) const
{
    return m_data->tasks.find(id);
}

std::size_t cell_state::job_count() const
{
    return m_data->jobs.size();
}

std::size_t cell_state::task_count() const
{
    return m_data->tasks.size();
}

void cell_state::for_each_job(const std::function<void(const job&)>& visit) const
{
    visit_all(m_data->jobs, visit);
}

void cell_state::for_each_task(const base::job_id& id,
                               const std::function<void(const task&)>& visit) const
{
    const job* const owner = m_data->jobs.find(id);
    for (std::uint32_t i = 0; owner != nullptr && i < owner->spec.tasks; ++i) {
        if (const task* const one = m_data->tasks.find(make_task_id(id, i))) {
            visit(*one);
        }
    }
}

std::vector<const task*> cell_state::placements_on(const base::worker_id& id) const
{
    std::vector<const task*> result;
    if (const auto entry = m_data->placements_by_worker.find(id);
        entry != m_data->placements_by_worker.end()) {
        for (const base::task_id& one : entry->second.tasks) {
            result.push_back(m_data->tasks.find(one));
        }
    }
    return result;
}

worker_usage cell_state::usage_of(const base::worker_id& id) const
{
    const auto entry = m_data->placements_by_worker.find(id);
    return entry == m_data->placements_by_worker.end() ? worker_usage{} : entry->second.usage;
}

const intent* cell_state::find_intent(const base::team_id& team,
                                      const base::idempotency_key& key) const
{
    return m_data->intents.find({team, key});
}

std::vector<intent> cell_state::open_intents() const
{
    std::vector<intent> result;
    result.reserve(m_data->open_intents.size());
    for (const request_key& key : m_data->open_intents) {
        result.push_back(*m_data->intents.find(key));
    }
    return result;
}

void cell_state::for_each_intent(const std::function<void(const intent&)>& visit) const
{
    visit_all(m_data->intents, visit);
}

const result_record* cell_state::find_result(const base::team_id& team,
                                             const base::idempotency_key& key) const
{
    return m_data->results.find({team, key});
}

std::optional<apply_result> cell_state::find_operation(const base::operation_id& operation) const
{
    const operation_record* const found = m_data->operations.find(operation);
    return found == nullptr ? std::nullopt : std::optional{found->result};
}

std::vector<audit_entry> cell_state::audit(std::uint64_t from, std::size_t limit) const
{
    std::vector<audit_entry> result;
    const auto& slots = m_data->audit.slots();
    for (auto it = slots.lower_bound(from); it != slots.end() && result.size() < limit; ++it) {
        result.push_back(it->second.value);
    }
    return result;
}

std::optional<base::wall_time> cell_state::next_expiry() const
{
    return m_data->expiry_index.empty() ? std::nullopt
                                        : std::optional{m_data->expiry_index.begin()->expiry};
}

} // namespace lovagebeam::state
