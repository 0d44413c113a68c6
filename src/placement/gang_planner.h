#pragma once

#include "dispatcher.h"
#include "preemptor.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// Places gangs: all tasks in one decision or none. The longest waiting gang that doesn't fit gets
/// a reservation on selected workers, where other jobs are backfilled only if they end before the
/// capacity is needed. A single task that has waited too long for a worker with enough free
/// capacity gets a reservation in the same way.
class gang_planner {
public:
    gang_planner(cell& state, dispatcher& queues, preemptor& preempt)
        : m_state{state}, m_dispatcher{queues}, m_preemptor{preempt}
    {
    }

    /// Adds a gang with waiting tasks and places it if it fits now.
    void add(slot job);
    void remove(slot job);
    void on_tick();

private:
    bool try_place(slot job);
    [[nodiscard]] bool feasible(slot job);
    [[nodiscard]] std::vector<slot> workers_for(slot job, std::size_t tasks) const;
    void hold_limit(slot job);
    void release_limit(slot job);
    void try_gangs();
    /// Places the gang if it fits, or holds capacity for it. Returns false if it can't be placed
    /// even on the idle fleet.
    bool try_gang(slot job);
    void reserve_for_starved();
    void reserve(slot job, std::size_t tasks);
    void cancel_reservation();
    void check_reservation();
    void reclaim(bool from_all);
    [[nodiscard]] base::time_point expected_free_at(slot worker) const;
    [[nodiscard]] resources reclaimable(slot worker) const;

    cell& m_state;
    dispatcher& m_dispatcher;
    preemptor& m_preemptor;
    std::vector<slot> m_gangs;       ///< waiting gangs in order of arrival
    slot m_first_left_out = no_slot; ///< by the last pass, so that each gang is tried in turn
    base::time_point m_last_run{};
};

} // namespace lovagebeam::placement::internal
