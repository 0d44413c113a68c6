#pragma once

#include "lovagebeam/jobs/ledger.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace lovagebeam::controlplane {

/// Requests for the state of jobs that are about to end. Callers often ask just after a job's last
/// task has ended, while that end is still on its way through the worker's list and the replicated
/// log. Answered at once they would learn `running` and ask again only some time later, so such a
/// request waits briefly for the job's end. No I/O and no clock. Not thread-safe.
class state_watch {
public:
    /// Why a request waits no longer.
    enum class reason {
        ended,       ///< the job has ended
        waited,      ///< the longest wait is over
        not_leading, ///< this process may no longer know the jobs' states
    };
    using wake = std::function<void(reason)>;

    /// Longest wait. The way of an end from the worker to the ledger takes 20 to 80 ms on a busy
    /// system; a caller that asks in the middle of a task loses no more than this.
    static constexpr std::chrono::milliseconds longest_wait{100};
    /// Requests that wait at once; further ones are answered immediately.
    static constexpr std::size_t most_waiting = 4'096;

    /// Whether every task that the job still needs is running, so that it may end at any moment.
    [[nodiscard]] static bool is_ending(const jobs::job_record& job);

    /// Calls `done` when the job ends, at the latest after `longest_wait`. Returns false, without
    /// calling it, when too many requests wait already.
    bool wait(base::time_point now, jobs::job_number job, wake done);

    /// The job has ended.
    void on_ended(jobs::job_number job);

    /// Wakes the requests whose time is over.
    void tick(base::time_point now);

    /// Wakes all requests as `not_leading`.
    void stop_leading();

private:
    struct waiting {
        base::time_point until;
        wake done;
    };

    std::map<jobs::job_number, std::vector<waiting>> m_waiting;
    std::size_t m_count = 0;
};

} // namespace lovagebeam::controlplane
