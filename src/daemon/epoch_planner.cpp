#include "epoch_planner.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace lovagebeam::daemon {
namespace {

struct reason_name {
    epoch_reason reason;
    std::string_view name;
};

constexpr std::array reason_table{
    reason_name{epoch_reason::join, "join"},
    reason_name{epoch_reason::silent, "silent"},
    reason_name{epoch_reason::planned_leave, "planned_leave"},
};

} // namespace

std::string_view name_of(epoch_reason reason)
{
    return std::ranges::find(reason_table, reason, &reason_name::reason)->name;
}

void epoch_planner::start(base::time_point granted_until, const std::vector<host_run>& members)
{
    m_contacts.clear();
    for (const auto& member : members) {
        m_contacts[member.node] = {member.run, granted_until, false};
    }
}

void epoch_planner::record_contact(base::time_point now, const host_run& host, bool is_leaving)
{
    contact& entry = m_contacts[host.node];
    if (entry.run != host.run) {
        entry = {host.run, now, is_leaving};
        return;
    }
    entry.last_contact = std::max(entry.last_contact, now);
    entry.is_leaving = entry.is_leaving || is_leaving;
}

void epoch_planner::on_epoch_installed(base::time_point now)
{
    m_epoch_installed_at = now;
}

bool epoch_planner::is_leaving(const host_run& host) const
{
    const auto found = m_contacts.find(host.node);
    return found != m_contacts.end() && found->second.run == host.run && found->second.is_leaving;
}

bool epoch_planner::is_eligible(base::time_point now, const host_run& host) const
{
    const auto found = m_contacts.find(host.node);
    return found != m_contacts.end() && found->second.run == host.run &&
           !found->second.is_leaving &&
           now - found->second.last_contact <= m_timing.contact_timeout;
}

std::optional<epoch_plan> epoch_planner::plan(base::time_point now,
                                              const std::vector<host_run>& members) const
{
    epoch_plan result;
    std::set<base::node_id> retained;
    bool has_expired = false;
    bool has_leaving = false;
    for (const auto& member : members) {
        if (is_eligible(now, member)) {
            result.members.push_back(member);
            retained.insert(member.node);
        }
        else {
            (is_leaving(member) ? has_leaving : has_expired) = true;
        }
    }
    bool has_joined = false;
    for (const auto& [node, entry] : m_contacts) {
        const host_run host{node, entry.run};
        if (!retained.contains(node) && is_eligible(now, host)) {
            result.members.push_back(host);
            has_joined = true;
        }
    }
    std::ranges::sort(result.members);
    const bool may_join = now - m_epoch_installed_at >= m_timing.join_delay;
    if (result.members.empty() || !(has_expired || has_leaving || (has_joined && may_join))) {
        return std::nullopt;
    }
    result.reason = has_expired   ? epoch_reason::silent
                    : has_leaving ? epoch_reason::planned_leave
                                  : epoch_reason::join;
    return result;
}

} // namespace lovagebeam::daemon
