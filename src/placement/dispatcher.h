#pragma once

#include "policy.h"

#include <array>
#include <memory>
#include <vector>

namespace lovagebeam::placement::internal {

/// Called to free capacity when an urgent job fits on no worker.
class capacity_source {
public:
    capacity_source() = default;
    capacity_source(const capacity_source&) = delete;
    capacity_source& operator=(const capacity_source&) = delete;
    virtual ~capacity_source() = default;
    virtual void free_capacity_for(slot job) = 0;
};

/// Manages the queues of waiting jobs and places their tasks on free capacity.
class dispatcher {
public:
    explicit dispatcher(cell& state);

    void set_capacity_source(capacity_source* source) { m_source = source; }
    /// Sets the number that makes task ids of different leaders distinct.
    void set_generation(std::uint64_t generation) { m_generation = generation; }

    /// Adds a task to the waiting tasks of the job.
    void add_pending(slot job, std::uint32_t index);
    /// Puts a job with waiting tasks into its queue. Gangs are queued by the gang planner instead.
    void enqueue(slot job);
    /// Removes the job from its queue; its waiting tasks are retained.
    void dequeue(slot job);
    /// Sets the size for the job's waiting and future tasks. Dequeues the job.
    void set_size(slot job, const resources& size);
    /// Dequeues the job and drops its waiting tasks.
    void drop_pending(slot job);

    /// Places the next tasks of the job, one for each entry of `workers`, as one decision.
    void place(slot job, const std::vector<slot>& workers, reason why);

    /// Dispatches the job's queue, unless the queue is known to be blocked.
    void dispatch_new(slot job);
    void dispatch_queue(slot queue);
    /// Assigns the capacity that became free since the last call.
    void dispatch_freed();
    /// Dispatches all queues of the next `teams` teams in turn, even those marked as blocked.
    void retry_blocked_queues(std::size_t teams);
    /// Returns the first job of the queue, or no_slot.
    slot front_job(slot queue);

    [[nodiscard]] const policy& policy_of(job_kind kind) const
    {
        return *m_policies[static_cast<std::size_t>(kind)];
    }

    /// Removes a proposed decision and returns its tasks.
    [[nodiscard]] std::vector<slot> take_proposal(decision_id id);

private:
    struct candidate {
        slot queue = no_slot;
        bool urgent = false;
        double share = 0;
        int rank = 0;
        base::time_point order{};
    };

    slot find_or_add_queue(slot job);
    void remove_from_team(slot queue);
    void remove_empty_queues(slot team);
    void fill(slot worker);
    bool fill_once(slot worker, std::vector<slot>& skipped);
    [[nodiscard]] candidate best_candidate(slot worker, const std::vector<slot>& skipped) const;
    static bool precedes(const candidate& left, const candidate& right);
    bool blocked_by_limit(slot queue, slot job);
    void mark_no_worker(slot queue, slot job);
    bool mark_infeasible(slot job, reason why);
    bool retry_failed_workers(slot job);
    void count_waiting(slot job, std::int64_t tasks);

    cell& m_state;
    std::array<std::unique_ptr<policy>, 4> m_policies;
    capacity_source* m_source = nullptr;
    flat_map<std::uint64_t, std::vector<slot>> m_proposals;
    std::uint64_t m_next_decision = 1;
    std::uint64_t m_next_task = 1;
    std::uint64_t m_next_sequence = 1;
    std::uint64_t m_generation = 0;
    std::size_t m_last_retried_team = 0;
};

} // namespace lovagebeam::placement::internal
