#pragma once

#include "cell.h"

#include <deque>

namespace lovagebeam::placement::internal {

/// Distinguishes faulty workers from faulty jobs, and rack and domain outages from losses of single
/// workers.
class health {
public:
    explicit health(cell& state) : m_state{state} {}

    /// Records that a task of the job failed on the worker. Returns whether to give the job up,
    /// because it fails on every worker.
    bool on_failure(slot job, slot worker);
    void on_success(slot job, slot worker);
    /// Records that the worker refused a task. Counts against the worker only, not against the job.
    void on_refusal(slot job, slot worker);
    void on_lost(slot worker);
    /// Puts workers whose quarantine has expired on probation.
    void on_tick();

    /// Returns whether the worker belongs to a rack or failure domain with a recent outage.
    [[nodiscard]] bool in_outage(slot worker) const;

private:
    struct losses {
        std::deque<base::time_point> when;
        base::time_point outage_until{};
    };

    void count_failure(const base::job_id& job, slot worker);
    void quarantine(slot worker);
    [[nodiscard]] bool quarantine_allowed(slot domain) const;
    void count_loss(losses& group, std::size_t members, std::size_t min_losses);

    cell& m_state;
    std::vector<slot> m_quarantined;
    flat_map<std::pair<slot, std::string>, std::vector<slot>> m_command_failed_on;
    std::vector<losses> m_racks;
    std::vector<losses> m_domains;
};

} // namespace lovagebeam::placement::internal
