#pragma once

#include "lovagebeam/jobs/crash_attribution.h"
#include "lovagebeam/jobs/evacuation.h"
#include "lovagebeam/jobs/model.h"

#include "jobs.pb.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::jobs {

/// The state of one task. A task that is `done` and still `placed` holds its capacity until its
/// worker lists the end.
struct task_record {
    bool placed = false;
    bool done = false;
    std::uint32_t attempt = 0; ///< of the last placement
    std::uint32_t failures = 0;
    base::worker_id worker;
    base::wall_time worker_started_at; ///< start of the worker instance that the task was placed on
    std::string checkpoint;
    crash_history crashes; ///< crashes that the task may have caused
};

struct step_record {
    std::vector<task_record> tasks;
    std::uint32_t undone = 0;         ///< number of tasks that aren't done
    std::uint32_t placed = 0;         ///< number of tasks that hold capacity
    std::uint32_t failed_attempt = 0; ///< last attempt of a gang that counted as failed
};

struct job_record {
    job_spec spec;
    base::wall_time accepted;
    base::wall_time ended; ///< once the state is final
    job_state state = job_state::queued;
    bool has_begun = false;         ///< a worker has confirmed the start of a task
    std::uint32_t placed = 0;       ///< number of tasks that hold capacity
    std::vector<step_record> steps; ///< by occurrence, then step

    [[nodiscard]] const step_record& step(std::uint32_t occurrence, std::uint32_t step) const
    {
        return steps[occurrence * spec.steps.size() + step];
    }
    [[nodiscard]] step_record& step(std::uint32_t occurrence, std::uint32_t step)
    {
        return steps[occurrence * spec.steps.size() + step];
    }
    /// Whether every step that `step` depends on is done in `occurrence`.
    [[nodiscard]] bool is_ready(std::uint32_t occurrence, std::uint32_t step) const;
};

/// The replicated record of jobs, placements, workers and the configuration document. Like the rest
/// of the state it has no clock and no I/O: the same batches give the same content on each replica.
/// Not thread-safe. Pointers stay valid until the next `apply`.
class ledger {
public:
    /// Applies a serialized `proto::jobs::Batch`. Operations that no longer apply (a resent job,
    /// an end that is already recorded) change nothing. Fails with `invalid_request` for bytes that
    /// aren't a batch.
    absl::Status apply(std::string_view bytes);

    [[nodiscard]] std::string encode() const;
    /// Replaces the content by that of `encode`. Fails with `snapshot_corrupt`.
    absl::Status decode(std::string_view bytes);

    /// Hash over all batches that were applied.
    [[nodiscard]] std::uint64_t history_hash() const { return m_history; }

    [[nodiscard]] const job_record* find(job_number id) const;
    [[nodiscard]] const task_record* find(const task_key& key) const;
    [[nodiscard]] const std::map<job_number, job_record>& jobs() const { return m_jobs; }
    /// Jobs that haven't ended or still hold capacity.
    [[nodiscard]] const std::set<job_number>& open_jobs() const { return m_open; }

    [[nodiscard]] const std::map<base::worker_id, worker_info>& workers() const
    {
        return m_workers;
    }
    /// The number of the report that the record of the worker is from; 0 if there is none.
    [[nodiscard]] std::uint64_t last_report(const base::worker_id& id) const;
    /// Whether this instance of the worker, or a later one with the same id, has left. A heartbeat
    /// that was delayed doesn't bring it back.
    [[nodiscard]] bool has_departed(const base::worker_id& id, base::wall_time started_at) const;
    /// Tasks that hold capacity of a worker.
    [[nodiscard]] const std::set<task_key>& placed_on(const base::worker_id& worker) const;
    /// Those of `placed_on` that may have crashed a worker before.
    [[nodiscard]] const std::set<task_key>& suspects_on(const base::worker_id& worker) const;
    [[nodiscard]] size used_on(const base::worker_id& worker) const;
    [[nodiscard]] size used_by(const std::string& account) const;
    /// Number of unfinished jobs of a queue of which no worker has confirmed a start. Jobs with
    /// scheduled occurrences don't count.
    [[nodiscard]] std::uint64_t pending(std::string_view queue) const;
    /// The sum over all queues.
    [[nodiscard]] std::uint64_t pending() const;

    /// The core processes that the last leader knew, with and without a disk. After a restart of
    /// all of them, the seeds may lead to only a part of them.
    [[nodiscard]] const std::set<std::string>& core_addresses() const { return m_cores; }

