#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/callers/http_server.h"

#include <cstddef>
#include <cstdint>

namespace lovagebeam::controlplane {

/// Collects where the time of a leader goes and writes it as one log line a second
/// (`leader_load`). Not thread-safe; used on the decisions thread only.
class load_report {
public:
    /// A call of an entry process that was `waited` in the queue; `attempt` is 1 for the first time
    /// that the entry process sent it.
    void on_call(std::uint32_t attempt, base::duration waited);
    /// A call whose sender had given up before it was handled.
    void on_expired_call() { ++m_interval.expired_calls; }
    void on_sync() { ++m_interval.syncs; }
    void on_commit(base::duration took);
    /// The decisions of one batch of events, including the planning, took this long.
    void on_decisions(base::duration took) { m_interval.decisions += took; }
    /// Call once for each batch of events.
    void on_batch(base::time_point now);

    /// State that is read when a line is written.
    struct levels {
        std::size_t waiting_steps = 0;
        std::size_t relayed_orders = 0; ///< without an outcome yet
        std::size_t suspended_relays = 0;
        callers::http_server_counters server;
    };
    [[nodiscard]] bool is_due(base::time_point now) const;
    /// Writes the line of the interval that ends now, if this process leads, and starts the next.
    void write(base::time_point now, bool is_leading, const levels& current);

private:
    struct interval {
        std::uint64_t calls = 0;
        std::uint64_t resent_calls = 0;
        std::uint64_t expired_calls = 0;
        std::uint64_t syncs = 0;
        std::uint64_t batches = 0;
        base::duration longest_wait{0};
        base::duration longest_commit{0};
        base::duration longest_batch{0};
        base::duration decisions{0};
    };

    interval m_interval;
    base::time_point m_started;
    base::time_point m_last_batch;
    std::uint64_t m_connections = 0; ///< accepted until the start of the interval
    base::duration m_processor{0};   ///< used until the start of the interval
};

} // namespace lovagebeam::controlplane
