#include "cell_data.h"

#include <algorithm>

namespace lovagebeam::state {
namespace {

constexpr std::string_view queue_prefix = "queue:";

template <class Map, class Key>
std::optional<base::wall_time> expiry_of(const Map& map, const Key& key)
{
    const auto* const found = map.find(key);
    return found == nullptr ? std::nullopt : std::optional<base::wall_time>{found->expiry};
}

/// Moves an entry within the index of expiry dates.
void update_expiry_index(std::set<expiry_entry>& expiry_index, expiry_entry entry,
                         std::optional<base::wall_time> before,
                         std::optional<base::wall_time> after)
{
    if (before == after) {
        return;
    }
    if (before) {
        entry.expiry = *before;
        expiry_index.erase(entry);
    }
    if (after) {
        entry.expiry = *after;
        expiry_index.insert(std::move(entry));
    }
}

void overlay(effective_settings& target, const settings_set& set)
{
    const auto apply = [](auto& field, const auto& value) {
        if (value) {
            field = *value;
        }
    };
    apply(target.share, set.share);
    apply(target.upper_limit_slots, set.upper_limit_slots);
    apply(target.upper_limit_millicores, set.upper_limit_millicores);
    apply(target.upper_limit_memory, set.upper_limit_memory);
    apply(target.upper_limit_accelerators, set.upper_limit_accelerators);
    apply(target.queue_limit, set.queue_limit);
    apply(target.max_deadline, set.max_deadline);
    apply(target.result_retention, set.result_retention);
    apply(target.open, set.open);
    apply(target.draining, set.draining);
}

} // namespace

base::task_id make_task_id(const base::job_id& job, std::uint32_t number)
{
    return base::task_id{job.str() + "/" + std::to_string(number)};
}

void cell_data::set_config(configuration document)
{
    config = std::move(document);
    config_hash =
        hash_message(to_proto(config), static_cast<std::uint64_t>(section::configuration));
    scopes.clear();
    for (std::size_t i = 0; i < config.exceptions.size(); ++i) {
        scopes.emplace(config.exceptions[i].scope, i);
    }
}

void cell_data::set_members(std::vector<member> list)
{
    members = std::move(list);
    members_hash = 0;
    for (const member& one : members) {
        members_hash =
            hash_message(to_proto(one), members_hash + static_cast<std::uint64_t>(section::header));
    }
}

void cell_data::put_key(team_key value)
{
    const base::key_id id = value.id;
    erase_key(id);
    ++keys_per_team[value.team];
    keys.put(id, std::move(value));
}

void cell_data::erase_key(const base::key_id& id)
{
    const team_key* const old = keys.find(id);
    if (old == nullptr) {
        return;
    }
    const auto count = keys_per_team.find(old->team);
    if (--count->second == 0) {
        keys_per_team.erase(count);
    }
    keys.erase(id);
}

void cell_data::put_operation(operation_record value)
{
    const base::operation_id id = value.id;
    update_expiry_index(expiry_index, {{}, section::operations, id.str(), {}},
                        expiry_of(operations, id), value.expiry);
    operations.put(id, std::move(value));
}

void cell_data::put_audit(audit_entry value)
{
    const std::uint64_t sequence = value.sequence;
    audit.put(sequence, std::move(value));
    while (audit.size() > limits.max_audit_entries) {
        audit.erase(audit.slots().begin()->first);
    }
}

void cell_data::put_job(job value)
{
    const base::job_id id = value.spec.id;
    const job* const old = jobs.find(id);
    update_expiry_index(expiry_index, {{}, section::jobs, id.str(), {}},
                        old == nullptr ? std::nullopt : old->expiry, value.expiry);
    if (old == nullptr) {
        job_by_request.emplace(request_key{value.spec.team, value.spec.key}, id);
    }
    jobs.put(id, std::move(value));
}

void cell_data::put_task(task value)
{
    const auto add_usage = [this](const task& placed, std::int64_t sign) {
        const job* const owner = jobs.find(placed.job);
        if (owner == nullptr || !is_placement(placed)) {
            return;
        }
        worker_placements& entry = placements_by_worker[placed.worker];
        entry.usage.cores += base::millicores{sign * owner->spec.cores.value()};
        entry.usage.memory += base::bytes{sign * owner->spec.memory.value()};
        entry.usage.accelerators += sign * owner->spec.accelerators;
        if (sign > 0) {
            entry.tasks.insert(placed.id);
        }
        else {
            entry.tasks.erase(placed.id);
        }
        if (entry.tasks.empty()) {
            placements_by_worker.erase(placed.worker);
        }
    };
    const base::task_id id = value.id;
    if (const task* const old = tasks.find(id)) {
        add_usage(*old, -1);
    }
    add_usage(tasks.put(id, std::move(value)), 1);
}

void cell_data::put_intent(intent value)
{
    const request_key key{value.team, value.key};
    const intent* const old = intents.find(key);
    update_expiry_index(expiry_index, {{}, section::intents, key.first.str(), key.second.str()},
                        old == nullptr ? std::nullopt : old->expiry, value.expiry);
    if (value.outcome == work_outcome::none) {
        open_intents.insert(key);
    }
    else {
        open_intents.erase(key);
    }
    intents.put(key, std::move(value));
}

void cell_data::put_result(result_record value)
{
    const request_key key{value.team, value.key};
    update_expiry_index(expiry_index, {{}, section::results, key.first.str(), key.second.str()},
                        expiry_of(results, key), value.expiry);
    results.put(key, std::move(value));
}

std::uint32_t cell_data::erase_expired(const expiry_entry& entry)
{
    std::uint32_t records = 1;
    const request_key request{base::team_id{entry.first}, base::idempotency_key{entry.second}};
    if (entry.kind == section::operations) {
        operations.erase(base::operation_id{entry.first});
    }
    else if (entry.kind == section::intents) {
        intents.erase(request);
    }
    else if (entry.kind == section::results) {
        results.erase(request);
    }
    else if (const job* const old = jobs.find(base::job_id{entry.first})) {
        const job_spec spec = old->spec;
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            records += tasks.erase(make_task_id(spec.id, i)) ? 1 : 0;
        }
        job_by_request.erase({spec.team, spec.key});
        jobs.erase(spec.id);
    }
    expiry_index.erase(expiry_entry{entry});
    return records;
}

