#include "membership.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

/// Allows eight renewals per member lease, so that a few lost messages don't let it expire.
constexpr std::chrono::milliseconds hello_interval{250};
constexpr std::chrono::milliseconds voter_check_interval{500};
constexpr std::chrono::seconds epoch_commit_timeout{5};
constexpr std::size_t max_unanswered_hellos = 64;

consensus::repair_settings repair_settings_for(const settings::daemon_settings& settings)
{
    consensus::repair_settings result;
    result.target_voters = static_cast<std::size_t>(std::ranges::count(
        settings.members, settings::member_role::voter, &settings::member::role));
    return result;
}

proto::state::MembershipReason to_proto(epoch_reason reason)
{
    switch (reason) {
    case epoch_reason::silent:
        return proto::state::MEMBERSHIP_REASON_SILENT;
    case epoch_reason::planned_leave:
        return proto::state::MEMBERSHIP_REASON_PLANNED_LEAVE;
    case epoch_reason::join:
        break;
    }
    return proto::state::MEMBERSHIP_REASON_JOIN;
}

} // namespace

membership::membership(const settings::daemon_settings& settings, consensus::member identity,
                       std::uint64_t run, peer_sender& sender, replication& log,
                       confirmation_handler on_confirmed)
    : m_settings{settings}, m_identity{std::move(identity)}, m_run{run}, m_sender{sender},
      m_log{log}, m_on_confirmed{std::move(on_confirmed)}, m_repair{repair_settings_for(settings)}
{
}

std::vector<host_run> membership::members() const
{
    std::vector<host_run> result;
    for (const auto& member : m_log.state().members()) {
        result.push_back({member.node, member.incarnation});
    }
    return result;
}

bool membership::is_joined() const
{
    const auto present = members();
    return std::ranges::find(present, host_run{m_settings.node, m_run}) != present.end();
}

bool membership::is_voter() const
{
    const auto& voters = m_log.replica().config().voters;
    return std::ranges::find(voters, m_identity) != voters.end();
}

void membership::tick(base::time_point now)
{
    if (now - m_last_hello >= hello_interval) {
        m_last_hello = now;
        send_hello(now);
    }
    confirm_applied(now);
    if (!m_log.is_established_leader(now)) {
        m_is_established = false;
        return;
    }
    if (!m_is_established) {
        m_is_established = true;
        m_is_epoch_pending = false;
        // The former leader may have renewed leases until its own lease expired, at most one
        // election timeout after this host was elected.
        m_planner.start(now + consensus::replica_timing{}.election_timeout_min, members());
        m_planner.on_epoch_installed(now);
    }
    confirm_as_leader(now);
    plan_epoch(now);
    if (now - m_last_voter_check >= voter_check_interval) {
        m_last_voter_check = now;
        plan_voters(now);
    }
}

void membership::on_role_changed(base::time_point, const consensus::role_change& change)
{
    m_is_established = false;
    log_event{severity::info, "role_changed"}
        .with("role", consensus::name_of(change.role))
        .with("term", change.term.value())
        .with("leader", change.leader.str())
        .write();
}

void membership::on_epoch_installed(base::time_point now)
{
    m_is_epoch_pending = false;
    m_planner.on_epoch_installed(now);
}

void membership::send_hello(base::time_point now)
{
    const base::node_id leader = m_log.replica().leader();
    if (leader.empty() || leader == m_settings.node) {
        return;
    }
    m_unanswered_hellos.push_back({++m_sequence, now});
    if (m_unanswered_hellos.size() > max_unanswered_hellos) {
        m_unanswered_hellos.pop_front();
    }
    proto::ClusterMessage message;
    auto& hello = *message.mutable_hello();
    hello.set_run(m_run);
    hello.set_sequence(m_sequence);
    hello.set_leaving(m_is_leaving);
    hello.set_durable(m_settings.self().role == settings::member_role::voter);
    hello.set_incarnation(m_identity.incarnation.value());
    if (const auto latest = m_log.digests().latest()) {
        hello.set_digest_index(latest->index);
        hello.set_digest(latest->digest);
    }
    m_sender.send(leader, peers::channel::consensus, message.SerializeAsString());
}

void membership::on_hello(base::time_point now, const base::node_id& from,
                          const proto::Hello& message)
{
    m_reported_hosts[from] = {
        {from, consensus::incarnation{message.incarnation()}}, message.durable(), now};
    if (!m_is_established || !m_log.is_established_leader(now)) {
        return;
    }
    m_planner.record_contact(now, {from, message.run()}, message.leaving());
    proto::ClusterMessage answer;
    answer.mutable_hello_answer()->set_sequence(message.sequence());
    answer.mutable_hello_answer()->set_diverged(
        m_log.digests().contradicts({message.digest_index(), message.digest()}));
    answer.mutable_hello_answer()->set_commit_index(m_log.replica().commit_index().value());
    m_sender.send(from, peers::channel::consensus, answer.SerializeAsString());
}

