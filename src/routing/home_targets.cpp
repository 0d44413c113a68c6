#include "target_home.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

/// Owners choose homes by statuses of at most this age. 12 hosts exchange 144 messages per
/// interval.
constexpr base::duration status_interval = 20ms;
constexpr base::duration targets_interval = 100ms;
constexpr base::duration min_leaving_time = 5s;
constexpr base::duration fence_call_timeout = 300ms;
constexpr base::duration fence_retry = 200ms;
constexpr base::duration inactive_target_retention = 60s;

/// At most this percentage of all targets is ejected at the same time.
constexpr std::size_t ejected_percent = 30;

} // namespace

void target_home::on_announcement(const proto::TargetAnnouncement& message)
{
    if (m_shared.members.home_of(message.target().target()) != m_shared.members.self()) {
        return;
    }
    const std::string instance =
        "announced/" + message.id().node() + '/' + std::to_string(message.id().incarnation());
    if (m_shared.was_suspended() || !m_windows[instance].accept(message.id().number())) {
        return;
    }
    target_info info = from_proto(message.target());
    if (info.slots == 0 || info.target.empty()) {
        return;
    }
    add_target(info, false);
    home_target& target = m_targets.at(message.target().target());
    target.info = std::move(info);
    target.last_announced = m_shared.now;
    if (message.leaving()) {
        target.leaving_until = m_shared.now + min_leaving_time;
    }
    target.is_leaving = m_shared.now < target.leaving_until;
    target.is_draining = m_shared.limits->is_target_draining(target.info.target);
    if (m_is_complete && target.fenced_epoch != m_shared.members.number()) {
        fence(message.target().target(), target);
    }
    schedule();
}

void target_home::add_target(const target_info& info, bool is_confirmed)
{
    home_target& target = m_targets[info.target.str()];
    if (target.info.target.empty()) {
        target.info = info;
    }
    target.is_confirmed = target.is_confirmed || is_confirmed;
    if (!target.is_homed_here) {
        target.is_homed_here = true;
        target.added_version = ++m_targets_version;
        m_next_targets = m_shared.now;
    }
}

void target_home::on_all_targets_known()
{
    m_fencing_since = m_shared.now;
    fence_targets();
}

void target_home::on_limits_changed()
{
    for (auto& [id, target] : m_targets) {
        target.is_draining = m_shared.limits->is_target_draining(target.info.target);
    }
    schedule();
}

void target_home::fence_targets()
{
    for (auto& [id, target] : m_targets) {
        if (target.is_homed_here && target.fenced_epoch != m_shared.members.number()) {
            fence(id, target);
        }
    }
}

void target_home::fence(const std::string& id, home_target& target)
{
    if (target.is_fencing || !m_shared.may_act() || m_shared.now < target.next_fence_at ||
        target.connections >= m_shared.settings.connections_per_target) {
        return;
    }
    target.is_fencing = true;
    ++target.connections;
    m_shared.emit(fence_target{base::target_id{id}, target.info.address, target.info.port,
                               m_shared.members.number(), fence_call_timeout});
}

void target_home::on_fence_answered(const fence_answered& answer)
{
    const auto found = m_targets.find(answer.target.str());
    if (found == m_targets.end()) {
        return;
    }
    home_target& target = found->second;
    target.is_fencing = false;
    --target.connections;
    if (answer.number != m_shared.members.number() || !target.is_homed_here ||
        answer.result != fence_result::fenced) {
        target.next_fence_at =
            m_shared.now +
            (answer.number == m_shared.members.number() ? fence_retry : base::duration::zero());
        return;
    }
    target.fenced_epoch = answer.number;
    target.known_epoch = answer.number;
    for (const auto& running : answer.running) {
        adopt(running, answer.target.str());
    }
    schedule();
}

void target_home::record_health(home_target& target, bool is_success)
{
    target.health.record(is_success, m_shared.now, ejected_count() < ejection_quota());
}

