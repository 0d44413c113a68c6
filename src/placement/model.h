#pragma once

#include "lovagebeam/placement/decisions.h"
#include "lovagebeam/placement/scheduler.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace lovagebeam::placement::internal {

/// Position of a record in its pool; records refer to each other by slot.
using slot = std::uint32_t;
inline constexpr slot no_slot = std::numeric_limits<slot>::max();
inline constexpr base::time_point never = base::time_point::max();

/// A pool of records with stable positions. Freed positions are reused.
template <class T>
class record_pool {
public:
    slot add(T record)
    {
        ++m_live;
        if (m_free.empty()) {
            m_records.push_back(std::move(record));
            return static_cast<slot>(m_records.size() - 1);
        }
        const slot at = m_free.back();
        m_free.pop_back();
        m_records[at] = std::move(record);
        return at;
    }
    void remove(slot at)
    {
        --m_live;
        m_records[at] = T{};
        m_free.push_back(at);
    }
    T& operator[](slot at) { return m_records[at]; }
    const T& operator[](slot at) const { return m_records[at]; }
    /// Number of positions, including free ones.
    [[nodiscard]] slot size() const { return static_cast<slot>(m_records.size()); }
    [[nodiscard]] std::uint32_t live() const { return m_live; }

private:
    std::vector<T> m_records;
    std::vector<slot> m_free;
    std::uint32_t m_live = 0;
};

enum class task_phase : std::uint8_t {
    proposed,      ///< the decision is not committed yet
    started,       ///< the start command was sent
    running,       ///< the worker reported it as running
    checkpointing, ///< the checkpoint command was sent
    throttling,    ///< the throttle command was sent, not confirmed yet
    stopping,      ///< the stop command was sent
};

/// One placement of one task, from the decision until its capacity is free again.
struct task_record {
    base::task_id id;
    slot job = no_slot; ///< no_slot for a task that no known job owns
    slot team = no_slot;
    slot worker = no_slot;
    std::uint32_t index = 0;
    std::uint32_t worker_position = 0; ///< position in the worker's list
    task_phase phase = task_phase::proposed;
    bool unsized = false;   ///< unknown task whose worker did not report a size
    bool recovered = false; ///< known from the replicated state, not yet reported
    bool throttled = false;
    /// A task is throttled at most once, because a late confirmation of the first throttle could be
    /// mistaken for the confirmation of a second one.
    bool was_throttled = false;
    bool moving = false;   ///< stopped once its replacement runs
    bool expiring = false; ///< waits in the lease queue after `lease_expired`
    resources size;        ///< booked now
    resources full_size;   ///< booked when not throttled
    base::time_point started{};
    base::time_point lease_end = never;   ///< on the local clock, without the drift bound
    base::time_point escalate_at = never; ///< when an overdue preemption is escalated to a stop
    base::time_point last_command_at{};   ///< when its worker was last sent a command
    reason preempted_for = reason::placed_best_fit;
    decision_id decision;
};

struct history_entry {
    base::time_point when{};
    reason why = reason::waiting_for_capacity;
    slot worker = no_slot;
};

/// Ring buffer of the latest history entries of a job.
class history_ring {
public:
    void add(history_entry entry)
    {
        m_entries[m_next % m_entries.size()] = entry;
        ++m_next;
    }
    [[nodiscard]] std::vector<history_entry> oldest_first() const
    {
        std::vector<history_entry> result;
        const std::uint32_t size = static_cast<std::uint32_t>(m_entries.size());
        for (std::uint32_t i = m_next > size ? m_next - size : 0; i < m_next; ++i) {
            result.push_back(m_entries[i % size]);
        }
        return result;
    }

private:
    std::array<history_entry, 8> m_entries;
    std::uint32_t m_next = 0;
};

struct job_record {
    job_spec spec;
    slot team = no_slot;
    resources size;              ///< corrected size of each task
    std::int64_t min_memory = 0; ///< lower bound, raised when a task runs out of memory
    base::duration run_time{};   ///< corrected run time
    base::time_point accepted{};
    base::time_point order{};           ///< sort key in its queue: latest start, or arrival
    base::time_point not_before{};      ///< end of the restart backoff
    std::vector<std::uint32_t> pending; ///< indexes of the tasks that wait for placement
    std::vector<bool> completed;
    std::vector<bool> checkpointed;
    std::vector<bool> unknown_tasks;
    std::vector<slot> failed_on;  ///< distinct workers on which a task of it failed
    std::vector<slot> placements; ///< slots of its current task records
    std::uint32_t completed_count = 0;
    std::uint32_t failures = 0;
    std::uint32_t crashes = 0; ///< consecutive failures, or early ends of a service
    job_state state = job_state::waiting;
    reason why = reason::waiting_for_capacity;
    std::uint64_t queue_sequence = 0; ///< of its entry in a queue; 0 if it has none
    slot queue = no_slot;
    bool cancelled = false;
    bool start_sent = false; ///< a start command was sent for some task of it
    bool unknown = false;    ///< some task of it has an unknown outcome
    bool infeasible = false; ///< cannot run on the present fleet or limit; has its own queue
    bool in_use = false;
    bool paced = false;      ///< replaced at a limited rate after a rack or domain outage
    bool restarting = false; ///< a gang that lost a task waits until its other tasks have ended
    base::time_point reclaim_started_at{}; ///< urgent: start of the latest preemption for it;
                                           ///< else start of its first reservation
    history_ring history;
};

struct worker_record {
    base::worker_id id;
    slot domain = no_slot;
    slot rack = no_slot;
    resources capacity;
    resources booked;
    std::vector<slot> tasks;
    std::uint32_t unsized = 0; ///< unknown tasks whose size was not reported
    bool present = false;
    bool draining = false;
    bool quarantined = false;
    bool probation = false;
    /// Until this time, freed capacity is held for `held_team`, or for urgent work if `held_team`
    /// is no_slot. Other work is not placed here, so that the freed amounts add up.
    base::time_point held_until{};
    slot held_team = no_slot;
    slot reserved_for = no_slot;           ///< job with a reservation on this worker
    std::vector<base::job_id> failed_jobs; ///< distinct, since the last success
    std::uint32_t quarantines = 0;
    base::time_point quarantine_end{};
};

/// Counts over the workers of a failure domain.
struct domain_record {
    base::failure_domain id;
    std::uint32_t present = 0;
    std::uint32_t quarantined = 0;
};

/// Returns `amount` with each kind multiplied by `factor`.
[[nodiscard]] resources scaled(const resources& amount, std::int64_t factor);

/// Returns how many times `size` fits in `free`.
[[nodiscard]] std::int64_t times_fitting(const resources& size, const resources& free);

[[nodiscard]] std::string text_of(const resources& amount);

} // namespace lovagebeam::placement::internal
