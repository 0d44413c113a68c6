#pragma once

#include "cell.h"

#include <deque>

namespace lovagebeam::placement::internal {

/// Tells failing workers from failing jobs, and vanished racks and domains from single losses.
class health {
public:
    explicit health(cell& state) : m_state{state} {}

    /// A task of the job failed on the worker. Returns whether the job fails everywhere.
    bool on_failure(slot job, slot worker);
    void on_success(slot job, slot worker);
    /// The worker refused a task of the job. Says nothing about the job.
    void on_refusal(slot job, slot worker);
    void on_lost(slot worker);
    /// Ends quarantines that have run out.
    void on_tick();

    /// Tells whether the worker belongs to a rack or failure domain that vanished lately.
    [[nodiscard]] bool vanished(slot worker) const;

private:
    struct losses {
        std::deque<base::time_point> when;
        base::time_point vanished_until{};
    };

    void count_failure(const base::job_id& job, slot worker);
    void quarantine(slot worker);
    [[nodiscard]] bool quarantine_allowed(slot domain) const;
    void count_loss(losses& group, std::size_t members, std::size_t least);

    cell& m_state;
    std::vector<slot> m_quarantined;
    flat_map<std::pair<slot, std::string>, std::vector<slot>> m_command_failed_on;
    std::vector<losses> m_racks;
    std::vector<losses> m_domains;
};

} // namespace lovagebeam::placement::internal
