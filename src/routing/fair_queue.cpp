#include "fair_queue.h"

#include <algorithm>
#include <limits>

namespace lovagebeam::routing {

void fair_queue::push(const std::string& attempt, const std::string& team, work_class priority,
                      std::uint32_t share)
{
    team_queue& item = m_teams[team];
    item.share = std::max(share, 1U);
    if (!item.is_backlogged && item.running == 0) {
        // An idle team must not accumulate credit for slots.
        item.weighted_slot_time = std::max(item.weighted_slot_time, least_weighted_slot_time());
    }
    item.is_backlogged = true;
    item.queues.at(static_cast<std::size_t>(priority)).push_back(attempt);
}

double fair_queue::least_weighted_slot_time() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto& [name, team] : m_teams) {
        if (team.running > 0 || team.is_backlogged) {
            least = std::min(least, team.weighted_slot_time);
        }
    }
    return least == std::numeric_limits<double>::max() ? 0 : least;
}

fair_queue::team_queue* fair_queue::next_team(std::size_t priority)
{
    team_queue* best = nullptr;
    for (auto& [name, team] : m_teams) {
        if (team.queues.at(priority).empty()) {
            continue;
        }
        if (best == nullptr) {
            best = &team;
            continue;
        }
        // A team comes first if its running/weight stays at or below the other's even with one
        // more slot. Otherwise both are within one slot of their share, and the slot time used so
        // far decides: with running/weight alone, 15 slots at 3:1 are always split 11:4.
        const auto is_first = [](const team_queue& one, const team_queue& other) {
            return (std::uint64_t{one.running} + 1) * other.share <=
                   std::uint64_t{other.running} * one.share;
        };
        if (is_first(team, *best) ||
            (!is_first(*best, team) && team.weighted_slot_time < best->weighted_slot_time)) {
            best = &team;
        }
    }
    return best;
}

void fair_queue::on_started(const std::string& team)
{
    team_queue& item = m_teams[team];
    ++item.running;
    item.is_backlogged =
        std::ranges::any_of(item.queues, [](const auto& queue) { return !queue.empty(); });
}

void fair_queue::on_ended(const std::string& team, base::duration service)
{
    team_queue& item = m_teams[team];
    --item.running;
    item.weighted_slot_time += static_cast<double>(service.count()) / item.share;
}

} // namespace lovagebeam::routing