std::size_t target_home::ejection_quota() const
{
    // The homes divide the number of targets that may be ejected by running totals over the sorted
    // members, so that the quotas never add up to more than the limit of the cluster.
    std::size_t before = 0;
    for (const auto& member : m_shared.members.members()) {
        const bool is_self = member == m_shared.members.self();
        const std::size_t count = is_self ? target_count() : m_registry.count_of(member);
        if (is_self) {
            return (before + count) * ejected_percent / 100 - before * ejected_percent / 100;
        }
        before += count;
    }
    return 0;
}

void target_home::on_epoch_installed()
{
    m_is_complete = false;
    m_installed_at = m_shared.now;
    m_fencing_since = base::time_point::max();
    m_targets_acked.clear();
    m_registered_version = 0;
    m_targets_version = 0;
    m_next_targets = m_shared.now;
    const base::epoch before{m_shared.members.number().value() - 1};
    for (auto& [id, target] : m_targets) {
        target.was_retained = m_shared.members.is_consecutive() && target.is_homed_here &&
                              target.known_epoch == before;
        target.is_homed_here = false;
        target.is_confirmed = false;
        target.next_fence_at = m_shared.now;
    }
    for (auto& [id, attempt] : m_attempts) {
        if (attempt.phase == home_phase::waiting || attempt.phase == home_phase::reserved) {
            end(attempt, outcome::not_run, base::error_code::stale_epoch, {}, 0);
        }
        else if (attempt.phase == home_phase::ended) {
            attempt.pushes = 0;
            set_timer(attempt, m_shared.now);
        }
    }
    if (m_shared.members.is_joined()) {
        for (auto& [id, target] : m_targets) {
            if (m_shared.members.home_of(id) == m_shared.members.self()) {
                add_target(target.info, false);
                if (target.was_retained) {
                    target.known_epoch = m_shared.members.number();
                }
            }
        }
    }
}

bool target_home::is_report_ready() const
{
    const bool has_fencing_timed_out =
        m_fencing_since != base::time_point::max() &&
        m_shared.now >= m_fencing_since + m_shared.settings.fence_timeout;
    return has_fencing_timed_out || std::ranges::all_of(m_targets, [&](const auto& item) {
               const home_target& target = item.second;
               return !target.is_homed_here || target.was_retained || target.is_confirmed ||
                      target.fenced_epoch == m_shared.members.number();
           });
}

std::vector<std::string> target_home::unconfirmed_targets() const
{
    std::vector<std::string> result;
    for (const auto& [id, target] : m_targets) {
        if (target.is_homed_here && !target.was_retained && !target.is_confirmed &&
            target.fenced_epoch != m_shared.members.number()) {
            result.push_back(id);
        }
    }
    return result;
}

void target_home::fill_report(const base::node_id& owner, proto::EpochReport& report) const
{
    for (const auto& [id, attempt] : m_attempts) {
        const bool may_run = attempt.phase == home_phase::running ||
                             attempt.phase == home_phase::unconfirmed ||
                             attempt.phase == home_phase::adopted;
        if (may_run && m_shared.members.owner_of(attempt.team) == owner) {
            auto& running = *report.add_running();
            running.set_attempt(id);
            running.set_team(attempt.team);
            running.set_key(attempt.key);
            running.set_work_key(attempt.work_key);
        }
    }
}

void target_home::fill_targets(const base::node_id& home, proto::EpochTargets& message) const
{
    m_registry.for_each([&](const target_info& info) {
        if (m_shared.members.home_of(info.target.str()) == home) {
            *message.add_targets() = to_proto(info);
        }
    });
    for (const auto& [id, target] : m_targets) {
        if (m_shared.members.home_of(id) == home) {
            *message.add_targets() = to_proto(target.info);
            if (target.was_retained) {
                message.add_vouched(id);
            }
        }
    }
}

void target_home::on_reports_complete()
{
    m_is_complete = true;
    m_next_status = m_shared.now;
    schedule();
}

void target_home::on_targets_ack(const base::node_id& from, const proto::HomeTargetsAck& message)
{
    auto& acked = m_targets_acked[from];
    acked = std::max(acked, message.version());
    m_registered_version = acked;
    for (const auto& member : m_shared.members.members()) {
        m_registered_version = std::min(m_registered_version, m_targets_acked[member]);
    }
    schedule();
}

