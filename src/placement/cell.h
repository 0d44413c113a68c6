#pragma once

#include "fleet_index.h"
#include "model.h"
#include "queues.h"

#include <absl/hash/hash.h>
#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <string_view>
#include <vector>

namespace lovagebeam::placement::internal {

template <class Key, class Value>
using flat_map = boost::unordered_flat_map<Key, Value, absl::Hash<Key>>;

struct team_record {
    base::team_id id;
    team_settings settings;
    resources booked;
    std::uint32_t waiting = 0; ///< waiting tasks
    resources waiting_size;
    /// Part of the upper limit held free for the gang `limit_held_for`, which waits for it.
    resources held_limit;
    slot limit_held_for = no_slot;
    std::vector<slot> queues;  ///< queues that hold jobs
    bool limit_blocks = false; ///< some queue is blocked by the upper limit
    flat_map<std::uint64_t, slot> queue_by_key;
};

/// Workers reserved for a job that needs more free capacity than is available at once. There is at
/// most one reservation at a time, so that two gangs can't deadlock by each holding what the other
/// needs.
struct reservation {
    slot job = no_slot;
    std::vector<slot> workers;
    base::time_point created_at{};
    base::time_point expected{};   ///< when the capacity is expected to be free
    std::size_t waiting_tasks = 0; ///< waiting tasks of the job at creation
    bool reclaiming = false;       ///< other tasks are being preempted for it
};

/// The state of the scheduler and its capacity accounting. `book` and `release` are the only
/// functions that change booked amounts.
class cell {
public:
    explicit cell(const scheduler_settings& chosen) : settings{chosen} {}

    [[nodiscard]] slot find_or_add_team(const base::team_id& id);
    [[nodiscard]] slot find_or_add_worker(const base::worker_id& id);
    [[nodiscard]] slot find_or_add_domain(const base::failure_domain& id);
    [[nodiscard]] slot find_or_add_rack(const rack_id& id);
    [[nodiscard]] slot find_job(const base::job_id& id) const;
    [[nodiscard]] slot find_task(const base::task_id& id) const;
    [[nodiscard]] slot find_worker(const base::worker_id& id) const;

    /// Adds a placement and books its size. Aborts if it exceeds the worker's capacity or the
    /// team's upper limit.
    slot add_task(task_record task);
    /// Adds a task that a worker already runs. Its size is booked even beyond the capacity, since
    /// the task is running anyway; nothing more is placed there until the worker is below its
    /// capacity again.
    slot adopt_task(task_record task);
    /// Removes a placement and releases its capacity.
    void remove_task(slot task);
    /// Changes the booked size of a placement. Growth beyond a bound aborts as in `add_task`.
    void resize_task(slot task, const resources& size);

    /// Updates the index after a worker's capacity, bookings or health state changed.
    void refresh(slot worker);
    void set_capacity(slot worker, const resources& capacity, bool present);
    [[nodiscard]] bool usable(const worker_record& worker) const;
    [[nodiscard]] resources headroom(const worker_record& worker) const;

    [[nodiscard]] bool fits_some_known_worker(const resources& size) const;
    /// Number of present workers whose total capacity fits the size.
    [[nodiscard]] std::size_t present_workers_that_fit(const resources& size) const;
    [[nodiscard]] bool fits_some_present_worker(const resources& size) const;
    /// Number of tasks of the size that fit on the empty fleet, at most `enough`.
    [[nodiscard]] std::int64_t fleet_task_capacity(const resources& size, bool present_only,
                                                   std::int64_t enough) const;

    /// Returns whether the amount is within the team's upper limit when the team runs nothing.
    [[nodiscard]] bool within_limit_when_idle(slot team, const resources& amount) const;
    [[nodiscard]] bool within_limit(slot team, const resources& more) const;
    /// As `within_limit`, but counts the part of the limit that is held for another job as used.
    [[nodiscard]] bool within_limit_for_job(slot job, const resources& more) const;
    /// Returns the largest fraction of the fleet's capacity of any one kind that `booked` takes up.
    [[nodiscard]] double dominant_share(const resources& booked) const;
    [[nodiscard]] double weighted_share(slot team) const;

    /// Holds capacity on the worker for the team, or for urgent work if `team` is no_slot.
    void hold(slot worker, slot team, base::time_point until);
    /// Ends the holds that have expired.
    void release_holds();

    /// Sets the current reason of the job and adds it to the job's history. Repeats without a
    /// worker are not added.
    void record_reason(slot job, reason why, slot worker = no_slot);

    scheduler_settings settings;
    base::time_point now{};
    decisions output;
    record_pool<job_record> jobs;
    record_pool<task_record> tasks;
    record_pool<size_queue> queues;
    std::vector<worker_record> workers;
    std::vector<team_record> teams;
    std::vector<domain_record> domains;
    std::vector<rack_id> racks;
    /// A distinct worker capacity, with the number of known and of present workers that have it.
    struct shape {
        resources capacity;
        std::uint32_t known = 0;
        std::uint32_t present = 0;
    };
    std::vector<shape> shapes;
    flat_map<std::string, slot> job_by_id;
    flat_map<std::string, slot> task_by_id;
    flat_map<std::string, slot> worker_by_id;
    flat_map<std::string, slot> team_by_id;
    fleet_index index;
    reservation reserved;
    resources capacity; ///< total of the present workers
    resources booked;
    std::uint32_t waiting = 0;        ///< waiting tasks
    std::uint32_t waiting_urgent = 0; ///< waiting tasks of urgent jobs
    /// Workers on which capacity became free since the last dispatch.
    std::vector<slot> freed_workers;
    /// Workers with `held_until` set.
    std::vector<slot> held_workers;
    /// Teams that released part of their upper limit while one of their queues was blocked by it.
    std::vector<slot> limit_freed_teams;

private:
    void book(const task_record& task, const resources& size);
    void release(const task_record& task, const resources& size);
    void attach(slot at);
    shape& shape_of(const resources& size);
};

} // namespace lovagebeam::placement::internal
