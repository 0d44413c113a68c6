#pragma once

#include "preemptor.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// Returns each team's part of what is booked when the fleet is full: the same weighted dominant
/// share for all, except that no team gets more than it demands. `demands` and the result are
/// dominant shares, `total` is their sum to be divided.
[[nodiscard]] std::vector<double> fair_shares(const std::vector<double>& demands,
                                              const std::vector<double>& weights, double total);

/// Takes capacity back from teams that run more than their fair share while others wait below
/// theirs, and from teams whose upper limit was lowered, both by checkpoint.
class balancer {
public:
    balancer(cell& state, preemptor& preempt) : m_state{state}, m_preempt{preempt} {}

    void on_tick();
    void enforce_limit(slot team);

private:
    struct taken {
        slot task = no_slot;
        base::task_id id;
        slot from = no_slot;
        slot to = no_slot;
        resources size;
    };

    void forget_ended();
    [[nodiscard]] std::vector<double> shares_after_reclaim() const;
    [[nodiscard]] std::vector<double> fair() const;
    [[nodiscard]] const size_queue* blocked_queue(slot team) const;
    bool take_on(slot worker, slot team, const resources& size, std::vector<double>& shares,
                 const std::vector<double>& goals);

    cell& m_state;
    preemptor& m_preempt;
    std::vector<taken> m_taken;
    base::time_point m_last{};
    slot m_next_worker = 0;
};

} // namespace lovagebeam::placement::internal
