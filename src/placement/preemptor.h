#pragma once

#include "dispatcher.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// Frees capacity by checkpointing, throttling or stopping tasks, in this order of preference, so
/// that the least work is lost.
class preemptor : public capacity_source {
public:
    explicit preemptor(cell& state) : m_state{state} {}

    /// Frees capacity for the next task of an urgent job on one worker.
    void free_capacity_for(slot job) override;

    /// Sends a checkpoint command, which makes the worker save and end the task. Does nothing if
    /// the task is not running or can't or may not be checkpointed. Returns whether the command was
    /// sent.
    bool checkpoint(slot task, reason why);
    /// Sends a stop command, unless the task is not committed yet or already being stopped.
    void stop(slot task, reason why);
    /// Sends a command about a task with its booked size.
    void send(slot task, command_kind kind, reason why);

    /// Repeats the pending command of a task that the worker still reports as running, since the
    /// command may have been lost.
    void resend_command(slot task);

    /// Stops the repeatable tasks whose checkpoint or throttle is overdue.
    void escalate();

    /// Restores the full size of throttled tasks on the worker while there is capacity and no
    /// urgent work waits.
    void restore_full_size(slot worker);

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
    void schedule_escalation(slot task, base::duration timeout);

    cell& m_state;
    std::vector<std::pair<slot, base::task_id>> m_escalations;
    slot m_next_worker = 0;
};

} // namespace lovagebeam::placement::internal
