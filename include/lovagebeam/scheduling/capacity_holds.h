#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

namespace lovagebeam::scheduling {

/// A worker on which a waiting gang may run.
struct gang_candidate {
    std::size_t worker = 0;     ///< index in the fleet
    std::int64_t tasks_now = 0; ///< of the gang that fit there now
};

/// Decides on which workers no work of lower priority starts, because a gang waits for room there.
/// Smaller work of lower priority would otherwise take each piece of capacity that becomes free,
/// and the gang, which needs room for all members at once, would wait for as long as that load
/// lasts. The holds last for one planning pass and are decided anew in each, so a new leader needs
/// no history. No I/O and no clock. Not thread-safe.
class capacity_holds {
public:
    /// At most `max_fraction` of the workers are held at a time.
    explicit capacity_holds(double max_fraction) : m_max_fraction{max_fraction} {}

    /// Ends all holds. `workers` is the size of the fleet.
    void begin_pass(std::size_t workers);
    /// Holds enough of `candidates` for a gang of `tasks` tasks: those with the most room first. A
    /// worker without room counts for one task, as much as the end of a task there makes room for.
    void hold(std::uint32_t priority, std::uint32_t tasks, std::vector<gang_candidate> candidates);
    /// Whether the worker is held for work that is more urgent than `priority` (0 is the most
    /// urgent).
    [[nodiscard]] bool is_held_from(std::size_t worker, std::uint32_t priority) const
    {
        return worker < m_held_for.size() && m_held_for[worker] < priority;
    }
    /// Number of workers that are held.
    [[nodiscard]] std::size_t held() const { return m_held; }

private:
    static constexpr std::uint32_t not_held = std::numeric_limits<std::uint32_t>::max();

    double m_max_fraction;
    std::vector<std::uint32_t> m_held_for; ///< by worker: the most urgent priority, or `not_held`
    std::size_t m_held = 0;
};

} // namespace lovagebeam::scheduling
