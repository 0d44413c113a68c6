#pragma once

#include "lovagebeam/base/bounded_ring.h"
#include "lovagebeam/base/types.h"

#include <atomic>
#include <chrono>
#include <functional>

namespace lovagebeam::daemon {

/// The event loop of the decisions thread, which owns all decision objects. Other threads post
/// tasks to it through a bounded queue.
class decision_loop {
public:
    using task = std::function<void(base::time_point)>;

    /// Callbacks of the loop itself.
    struct handlers {
        /// Called about every 10 ms.
        task tick;
        /// Called after each batch of tasks, so that their output can be sent together.
        task after_batch;
    };

    /// Returns the time that is passed to tasks.
    using clock = base::time_point (*)();

    explicit decision_loop(clock now = &std::chrono::steady_clock::now);

    /// Posts new work. Returns false and leaves the task unchanged when the queue is half full: the
    /// other half is reserved for completions of work that was already accepted. Thread-safe.
    bool try_post(task&& work);

    /// Posts the completion of accepted work. Blocks while the queue is full, which is brief
    /// because the loop never waits for other threads. Thread-safe.
    void post_completion(task work);

    /// Runs the loop until `stop` is called.
    void run(const handlers& callbacks);

    /// Makes `run` return after the current batch. Thread-safe.
    void stop();

private:
    /// Runs a batch of tasks, waiting for the first one until `next_tick` on the steady clock.
    void run_batch(base::time_point next_tick);

    clock m_now;
    base::bounded_ring<task> m_queue;
    std::atomic<bool> m_stopping = false;
};

} // namespace lovagebeam::daemon
