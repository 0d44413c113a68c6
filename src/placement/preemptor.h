#pragma once

#include "dispatcher.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// Frees capacity by checkpoint, throttle and stop, in this order, with the least lost work.
class preemptor : public capacity_source {
public:
    explicit preemptor(cell& state) : m_state{state} {}

    /// Frees room for the next task of an urgent job on one worker.
    void make_room(slot job) override;

    /// Asks a worker to save and end a task. Does nothing if the task can't or may not do so.
    /// Returns whether it was asked.
    bool checkpoint(slot task, reason why);
    void stop(slot task, reason why);
    /// Sends a command about a task with its booked size.
    void send(slot task, command_kind kind, reason why);

    /// Repeats a command that the worker doesn't seem to have received: it reported the task again.
    void remind(slot task);

    /// Takes overdue preemptions a step further.
    void escalate();

    /// Gives throttled tasks on the worker their size back while there is room and no urgent work
    /// waits.
    void restore(slot worker);

private:
    struct step {
        slot task = no_slot;
        command_kind kind = command_kind::checkpoint;
        double cost = 0;
        resources freed;
    };
    struct plan {
        slot worker = no_slot;
        double cost = 0;
        std::vector<step> steps;
    };

    [[nodiscard]] std::vector<step> steps_on(slot worker) const;
    [[nodiscard]] plan plan_on(slot worker, const resources& size) const;
    void throttle(slot task);
    void send_throttle(slot task);
    void watch(slot task, base::duration patience);

    cell& m_state;
    std::vector<std::pair<slot, base::task_id>> m_watched;
    slot m_next_worker = 0;
};

} // namespace lovagebeam::placement::internal