std::uint64_t cell_data::digest() const
{
    pb::Snapshot header;
    header.set_time_ms(to_ms(time));
    header.set_version(version.value());
    header.set_epoch(epoch.value());
    header.set_next_audit(next_audit);
    return hash_message(header, static_cast<std::uint64_t>(section::header)) + config_hash +
           members_hash + keys.sum() + operations.sum() + audit.sum() + targets.sum() +
           workers.sum() + jobs.sum() + tasks.sum() + intents.sum() + results.sum() +
           job_ledger.history_hash();
}

effective_settings cell_data::settings_for(const settings_scope& scope) const
{
    effective_settings result;
    overlay(result, config.defaults);
    const auto apply = [this, &result](std::string_view kind, const std::string& id) {
        const auto found = id.empty() ? scopes.end() : scopes.find(std::string{kind} + id);
        if (found != scopes.end()) {
            overlay(result, config.exceptions[found->second].set);
        }
    };
    apply(queue_prefix, scope.queue);
    apply("team:", scope.team.str());
    apply("target:", scope.target.str());
    apply("host:", scope.host.str());
    return result;
}

effective_settings cell_data::settings_for_team(const base::team_id& team) const
{
    settings_scope scope;
    if (team.str().starts_with(queue_prefix)) {
        scope.queue = team.str().substr(queue_prefix.size());
    }
    scope.team = team;
    return settings_for(scope);
}

} // namespace lovagebeam::state
