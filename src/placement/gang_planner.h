#pragma once

#include "dispatcher.h"
#include "preemptor.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// Places gangs: all tasks in one decision or none. The longest waiting gang that doesn't fit
/// collects capacity on chosen workers, which others may use only for work that ends before the
/// capacity is needed. A single task that waits too long for a hole of its size is helped in the
/// same way.
class gang_planner {
public:
    gang_planner(cell& state, dispatcher& queues, preemptor& preempt)
        : m_state{state}, m_queues{queues}, m_preempt{preempt}
    {
    }

    /// Adds a gang with waiting tasks and places it if it fits now.
    void add(slot job);
    void remove(slot job);
    void on_tick();

private:
    bool try_place(slot job);
    [[nodiscard]] bool possible(slot job);
    [[nodiscard]] std::vector<slot> workers_for(slot job, std::size_t tasks) const;
    void hold_limit(slot job);
    void release_limit(slot job);
    void try_gangs();
    void reserve_for_starved();
    void reserve(slot job, std::size_t tasks);
    void cancel_reservation();
    void check_reservation();
    void reclaim(bool from_all);
    [[nodiscard]] base::time_point free_at(slot worker) const;
    [[nodiscard]] resources movable(slot worker) const;

    cell& m_state;
    dispatcher& m_queues;
    preemptor& m_preempt;
    std::vector<slot> m_gangs; ///< by arrival
    base::time_point m_last{};
};

} // namespace lovagebeam::placement::internal
