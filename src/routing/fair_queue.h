#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/routing/types.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lovagebeam::routing {

/// Queue of attempts that wait for a slot of a home, ordered by class and then by the weighted fair
/// share of their teams.
class fair_queue {
public:
    void push(const std::string& attempt, const std::string& team, work_class priority,
              std::uint32_t share);

    /// Removes and returns the next attempt of the first `classes` classes for which `is_waiting`
    /// returns true. Attempts for which it returns false have ended and are dropped.
    template <class Predicate>
    std::optional<std::string> pop(std::size_t classes, const Predicate& is_waiting)
    {
        for (std::size_t priority = 0; priority < classes; ++priority) {
            while (team_queue* team = next_team(priority)) {
                auto& queue = team->queues.at(priority);
                const std::string attempt = std::move(queue.front());
                queue.pop_front();
                if (is_waiting(attempt)) {
                    return attempt;
                }
            }
        }
        return std::nullopt;
    }

    /// Records that an attempt of the team takes a slot, and that it releases it after `service`.
    void on_started(const std::string& team);
    void on_ended(const std::string& team, base::duration service);

private:
    struct team_queue {
        std::array<std::deque<std::string>, work_class_count> queues;
        std::uint32_t share = 1;
        std::uint32_t running = 0;
        /// Slot time used, divided by the weight. It breaks ties of running/weight, so that the
        /// shares are exact over time although slots cannot be split.
        double weighted_slot_time = 0;
        bool is_backlogged = false;
    };

    team_queue* next_team(std::size_t priority);
    [[nodiscard]] double least_weighted_slot_time() const;

    std::map<std::string, team_queue> m_teams;
};

} // namespace lovagebeam::routing
