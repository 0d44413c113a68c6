#pragma once

#include "corrector.h"
#include "dispatcher.h"
#include "health.h"
#include "preemptor.h"

#include <deque>
#include <queue>

namespace lovagebeam::placement::internal {

class gang_planner;

/// How a placement ended, including ends that no worker reports.
enum class end_kind { completed, failed, checkpointed, stopped, refused, lost, not_sent };

/// Manages tasks and jobs from acceptance to their end.
class lifecycle {
public:
    lifecycle(cell& state, dispatcher& queues, preemptor& preempt, corrector& size_corrector,
              health& worker_health, gang_planner& gangs);

    /// Adds a job without deciding whether it can run.
    slot add_job(const job_spec& spec);
    /// Queues all tasks of the job that have not ended and have no placement.
    void make_pending(slot job);

    void on_committed(decision_id id);
    void on_commit_failed(decision_id id);
    void on_ended(const task_ended& report);
    void on_cancel(const base::job_id& id);
    void on_lease_expired(const base::task_id& id);
    /// Handles a report that the task is running.
    void on_running(slot task);
    /// Starts replacements for the services of a draining worker and checkpoints its batch tasks.
    void drain_worker(slot worker);
    /// Handles expired leases and queues tasks whose restart backoff or paced replacement is due.
    void on_tick(base::duration elapsed);
    /// Sends the start command for a committed or recovered placement.
    void start(slot task);
    /// If the job has no placement left, ends it when its outcome is decided, or queues its tasks
    /// again when it is a gang that restarts.
    void resolve(slot job);

    [[nodiscard]] std::optional<explanation> explain(const base::job_id& id) const;

private:
    struct delayed {
        base::time_point when;
        std::uint64_t sequence = 0;
        base::job_id job;
        std::uint32_t index = 0;
        friend bool operator>(const delayed& left, const delayed& right)
        {
            return left.when != right.when ? left.when > right.when
                                           : left.sequence > right.sequence;
        }
    };

    void end(slot task, end_kind how);
    bool grow_memory(slot task, const task_ended& report);
    void apply_correction(slot job);
    void handle_end(slot job, std::uint32_t index, slot worker, end_kind how, bool moved);
    void requeue(slot job, std::uint32_t index, slot worker, end_kind how);
    void queue_task(slot job, std::uint32_t index);
    void requeue_after(slot job, std::uint32_t index, base::duration time, reason why);
    void on_gang_task_lost(slot job);
    void mark_unknown(slot job, std::uint32_t index);
    void fail_job(slot job);
    void finish(slot job, job_state state, reason why);
    [[nodiscard]] bool has_placement(slot job, std::uint32_t index) const;
    [[nodiscard]] bool is_due(const task_record& task) const;
    void release_delayed();
    void release_paced(base::duration elapsed);
    void check_leases(base::duration elapsed);
    [[nodiscard]] explanation describe(slot job) const;

    cell& m_state;
    dispatcher& m_dispatcher;
    preemptor& m_preemptor;
    corrector& m_corrector;
    health& m_health;
    gang_planner& m_gangs;
    std::priority_queue<delayed, std::vector<delayed>, std::greater<>> m_delayed;
    std::deque<std::pair<base::job_id, std::uint32_t>> m_paced;
    double m_paced_allowance = 0;
    std::uint64_t m_next_delayed = 0;
    slot m_next_lease = 0;
    std::deque<base::job_id> m_final_order;
    flat_map<std::string, explanation> m_final;
};

} // namespace lovagebeam::placement::internal
