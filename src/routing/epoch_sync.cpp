#include "epoch_sync.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

constexpr base::duration resend_interval = 100ms;

/// Reports of hosts that left gracefully are awaited for this long; after it, the epoch completes
/// without their results.
constexpr base::duration departed_report_timeout = 1s;

} // namespace

void epoch_sync::on_epoch_installed()
{
    if (m_is_complete) {
        m_departed.clear();
    }
    m_departed_reported.clear();
    std::erase_if(m_departed, [&](const auto& node) { return m_shared.members.is_member(node); });
    for (const auto& [node, state] : m_members) {
        if (m_leaving.contains(node) && !m_shared.members.is_member(node)) {
            m_departed.insert(node);
        }
    }
    m_leaving.clear();
    m_departed_until = m_shared.now + departed_report_timeout;
    m_members.clear();
    m_list_versions.clear();
    m_are_targets_known = false;
    m_is_complete = false;
    m_version = 0;
    m_reported_unconfirmed.clear();
    for (const auto& member : m_shared.members.members()) {
        m_members[member];
    }
    if (m_shared.members.is_joined()) {
        send_targets();
    }
    else if (m_shared.members.has_just_left() || m_shared.is_shutting_down) {
        m_version = 1;
        send_reports();
    }
}

void epoch_sync::send_targets()
{
    for (const auto& [member, state] : m_members) {
        if (!state.has_acked_targets) {
            proto::RoutingMessage message;
            m_home.fill_targets(member, *message.mutable_epoch_targets());
            for (const auto& node : m_departed) {
                message.mutable_epoch_targets()->add_departed(node.str());
            }
            m_shared.send(member, std::move(message));
        }
    }
    m_next_send = m_shared.now + resend_interval;
}

void epoch_sync::on_targets(const base::node_id& from, const proto::EpochTargets& message)
{
    const auto found = m_members.find(from);
    if (found == m_members.end() || !m_shared.members.is_joined()) {
        return;
    }
    if (!found->second.has_sent_targets) {
        found->second.has_sent_targets = true;
        for (const auto& name : message.departed()) {
            const base::node_id node{name};
            if (!m_departed_reported.contains(node) && !m_shared.members.is_member(node)) {
                m_departed.insert(node);
            }
        }
        for (const auto& state : message.targets()) {
            m_home.add_target(from_proto(state),
                              std::ranges::find(message.vouched(), state.target()) !=
                                  message.vouched().end());
        }
    }
    proto::RoutingMessage ack;
    ack.mutable_epoch_targets_ack();
    m_shared.send(from, std::move(ack));
    const bool is_known = std::ranges::all_of(
        m_members, [](const auto& item) { return item.second.has_sent_targets; });
    if (is_known && !m_are_targets_known) {
        m_are_targets_known = true;
        m_home.on_all_targets_known();
        make_report();
    }
}

void epoch_sync::on_targets_ack(const base::node_id& from)
{
    const auto found = m_members.find(from);
    if (found != m_members.end()) {
        found->second.has_acked_targets = true;
    }
}

void epoch_sync::make_report()
{
    if (!m_are_targets_known || !m_shared.may_act()) {
        return;
    }
    if (m_version == 0 && m_home.is_report_ready()) {
        m_version = 1;
        m_reported_unconfirmed = m_home.unconfirmed_targets();
        send_reports();
    }
    else if (m_version > 0 && !m_reported_unconfirmed.empty()) {
        auto unconfirmed = m_home.unconfirmed_targets();
        if (unconfirmed.size() < m_reported_unconfirmed.size()) {
            m_reported_unconfirmed = std::move(unconfirmed);
            ++m_version;
            send_reports();
        }
    }
}

