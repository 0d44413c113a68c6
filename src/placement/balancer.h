#pragma once

#include "preemptor.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// Weighted max-min fair division of `total` among teams: every team gets the same dominant share
/// relative to its weight, except that no team gets more than it demands. `demands` and the result
/// are dominant shares.
[[nodiscard]] std::vector<double> fair_shares(const std::vector<double>& demands,
                                              const std::vector<double>& weights, double total);

/// Reclaims capacity by checkpointing tasks of teams that are above their fair share while others
/// wait below theirs, and of teams whose upper limit was lowered.
class balancer {
public:
    balancer(cell& state, preemptor& preempt) : m_state{state}, m_preemptor{preempt} {}

    void on_tick();
    void enforce_limit(slot team);

private:
    /// A task that is being checkpointed to make room for a task of another team.
    struct pending_reclaim {
        slot task = no_slot;
        base::task_id id;
        slot from = no_slot;
        slot to = no_slot;
        resources size;
    };

    void remove_ended();
    [[nodiscard]] std::vector<double> shares_after_reclaim() const;
    [[nodiscard]] std::vector<double> current_fair_shares() const;
    [[nodiscard]] const size_queue* blocked_queue(slot team) const;
    bool reclaim_on(slot worker, slot team, const resources& size, std::vector<double>& shares,
                    const std::vector<double>& goals);

    cell& m_state;
    preemptor& m_preemptor;
    std::vector<pending_reclaim> m_pending_reclaims;
    base::time_point m_last_run{};
    slot m_next_worker = 0;
};

} // namespace lovagebeam::placement::internal
