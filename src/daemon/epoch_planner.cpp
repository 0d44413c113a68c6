#include "epoch_planner.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lovagebeam::daemon {
namespace {

struct reason_entry {
    epoch_reason reason;
    std::string_view name;
};

constexpr std::array reason_table{
    reason_entry{epoch_reason::join, "join"},
    reason_entry{epoch_reason::silent, "silent"},
    reason_entry{epoch_reason::planned_leave, "planned_leave"},
};

} // namespace

std::string_view name_of(epoch_reason reason)
{
    return std::ranges::find(reason_table, reason, &reason_entry::reason)->name;
}

void epoch_planner::start(base::time_point granted_until, const std::vector<host_run>& members)
{
    m_contacts.clear();
    for (const auto& member : members) {
        m_contacts[member.node] = {member.run, granted_until, false};
    }
}

void epoch_planner::heard(base::time_point now, const host_run& host, bool is_leaving)
{
    contact& known = m_contacts[host.node];
    if (known.run != host.run) {
        known = {host.run, now, is_leaving};
        return;
    }
    known.heard = std::max(known.heard, now);
    known.is_leaving = known.is_leaving || is_leaving;
}

void epoch_planner::installed(base::time_point now)
{
    m_installed = now;
}

bool epoch_planner::is_leaving(const host_run& host) const
{
    const auto found = m_contacts.find(host.node);
    return found != m_contacts.end() && found->second.run == host.run && found->second.is_leaving;
}

bool epoch_planner::is_wanted(base::time_point now, const host_run& host) const
{
    const auto found = m_contacts.find(host.node);
    return found != m_contacts.end() && found->second.run == host.run &&
           !found->second.is_leaving && now - found->second.heard <= m_timing.silence;
}

std::optional<epoch_plan> epoch_planner::plan(base::time_point now,
                                              const std::vector<host_run>& members) const
{
    epoch_plan result;
    std::set<base::node_id> kept;
    bool has_silent = false;
    bool has_leaving = false;
    for (const auto& member : members) {
        if (is_wanted(now, member)) {
            result.members.push_back(member);
            kept.insert(member.node);
        }
        else {
            (is_leaving(member) ? has_leaving : has_silent) = true;
        }
    }
    bool has_joined = false;
    for (const auto& [node, known] : m_contacts) {
        const host_run host{node, known.run};
        if (!kept.contains(node) && is_wanted(now, host)) {
            result.members.push_back(host);
            has_joined = true;
        }
    }
    std::ranges::sort(result.members);
    const bool may_join = now - m_installed >= m_timing.gather;
    if (result.members.empty() || !(has_silent || has_leaving || (has_joined && may_join))) {
        return std::nullopt;
    }
    result.reason = has_silent    ? epoch_reason::silent
                    : has_leaving ? epoch_reason::planned_leave
                                  : epoch_reason::join;
    return result;
}

} // namespace lovagebeam::daemon
