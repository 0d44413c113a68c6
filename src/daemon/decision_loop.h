#pragma once

#include "lovagebeam/base/bounded_ring.h"
#include "lovagebeam/base/types.h"

#include <atomic>
#include <chrono>
#include <functional>

namespace lovagebeam::daemon {

/// The thread that owns every decision object. Other threads hand it tasks through a bounded ring.
class decision_loop {
public:
    using task = std::function<void(base::time_point)>;

    /// What the loop does besides tasks.
    struct handlers {
        /// Called about every 10 ms.
        task tick;
        /// Called after each batch of tasks, so that what they produced can be sent together.
        task after_batch;
    };

    /// Gives the time that tasks get.
    using clock = base::time_point (*)();

    explicit decision_loop(clock now = &std::chrono::steady_clock::now);

    /// Hands over new work. Returns false, with the task unchanged, when the ring is half full:
    /// the other half is kept for completions of work that was already accepted. Thread-safe.
    bool try_post(task&& work);

    /// Hands over the completion of accepted work. Waits while the ring is full, which can't be
    /// for long, since the loop never waits for other threads. Thread-safe.
    void post_completion(task work);

    /// Runs until `stop`.
    void run(const handlers& what);

    /// Ends `run` after the present batch. Thread-safe.
    void stop();

private:
    /// Waits for tasks until `next_tick` on the steady clock.
    void run_batch(base::time_point next_tick);

    clock m_now;
    base::bounded_ring<task> m_ring;
    std::atomic<bool> m_stopping = false;
};

} // namespace lovagebeam::daemon
