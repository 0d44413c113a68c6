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
    std::uint32_t waiting = 0; ///< tasks
    resources waiting_size;
    /// Part of the upper limit kept free for a gang that waits for it.
    resources held;
    slot held_for = no_slot;
    std::vector<slot> queues;  ///< queues that hold jobs
    bool limit_blocks = false; ///< some queue waits for room below the upper limit
    flat_map<std::uint64_t, slot> queue_by_key;
};

/// A job that collects free capacity on chosen workers. There is at most one at a time, so that
/// two gangs can't each hold what the other needs.
struct reservation {
    slot job = no_slot;
    std::vector<slot> workers;
    base::time_point made{};
    base::time_point expected{}; ///< when the capacity should be free
    std::size_t waiting = 0;     ///< tasks of the job that waited then
    bool reclaiming = false;
};

/// The records of the cell and the book of capacity. `book` and `release` are the only functions
/// that change what is booked.
class cell {
public:
    explicit cell(const scheduler_settings& chosen) : settings{chosen} {}

    [[nodiscard]] slot team_for(const base::team_id& id);
    [[nodiscard]] slot worker_for(const base::worker_id& id);
    [[nodiscard]] slot domain_for(const base::failure_domain& id);
    [[nodiscard]] slot rack_for(const rack_id& id);
    [[nodiscard]] slot find_job(const base::job_id& id) const;
    [[nodiscard]] slot find_task(const base::task_id& id) const;
    [[nodiscard]] slot find_worker(const base::worker_id& id) const;

    /// Adds a placement and books its size. Aborts if the worker or the team's upper limit lacks
    /// room.
    slot add_task(task_record task);
    /// Adds what a worker already runs. The amounts are facts, so they are booked even above the
    /// capacity; nothing is placed there until they are below again.
    slot adopt_task(task_record task);
    /// Removes a placement; its capacity is free.
    void remove_task(slot task);
    /// Changes what a placement has booked. Growth aborts like `add_task` if there is no room.
    void resize_task(slot task, const resources& size);

    /// Brings the index up to date after a worker's capacity or standing changed.
    void refresh(slot worker);
    void set_capacity(slot worker, const resources& capacity, bool present);
    [[nodiscard]] bool usable(const worker_record& worker) const;
    [[nodiscard]] resources headroom(const worker_record& worker) const;

    [[nodiscard]] bool some_known_worker_holds(const resources& size) const;
    /// Number of present workers that hold the size when empty.
    [[nodiscard]] std::size_t present_holders(const resources& size) const;
    [[nodiscard]] bool some_present_worker_holds(const resources& size) const;
    /// Tasks of the size that the fleet holds when empty, counted up to `enough`.
    [[nodiscard]] std::int64_t tasks_held(const resources& size, bool present_only,
                                          std::int64_t enough) const;

    /// Tells whether the amount is within the team's upper limit when the team runs nothing.
    [[nodiscard]] bool within_empty_limit(slot team, const resources& amount) const;
    [[nodiscard]] bool within_limit(slot team, const resources& more) const;
    /// The same, for a job other than the one that the team holds part of its limit for.
    [[nodiscard]] bool within_limit_of(slot job, const resources& more) const;
    /// Largest part of the fleet's capacity of one kind that the team has booked.
    [[nodiscard]] double dominant_share(const resources& booked) const;
    [[nodiscard]] double weighted_share(slot team) const;

    void hold(slot worker, slot team, base::time_point until);
    /// Lets everyone use the workers whose hold has run out.
    void release_holds();

    void note(slot job, reason why, slot worker = no_slot);

    scheduler_settings settings;
    base::time_point now{};
    decisions out;
    record_pool<job_record> jobs;
    record_pool<task_record> tasks;
    record_pool<size_queue> queues;
    std::vector<worker_record> workers;
    std::vector<team_record> teams;
    std::vector<domain_record> domains;
    std::vector<rack_id> racks;
    /// Distinct capacities, with the workers known and present of each.
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
    resources capacity; ///< of the present workers
    resources booked;
    std::uint32_t waiting = 0;        ///< tasks
    std::uint32_t waiting_urgent = 0; ///< tasks
    /// Workers on which capacity became free since the last dispatch.
    std::vector<slot> freed;
    /// Workers with `held_until` set.
    std::vector<slot> held_workers;
    /// Teams that got room below their upper limit while a queue of theirs waits for it.
    std::vector<slot> relaxed;

private:
    void book(const task_record& task, const resources& size);
    void release(const task_record& task, const resources& size);
    void attach(slot at);
    shape& shape_of(const resources& size);
};

} // namespace lovagebeam::placement::internal
