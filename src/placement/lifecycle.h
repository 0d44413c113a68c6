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
enum class end_kind { completed, failed, checkpointed, stopped, refused, lost, never_told };

/// Follows tasks and jobs from acceptance to their end.
class lifecycle {
public:
    lifecycle(cell& state, dispatcher& queues, preemptor& preempt, corrector& correct,
              health& standing, gang_planner& gangs);

    /// Adds a job without deciding whether it can run.
    slot add_job(const job_spec& spec);
    /// Lets all tasks of the job wait that neither ended nor have a placement.
    void make_pending(slot job);

    void on_committed(decision_id id);
    void on_commit_failed(decision_id id);
    void on_ended(const task_ended& report);
    void on_cancel(const base::job_id& id);
    void on_lease_expired(const base::task_id& id);
    /// A worker reported the task as running.
    void on_running(slot task);
    /// Starts moving the services of a worker that drains.
    void move_from(slot worker);
    /// Ends leases, restart backoffs and paced replacements that are due.
    void on_tick(base::duration elapsed);
    void start(slot task);
    /// Ends the job if nothing of it waits or has a placement any more.
    void settle(slot job);

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
    void correct(slot job);
    void react(slot job, std::uint32_t index, slot worker, end_kind how, bool moved);
    void requeue(slot job, std::uint32_t index, slot worker, end_kind how);
    void make_waiting(slot job, std::uint32_t index);
    void delay(slot job, std::uint32_t index, base::duration time, reason why);
    void on_gang_task_lost(slot job);
    void mark_unknown(slot job, std::uint32_t index);
    void give_up(slot job);
    void finish(slot job, job_state state, reason why);
    [[nodiscard]] bool has_placement(slot job, std::uint32_t index) const;
    [[nodiscard]] bool is_due(const task_record& task) const;
    void release_delayed();
    void release_paced(base::duration elapsed);
    void check_leases(base::duration elapsed);
    [[nodiscard]] explanation describe(slot job) const;

    cell& m_state;
    dispatcher& m_queues;
    preemptor& m_preempt;
    corrector& m_correct;
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
