#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <optional>

namespace lovagebeam::scheduling {

struct overload_settings {
    /// The leader's loop is overloaded while the mean duration of its iterations is longer than
    /// this. An idle loop runs every 10 ms.
    std::chrono::milliseconds slow_iteration{12};
    /// Weight of one iteration in the mean.
    double weight = 0.1;
    /// Longer iterations count as this long: a host that was suspended isn't overloaded.
    std::chrono::milliseconds longest_iteration{50};
    /// Work that isn't urgent is planned this often while the loop is overloaded, so that it isn't
    /// left out for as long as an overload lasts.
    std::chrono::milliseconds batch_interval{250};
};

/// Decides whether a planning pass may place work that isn't urgent. Each start costs the leader
/// several calls and commits. Without the gate, a burst of lookups on a leader that is short of
/// processor time waits behind the starts of batch work, which can bear the delay. What it has
/// learned is lost with the leader; the next one learns it within some iterations. No I/O and no
/// clock. Not thread-safe.
class overload_gate {
public:
    explicit overload_gate(overload_settings settings) : m_settings{settings} {}

    /// To be called once in each iteration of the loop.
    void on_iteration(base::time_point now);
    /// Whether the mean duration of iterations is too long.
    [[nodiscard]] bool is_overloaded() const;
    /// Whether a pass that begins now may place all work. Call it once for each pass.
    bool admits_batch(base::time_point now);

private:
    overload_settings m_settings;
    std::optional<base::time_point> m_last;
    double m_mean_ms = 0;
    std::optional<base::time_point> m_last_batch;
};

} // namespace lovagebeam::scheduling