void membership::on_hello_answer(base::time_point now, const proto::HelloAnswer& message)
{
    if (message.diverged()) {
        // A host that kept running could acknowledge changes that no other replica has.
        log_event{severity::error, base::name_of(base::error_code::state_diverged)}
            .with("index", m_log.applied_index())
            .write();
        telemetry::stop_logging();
        std::abort();
    }
    const auto found =
        std::ranges::find(m_unanswered_hellos, message.sequence(), &sent_hello::sequence);
    if (found == m_unanswered_hellos.end()) {
        return;
    }
    m_pending_confirmations.push_back({found->sent_at, message.commit_index()});
    m_unanswered_hellos.erase(m_unanswered_hellos.begin(), std::next(found));
    confirm_applied(now);
}

void membership::confirm_applied(base::time_point now)
{
    while (!m_pending_confirmations.empty() &&
           m_pending_confirmations.front().commit_index <= m_log.applied_index()) {
        m_on_confirmed(now, m_pending_confirmations.front().request_sent_at);
        m_pending_confirmations.pop_front();
    }
}

void membership::confirm_as_leader(base::time_point now)
{
    const auto last_contact = m_log.contact().last_quorum_contact;
    m_planner.record_contact(now, {m_settings.node, m_run}, m_is_leaving);
    if (last_contact && m_log.applied_index() >= m_log.replica().commit_index().value()) {
        m_on_confirmed(now, *last_contact);
    }
}

void membership::plan_epoch(base::time_point now)
{
    if (m_is_epoch_pending) {
        return;
    }
    const auto plan = m_planner.plan(now, members());
    if (!plan) {
        return;
    }
    m_is_epoch_pending = true;
    state::command command;
    auto& install = *command.mutable_install_epoch();
    install.set_expected_epoch(m_log.state().epoch().value());
    install.set_reason(to_proto(plan->reason));
    install.set_proposer(m_settings.node.str());
    for (const auto& host : plan->members) {
        const auto configured =
            std::ranges::find(m_settings.members, host.node, &settings::member::node);
        state::member member;
        member.node = host.node;
        member.incarnation = host.run;
        if (configured != m_settings.members.end()) {
            member.address = configured->peers.address;
            member.domain = configured->domain;
            member.voter = configured->role == settings::member_role::voter;
        }
        *install.add_members() = state::to_proto(member);
    }
    m_log.propose(
        now, std::move(command), now + epoch_commit_timeout,
        [this](const absl::StatusOr<state::apply_result>&) { m_is_epoch_pending = false; });
}

consensus::repair_view membership::repair_view(base::time_point now) const
{
    consensus::repair_view view;
    view.now = now;
    view.leader = m_settings.node;
    view.members = m_log.replica().members(now);
    view.change_pending = !m_log.replica().is_config_committed();
    for (const auto& listed : m_settings.members) {
        const auto found = m_reported_hosts.find(listed.node);
        const bool is_self = listed.node == m_settings.node;
        if (is_self || (found != m_reported_hosts.end() && found->second.is_durable)) {
            const auto identity = is_self ? m_identity : found->second.identity;
            const bool is_present =
                is_self || now - found->second.last_contact < std::chrono::seconds{2};
            view.hosts.push_back({identity, listed.domain, is_present});
        }
    }
    return view;
}

bool membership::add_missing_learner(base::time_point now)
{
    const auto& config = m_log.replica().config();
    for (const auto& listed : m_settings.members) {
        const auto is_listed = [&](const consensus::member& member) {
            return member.id == listed.node;
        };
        if (std::ranges::any_of(config.voters, is_listed) ||
            std::ranges::any_of(config.learners, is_listed)) {
            continue;
        }
        m_log.change_membership(
            now, {consensus::change_kind::add_learner, {listed.node, consensus::incarnation{}}});
        return true;
    }
    return false;
}

void membership::plan_voters(base::time_point now)
{
    if (!m_log.replica().is_config_committed()) {
        return;
    }
    if (const auto change = m_repair.plan(repair_view(now))) {
        log_event{severity::info, "membership_change"}
            .with("member", change->member.id.str())
            .with("kind", static_cast<int>(change->kind))
            .write();
        m_log.change_membership(now, *change);
        return;
    }
    if (add_missing_learner(now)) {
        log_event{severity::info, "learner_added"}.write();
    }
}

} // namespace lovagebeam::daemon
