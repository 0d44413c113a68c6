#pragma once

#include "lovagebeam/jobs/ledger.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace lovagebeam::controlplane {

/// Delays the answers to queries for the state of jobs that are about to end. Callers often query a
/// job just after its last task has ended, before that end has passed through the worker's list and
/// the replicated log. An immediate answer would be `running`, and the caller would query again
/// only some time later, so such a request waits briefly for the job's end. Does no I/O and reads
/// no clock. Not thread-safe.
class state_watch {
public:
    /// Why a wait is over.
    enum class reason {
        ended,       ///< the job has ended
        timed_out,   ///< the request has waited for `max_wait`
        not_leading, ///< this process may no longer know the jobs' states
    };
    using wake = std::function<void(reason)>;

    /// Longer than the 20 to 80 ms that the end of a task takes from the worker to the ledger on a
    /// busy system. A query in the middle of a task is delayed by no more than this.
    static constexpr std::chrono::milliseconds max_wait{100};
    /// Maximum number of waiting requests; further ones are answered immediately.
    static constexpr std::size_t max_waiting = 4'096;

    /// Whether every task that the job still needs is running, so that it may end at any moment.
    [[nodiscard]] static bool is_ending(const jobs::job_record& job);

    /// Calls `done` when the job ends, at the latest after `max_wait`. Returns false, without
    /// calling it, when too many requests are waiting.
    bool wait(base::time_point now, jobs::job_number job, wake done);

    /// Wakes the requests that wait for `job`, which has ended.
    void on_ended(jobs::job_number job);

    /// Wakes the requests that have waited for `max_wait`.
    void tick(base::time_point now);

    /// Wakes all requests as `not_leading`.
    void stop_leading();

private:
    struct waiting_request {
        base::time_point until;
        wake done;
    };

    std::map<jobs::job_number, std::vector<waiting_request>> m_waiting;
    std::size_t m_count = 0;
};

} // namespace lovagebeam::controlplane
