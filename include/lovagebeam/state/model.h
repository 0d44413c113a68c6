#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::state {

using std::chrono::milliseconds;

/// A set of configuration fields. In an exception, an absent field leaves the value of the wider
/// scope in force.
struct settings_set {
    std::optional<std::int64_t> share;
    std::optional<std::int64_t> upper_limit_slots;
    std::optional<base::millicores> upper_limit_millicores;
    std::optional<base::bytes> upper_limit_memory;
    std::optional<std::int64_t> upper_limit_accelerators;
    std::optional<std::int64_t> queue_limit;
    std::optional<milliseconds> max_deadline;
    std::optional<milliseconds> result_retention;
    std::optional<bool> open;
    std::optional<bool> draining;

    friend bool operator==(const settings_set&, const settings_set&) = default;
};

/// The value of every field for one scope, after defaults and exceptions.
struct effective_settings {
    std::int64_t share = 1;
    std::int64_t upper_limit_slots = 64;
    base::millicores upper_limit_millicores{64'000};
    base::bytes upper_limit_memory{256LL << 30U};
    std::int64_t upper_limit_accelerators = 0;
    std::int64_t queue_limit = 1000;
    milliseconds max_deadline{std::chrono::hours{1}};
    milliseconds result_retention{std::chrono::minutes{10}};
    bool open = false;
    bool draining = false;

    friend bool operator==(const effective_settings&, const effective_settings&) = default;
};

/// A deviation from the defaults for one scope. `scope` is `team:<id>`, `queue:<name>`,
/// `target:<id>` or `host:<id>`.
struct config_exception {
    std::string scope;
    settings_set set;
    std::string reason;

    friend bool operator==(const config_exception&, const config_exception&) = default;
};

struct configuration {
    settings_set defaults;
    std::vector<config_exception> exceptions;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// What a setting is asked for. Exceptions apply in the order queue, team, target, host, so that a
/// later one wins where both set a field. Empty members are left out.
struct settings_scope {
    std::string queue;
    base::team_id team;
    base::target_id target;
    base::node_id host;
};

struct member {
    base::node_id node;
    std::string address;
    base::failure_domain domain;
    bool voter = false;
    std::uint64_t incarnation = 0;

    friend bool operator==(const member&, const member&) = default;
};

struct target {
    base::target_id id;
    std::string address;
    std::uint16_t port = 0;
    base::failure_domain domain;
    std::string rack;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    bool leaving = false;

    friend bool operator==(const target&, const target&) = default;
};

struct worker {
    base::worker_id id;
    std::string address;
    std::uint16_t port = 0;
    base::failure_domain domain;
    std::string rack;
    base::millicores cores;
    base::bytes memory;
    std::int64_t accelerators = 0;
    bool leaving = false;

    friend bool operator==(const worker&, const worker&) = default;
};

enum class job_kind { service, batch, gang, urgent };
enum class task_state { pending, placed, running, ended };
enum class task_outcome { none, succeeded, failed, cancelled, requeued, unknown };
enum class work_outcome { none, completed, not_run, unknown };

std::string_view name_of(job_kind kind);
std::string_view name_of(task_state state);
std::string_view name_of(task_outcome outcome);
std::string_view name_of(work_outcome outcome);
std::optional<job_kind> job_kind_from_name(std::string_view name);
std::optional<work_outcome> work_outcome_from_name(std::string_view name);

/// A job as it was accepted. `cores`, `memory` and `accelerators` are those of each task.
struct job_spec {
    base::job_id id;
    base::team_id team;
    base::idempotency_key key;
    std::string name;
    std::string command;
    job_kind kind = job_kind::batch;
    std::uint32_t tasks = 1;
    base::millicores cores;
    base::bytes memory;
    std::int64_t accelerators = 0;
    milliseconds run_time{};
    milliseconds deadline{}; // from acceptance; 0 means none
    bool repeatable = false; // a task may be started again after its lease expired
    base::work_key work;

    friend bool operator==(const job_spec&, const job_spec&) = default;
};

struct job {
    job_spec spec;
    base::wall_time accepted;
    bool cancel_requested = false;
    std::uint32_t tasks_open = 0;          // tasks that have not ended
    std::optional<base::wall_time> ended;  // once tasks_open is 0
    std::optional<base::wall_time> expiry; // once tasks_open is 0

    friend bool operator==(const job&, const job&) = default;
};

/// One task of a job. Its id is `<job id>/<number>`, counted from 0.
struct task {
    base::task_id id;
    base::job_id job;
    task_state state = task_state::pending;
    base::worker_id worker; // of the present or last placement
    milliseconds lease{};
    std::uint64_t fence = 0;
    base::wall_time placed;
    base::wall_time started;
    base::wall_time ended;
    task_outcome outcome = task_outcome::none;
    std::string output;
    std::uint32_t attempts = 0; // placements so far

    friend bool operator==(const task&, const task&) = default;
};

/// A record, written before the dispatch, that work which may not be repeated is sent to a target.
struct intent {
    base::team_id team;
    base::idempotency_key key;
    base::attempt_id attempt;
    base::target_id target;
    base::epoch epoch;
    work_outcome outcome = work_outcome::none; // none while open
    base::wall_time committed;
    std::optional<base::wall_time> expiry; // once resolved
    /// Locked until the outcome is known; empty for none.
    base::work_key work;

    friend bool operator==(const intent&, const intent&) = default;
};

/// What is known of a finished request after its answer left the owner's memory.
struct result_record {
    base::team_id team;
    base::idempotency_key key;
    base::attempt_id attempt;
    work_outcome outcome = work_outcome::none;
    std::string answer_hash;
    base::wall_time expiry;

    friend bool operator==(const result_record&, const result_record&) = default;
};

/// A team key without its secret.
struct team_key {
    base::key_id id;
    base::team_id team;
    std::string salt;
    std::string hash;
    std::string given_by;
    base::wall_time given;

    friend bool operator==(const team_key&, const team_key&) = default;
};

struct audit_entry {
    std::uint64_t sequence = 0;
    std::string who;
    base::wall_time when;
    std::string what;
    std::string why;
    base::config_version before;
    base::config_version after;
    base::operation_id operation;

    friend bool operator==(const audit_entry&, const audit_entry&) = default;
};

/// A team that has a key, with its settings.
struct team_summary {
    base::team_id id;
    std::uint64_t keys = 0;
    effective_settings settings;
};

/// Capacity of a worker that committed placements hold.
struct worker_usage {
    base::millicores cores;
    base::bytes memory;
    std::int64_t accelerators = 0;

    friend bool operator==(const worker_usage&, const worker_usage&) = default;
};

} // namespace lovagebeam::state
