#pragma once

#include "policy.h"

#include <array>
#include <memory>
#include <vector>

namespace lovagebeam::placement::internal {

/// Is asked for capacity when an urgent job fits nowhere.
class capacity_source {
public:
    capacity_source() = default;
    capacity_source(const capacity_source&) = delete;
    capacity_source& operator=(const capacity_source&) = delete;
    virtual ~capacity_source() = default;
    virtual void make_room(slot job) = 0;
};

/// Keeps the queues and turns free capacity into placements.
class dispatcher {
public:
    explicit dispatcher(cell& state);

    void set_capacity_source(capacity_source* source) { m_source = source; }
    /// Sets the number that keeps task ids of different leaders apart.
    void set_generation(std::uint64_t generation) { m_generation = generation; }

    /// Adds a task of the job to those that wait.
    void add_pending(slot job, std::uint32_t index);
    /// Puts a job with waiting tasks into its queue. Gangs are kept by the gang planner.
    void enqueue(slot job);
    /// Takes the job out of its queue; it keeps its waiting tasks.
    void withdraw(slot job);
    /// Changes the size of the job's waiting and later tasks.
    void set_size(slot job, const resources& size);
    /// Drops the waiting tasks of the job.
    void drop_pending(slot job);

    /// Places the next tasks of the job, one on each entry of `workers`, as one decision.
    void place(slot job, const std::vector<slot>& workers, reason why);

    /// Places what it can from the job's queue, unless the queue is known to be blocked.
    void dispatch_new(slot job);
    void dispatch_queue(slot queue);
    /// Uses the capacity that became free since the last call.
    void dispatch_freed();
    /// Tries the queues of some teams again, whatever they are blocked by; `teams` at a time.
    void sweep(std::size_t teams);
    /// Returns the first job of the queue, or no_slot.
    slot front_job(slot queue);

    [[nodiscard]] const policy& policy_of(job_kind kind) const
    {
        return *m_policies[static_cast<std::size_t>(kind)];
    }

    /// Tasks of a proposed decision; removes it.
    [[nodiscard]] std::vector<slot> take_proposal(decision_id id);

private:
    struct candidate {
        slot queue = no_slot;
        bool urgent = false;
        double share = 0;
        int rank = 0;
        base::time_point order{};
    };

    slot queue_for(slot job);
    void drop_from_team(slot queue);
    void forget_empty_queues(slot team);
    void fill(slot worker);
    bool fill_once(slot worker, std::vector<slot>& skipped);
    [[nodiscard]] candidate best_for(slot worker, const std::vector<slot>& skipped) const;
    static bool precedes(const candidate& left, const candidate& right);
    bool blocked_by_limit(slot queue, slot job);
    void mark_no_worker(slot queue, slot job);
    bool park(slot job, reason why);
    bool try_failed_workers_again(slot job);
    void count_waiting(slot job, std::int64_t tasks);

    cell& m_state;
    std::array<std::unique_ptr<policy>, 4> m_policies;
    capacity_source* m_source = nullptr;
    flat_map<std::uint64_t, std::vector<slot>> m_proposals;
    std::uint64_t m_next_decision = 1;
    std::uint64_t m_next_task = 1;
    std::uint64_t m_next_sequence = 1;
    std::uint64_t m_generation = 0;
    std::size_t m_swept = 0;
};

} // namespace lovagebeam::placement::internal