void target_home::send_targets()
{
    m_next_targets = m_shared.now + targets_interval;
    proto::HomeTargets list;
    list.set_version(m_targets_version);
    for (const auto& [id, target] : m_targets) {
        if (target.is_homed_here) {
            *list.add_targets() = to_proto(target.info);
        }
    }
    for (const auto& member : m_shared.members.members()) {
        const auto acked = m_targets_acked.find(member);
        if (acked == m_targets_acked.end() || acked->second < m_targets_version) {
            proto::RoutingMessage message;
            *message.mutable_home_targets() = list;
            m_shared.send(member, std::move(message));
        }
    }
}

void target_home::send_status()
{
    m_next_status = m_shared.now + status_interval;
    std::uint32_t slots = 0;
    std::uint32_t used = 0;
    const bool is_open = m_is_complete && m_shared.may_act() && !m_shared.is_shutting_down &&
                         !m_shared.limits->is_host_draining(m_shared.members.self());
    for (auto& [id, target] : m_targets) {
        target.is_draining = m_shared.limits->is_target_draining(target.info.target);
        const bool counts =
            is_open &&
            (is_usable(target) || (target.is_homed_here && !target.is_leaving &&
                                   !target.is_draining && target.used_slots >= target.info.slots));
        if (counts) {
            slots += target.info.slots;
            used += std::min(target.used_slots, target.info.slots);
        }
    }
    proto::RoutingMessage message;
    auto& status = *message.mutable_home_status();
    status.set_number(++m_status_number);
    status.set_slots(slots);
    status.set_free_slots(slots - used);
    status.set_waiting(static_cast<std::uint32_t>(m_waiting));
    status.set_leaving(m_shared.is_shutting_down);
    for (const auto& member : m_shared.members.members()) {
        m_shared.send(member, proto::RoutingMessage{message});
    }
}

void target_home::announce_leaving()
{
    if (m_shared.members.is_joined()) {
        send_status();
    }
}

void target_home::on_tick()
{
    while (const auto id = m_timers.pop_due(m_shared.now)) {
        advance(*id);
    }
    if (!m_shared.members.is_joined()) {
        return;
    }
    fence_targets();
    if (m_shared.now >= m_next_targets) {
        send_targets();
    }
    if (m_is_complete && m_shared.now >= m_next_status) {
        schedule();
        send_status();
        remove_inactive_targets();
    }
}

void target_home::remove_inactive_targets()
{
    for (auto item = m_targets.begin(); item != m_targets.end();) {
        const home_target& target = item->second;
        const bool is_idle = target.used_slots == 0 && target.connections == 0;
        const bool is_inactive = m_shared.now > target.last_announced + inactive_target_retention &&
                                 m_shared.now > m_installed_at + inactive_target_retention;
        const bool is_needed = std::ranges::any_of(m_attempts, [&](const auto& attempt) {
            return attempt.second.target == item->first &&
                   attempt.second.phase != home_phase::ended;
        });
        item = is_idle && is_inactive && !is_needed ? m_targets.erase(item) : std::next(item);
    }
}

bool target_home::is_idle() const
{
    // An end that was sent this often without an acknowledgement is lost only if its receiver is.
    constexpr std::uint32_t min_pushes = 4;
    return std::ranges::all_of(m_attempts, [](const auto& item) {
        return item.second.phase == home_phase::ended && item.second.pushes >= min_pushes;
    });
}

std::size_t target_home::running_count() const
{
    std::size_t sum = 0;
    for (const auto& [id, target] : m_targets) {
        sum += target.used_slots;
    }
    return sum;
}

std::size_t target_home::ejected_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_targets, [&](const auto& item) {
        return item.second.is_homed_here && item.second.health.is_ejected(m_shared.now);
    }));
}

std::size_t target_home::target_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_targets, [](const auto& item) { return item.second.is_homed_here; }));
}

} // namespace lovagebeam::routing
