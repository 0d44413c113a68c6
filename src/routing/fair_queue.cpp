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
        // A team that was idle does not save up a claim to slots.
        item.used = std::max(item.used, least_used());
    }
    item.is_backlogged = true;
    item.queues.at(static_cast<std::size_t>(priority)).push_back(attempt);
}

double fair_queue::least_used() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto& [name, team] : m_teams) {
        if (team.running > 0 || team.is_backlogged) {
            least = std::min(least, team.used);
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
        // running/weight compared without division.
        const std::uint64_t mine = std::uint64_t{team.running} * best->share;
        const std::uint64_t other = std::uint64_t{best->running} * team.share;
        if (mine < other || (mine == other && team.used < best->used)) {
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
    item.used += static_cast<double>(service.count()) / item.share;
}

} // namespace lovagebeam::routing
