#include "state_limits.h"

#include <algorithm>
#include <string_view>

namespace lovagebeam::daemon {
namespace {

constexpr std::string_view queue_prefix = "queue:";

state::settings_scope scope_of(const base::team_id& team)
{
    state::settings_scope scope;
    if (team.str().starts_with(queue_prefix)) {
        scope.queue = team.str().substr(queue_prefix.size());
    }
    else {
        scope.team = team;
    }
    return scope;
}

} // namespace

void state_limits_source::clear_stale_cache() const
{
    if (m_cached_version != m_cell.version()) {
        m_cached_version = m_cell.version();
        m_teams.clear();
        m_draining_targets.clear();
    }
}

routing::team_limits state_limits_source::team(const base::team_id& team) const
{
    clear_stale_cache();
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        return found->second;
    }
    const auto settings = m_cell.settings_for(scope_of(team));
    routing::team_limits limits;
    limits.share = static_cast<std::uint32_t>(settings.share);
    limits.upper_limit_slots = static_cast<std::uint32_t>(settings.upper_limit_slots);
    limits.queue_limit = static_cast<std::uint32_t>(settings.queue_limit);
    limits.max_deadline = settings.max_deadline;
    limits.result_retention = settings.result_retention;
    m_teams.emplace(team, limits);
    return limits;
}

bool state_limits_source::is_target_draining(const base::target_id& target) const
{
    clear_stale_cache();
    const auto found = m_draining_targets.find(target);
    if (found != m_draining_targets.end()) {
        return found->second;
    }
    state::settings_scope scope;
    scope.target = target;
    const bool is_draining = m_cell.settings_for(scope).draining;
    m_draining_targets.emplace(target, is_draining);
    return is_draining;
}

bool state_limits_source::is_host_draining(const base::node_id& host) const
{
    state::settings_scope scope;
    scope.host = host;
    return m_cell.settings_for(scope).draining;
}

std::chrono::milliseconds state_limits_source::longest_deadline() const
{
    auto longest = m_cell.settings_for({}).max_deadline;
    for (const auto& exception : m_cell.config().exceptions) {
        longest = std::max(longest, exception.set.max_deadline.value_or(longest));
    }
    return longest;
}

} // namespace lovagebeam::daemon