    /// The failure domains that are evacuated or were.
    [[nodiscard]] const std::map<base::failure_domain, evacuation_record>& evacuations() const
    {
        return m_evacuations;
    }
    /// Number of failure domains that are evacuated.
    [[nodiscard]] std::size_t evacuated_count() const { return m_evacuated.size(); }
    /// Whether no task may be started in the domain.
    [[nodiscard]] bool is_evacuated(const base::failure_domain& domain) const;
    /// Whether the worker is registered in an evacuated domain.
    [[nodiscard]] bool is_evacuated(const base::worker_id& worker) const;
    /// Whether a placement names a worker of an evacuated domain. Such an operation is rejected.
    [[nodiscard]] bool names_evacuated_worker(const proto::jobs::PlaceTasks& operation) const;

    [[nodiscard]] std::uint64_t catalog_version() const { return m_catalog_version; }
    [[nodiscard]] const std::string& catalog_document() const { return m_catalog; }

private:
    void apply(const proto::jobs::AcceptJob& operation);
    void apply(const proto::jobs::CancelJob& operation, base::wall_time now);
    void apply(const proto::jobs::PlaceTasks& operation);
    void apply(const proto::jobs::BeginJobs& operation);
    void apply(const proto::jobs::EndTask& operation, base::wall_time now);
    void apply(const proto::jobs::PutWorker& operation);
    void apply(const proto::jobs::RemoveWorker& operation, base::wall_time now);
    void apply(const proto::jobs::ForgetJobs& operation);
    void apply(const proto::jobs::PutEvacuation& operation, base::wall_time now);
    void apply_one(const proto::jobs::Operation& operation, base::wall_time now);

    /// Whether the ledger has a later report of the worker, or one of a later instance.
    [[nodiscard]] bool is_outdated(const worker_info& info, std::uint64_t sequence) const;
    [[nodiscard]] bool may_place(const proto::jobs::PlaceTasks& operation) const;
    void place(const proto::jobs::Placement& placement);
    void release(job_record& job, const task_key& key, task_record& task);
    void end_gang(job_record& job, const task_key& key, const proto::jobs::EndTask& operation,
                  base::wall_time now);
    void count_failure(job_record& job, task_record& task, base::wall_time now);
    void count_crash(job_record& job, task_record& task, const proto::jobs::EndTask& operation,
                     base::wall_time now);
    void index_placement(const job_spec& spec, const task_key& key, const task_record& task);
    void finish(job_record& job, job_state state, base::wall_time now);
    void finish_if_complete(job_record& job, base::wall_time now);
    void index(job_record& job);
    void index_placements(const job_record& job);
    void close_if_released(job_record& job);
    /// Keeps the number of records of withdrawn evacuations within its limit. That of `latest`
    /// remains.
    void drop_oldest_withdrawn_evacuation(const base::failure_domain& latest);
    void write_evacuations(proto::jobs::Snapshot& out) const;
    void read_evacuations(const proto::jobs::Snapshot& message);

    std::map<job_number, job_record> m_jobs;
    std::map<base::worker_id, worker_info> m_workers;
    std::map<base::worker_id, std::uint64_t> m_last_reports; ///< of `m_workers`
    struct departure {
        base::wall_time started_at; ///< of the instance that left
        base::wall_time left;
    };
    std::map<base::worker_id, departure> m_departed;
    std::uint64_t m_catalog_version = 0;
    std::string m_catalog;
    std::set<std::string> m_cores;
    std::map<base::failure_domain, evacuation_record> m_evacuations;
    std::uint64_t m_history = 0;

    // Derived from the above.
    std::set<base::failure_domain> m_evacuated; ///< those in force
    std::set<job_number> m_open;
    std::map<base::worker_id, std::set<task_key>> m_placed;
    std::map<base::worker_id, std::set<task_key>> m_suspects;
    std::map<base::worker_id, size> m_used_on;
    std::map<std::string, size> m_used_by;
    std::map<std::string, std::uint64_t, std::less<>> m_pending;
};

/// The capacity that a task takes from its worker. A task that fills unused processors takes no
/// processors, but memory and accelerators.
size booked_size(const step_spec& step);

proto::jobs::JobSpec to_proto(const job_spec& spec);
job_spec from_proto(const proto::jobs::JobSpec& message);
proto::jobs::WorkerInfo to_proto(const worker_info& info);
worker_info from_proto(const proto::jobs::WorkerInfo& message);
proto::jobs::TaskRef to_proto(const run_key& run);
run_key from_proto(const proto::jobs::TaskRef& message);

} // namespace lovagebeam::jobs
