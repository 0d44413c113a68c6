#pragma once

#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/state/cell_state.h"

#include "convert.h"
#include "digest_map.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::state {

/// Identifies a request: its team and idempotency key.
using request_key = std::pair<base::team_id, base::idempotency_key>;

/// Seeds of the hashes, one for each kind of record.
enum class section : std::uint64_t {
    header = 1,
    configuration,
    keys,
    operations,
    audit,
    targets,
    workers,
    jobs,
    tasks,
    intents,
    results,
};

/// An entry that expire_entries removes. `first` and `second` are the parts of its key.
struct expiry_entry {
    base::wall_time expiry;
    section kind{};
    std::string first;
    std::string second;

    friend auto operator<=>(const expiry_entry&, const expiry_entry&) = default;
};

/// What the placements on one worker hold.
struct worker_placements {
    worker_usage usage;
    std::set<base::task_id> tasks;
};

template <class Key, class Value, section Kind>
struct section_map : digest_map<Key, Value> {
    section_map() : digest_map<Key, Value>(static_cast<std::uint64_t>(Kind)) {}
};

/// The content of the state. The tracked maps are its records; what follows them is derived and
/// kept up to date by the put functions, so that a decoded snapshot rebuilds it.
struct cell_data {
    explicit cell_data(state_limits bounds) : limits{bounds} {}

    state_limits limits;
    std::uint64_t index = 0;
    base::wall_time time;
    configuration config;
    base::config_version version;
    base::epoch epoch;
    std::vector<member> members;
    std::uint64_t next_audit = 1;

    section_map<base::key_id, team_key, section::keys> keys;
    section_map<base::operation_id, operation_record, section::operations> operations;
    section_map<std::uint64_t, audit_entry, section::audit> audit;
    section_map<base::target_id, target, section::targets> targets;
    section_map<base::worker_id, worker, section::workers> workers;
    section_map<base::job_id, job, section::jobs> jobs;
    section_map<base::task_id, task, section::tasks> tasks;
    section_map<request_key, intent, section::intents> intents;
    section_map<request_key, result_record, section::results> results;
    jobs::ledger job_ledger;

    // Derived.
    std::uint64_t config_hash = 0;
    std::uint64_t members_hash = 0;
    std::map<std::string, std::size_t, std::less<>> scopes; // position in config.exceptions
    std::map<base::team_id, std::uint64_t> keys_per_team;   // number of keys
    std::map<request_key, base::job_id> job_by_request;
    std::map<base::worker_id, worker_placements> placements_by_worker;
    std::set<request_key> open_intents;
    std::set<expiry_entry> expiry_index;

    void set_config(configuration document);
    void set_members(std::vector<member> list);

    void put_key(team_key value);
    void erase_key(const base::key_id& id);
    void put_operation(operation_record value);
    void put_audit(audit_entry value);
    void put_job(job value);
    void put_task(task value);
    void put_intent(intent value);
    void put_result(result_record value);

    /// Removes the entry of `entry` and returns the number of records that it held.
    std::uint32_t erase_expired(const expiry_entry& entry);

    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] effective_settings settings_for(const settings_scope& scope) const;
    /// The settings of a team. The team `queue:<name>` takes those of the queue.
    [[nodiscard]] effective_settings settings_for_team(const base::team_id& team) const;
};

/// Returns the id of task `number` of a job.
base::task_id make_task_id(const base::job_id& job, std::uint32_t number);

inline bool is_placement(const task& value)
{
    return value.state == task_state::placed || value.state == task_state::running;
}

} // namespace lovagebeam::state