void epoch_sync::send_reports()
{
    for (const auto& [member, state] : m_members) {
        if (state.acked_report < m_version) {
            proto::RoutingMessage message;
            auto& report = *message.mutable_epoch_report();
            report.set_version(m_version);
            m_home.fill_report(member, report);
            m_owner.hand_over(member, report);
            for (const auto& target : m_reported_unconfirmed) {
                report.add_in_doubt(target);
            }
            m_shared.send(member, std::move(message));
        }
    }
    m_next_send = m_shared.now + resend_interval;
}

void epoch_sync::on_report(const base::node_id& from, proto::EpochReport&& message)
{
    const auto found = m_members.find(from);
    if (!m_shared.members.is_joined()) {
        return;
    }
    proto::RoutingMessage ack;
    ack.mutable_epoch_report_ack()->set_version(message.version());
    m_shared.send(from, std::move(ack));
    if (found == m_members.end()) {
        m_departed.erase(from);
        m_departed_reported.insert(from);
    }
    else if (message.version() <= found->second.report) {
        return;
    }
    if (found != m_members.end()) {
        found->second.report = message.version();
        found->second.unconfirmed_targets.assign(message.in_doubt().begin(),
                                                 message.in_doubt().end());
    }
    for (auto& result : *message.mutable_results()) {
        m_owner.adopt_result(result);
    }
    for (const auto& attempt : message.running()) {
        m_owner.adopt(from, attempt);
    }
    check_complete();
}

bool epoch_sync::is_handed_over() const
{
    return std::ranges::all_of(
        m_members, [&](const auto& item) { return item.second.acked_report >= m_version; });
}

bool epoch_sync::is_waiting_for_departed() const
{
    return !m_departed.empty() && m_shared.now < m_departed_until;
}

void epoch_sync::check_complete()
{
    bool has_unconfirmed_targets = false;
    for (const auto& [member, state] : m_members) {
        if (state.report == 0) {
            return;
        }
        has_unconfirmed_targets = has_unconfirmed_targets || !state.unconfirmed_targets.empty();
    }
    if (!m_is_complete && is_waiting_for_departed()) {
        return;
    }
    if (!m_is_complete) {
        m_is_complete = true;
        m_had_unconfirmed_targets = has_unconfirmed_targets;
        m_owner.on_reports_complete(has_unconfirmed_targets);
        m_home.on_reports_complete();
    }
    else if (m_had_unconfirmed_targets && !has_unconfirmed_targets) {
        m_had_unconfirmed_targets = false;
        m_owner.on_reports_complete(false);
    }
}

void epoch_sync::on_report_ack(const base::node_id& from, const proto::EpochReportAck& message)
{
    const auto found = m_members.find(from);
    if (found != m_members.end()) {
        found->second.acked_report = std::max(found->second.acked_report, message.version());
    }
}

void epoch_sync::on_home_targets(const base::node_id& from, const proto::HomeTargets& message)
{
    if (!m_members.contains(from)) {
        return;
    }
    proto::RoutingMessage ack;
    ack.mutable_home_targets_ack()->set_version(message.version());
    m_shared.send(from, std::move(ack));
    auto& version = m_list_versions[from];
    if (message.version() < version) {
        return;
    }
    version = message.version();
    std::vector<target_info> targets;
    for (const auto& state : message.targets()) {
        targets.push_back(from_proto(state));
    }
    m_registry.store(from, m_shared.members.number(), std::move(targets));
    if (m_is_complete) {
        m_registry.prune(m_shared.members);
    }
}

void epoch_sync::on_tick()
{
    if (!m_shared.members.is_joined()) {
        if (m_version > 0 && m_shared.now >= m_next_send) {
            send_reports();
        }
        return;
    }
    make_report();
    if (!m_is_complete) {
        check_complete();
    }
    if (m_shared.now < m_next_send) {
        return;
    }
    const bool has_unsent_targets = std::ranges::any_of(
        m_members, [](const auto& item) { return !item.second.has_acked_targets; });
    if (has_unsent_targets) {
        send_targets();
    }
    if (m_version > 0) {
        send_reports();
    }
}

} // namespace lovagebeam::routing
