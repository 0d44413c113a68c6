#include "core_group.h"

#include "lovagebeam/telemetry/log.h"

#include "initial_voters.h"
#include "internal_calls.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::milliseconds hello_interval{300};
constexpr std::chrono::milliseconds hello_timeout{800};
constexpr std::chrono::milliseconds plan_interval{100};
/// A voter without contact for longer is replaced. Longer than a restart of its process.
constexpr std::chrono::milliseconds lost_voter_timeout{2'500};
/// A core process whose last hello is older counts as absent.
constexpr std::chrono::milliseconds presence_timeout{1'500};
/// A learner without contact for longer is removed. If it comes back, it joins again.
constexpr std::chrono::seconds lost_learner_timeout{20};
/// How long the leader's address from another process is used.
constexpr std::chrono::milliseconds reported_leader_timeout{1'500};
/// A leader that was silent for longer isn't named. A voter's election starts by then; a learner
/// has no election timeout and would keep a former leader.
constexpr std::chrono::milliseconds max_leader_silence{600};
constexpr std::size_t min_voters = 3;
constexpr std::chrono::seconds report_interval{1};

std::set<std::string> seeds_of(const settings::process_settings& settings)
{
    std::set<std::string> out;
    for (const auto& seed : settings.seeds) {
        out.insert(seed.address);
    }
    return out;
}

consensus::repair_settings repair_settings_for(const settings::process_settings& settings)
{
    consensus::repair_settings out;
    out.target_voters = std::max<std::size_t>(min_voters, 2 * settings.tolerated_losses + 1);
    out.lost_voter_timeout = lost_voter_timeout;
    return out;
}

} // namespace

core_group::core_group(const settings::process_settings& settings,
                       std::vector<std::string> initial_voters, consensus::member identity,
                       daemon::replication& log, daemon::peer_links& links,
                       targets::http_client& client, daemon::decision_loop& loop)
    : m_settings{settings}, m_initial_voters{std::move(initial_voters)},
      m_identity{std::move(identity)}, m_log{log}, m_links{links}, m_client{client}, m_loop{loop},
      m_planner{repair_settings_for(settings)}, m_directory{
                                                    settings.address, seeds_of(settings),
                                                    std::hash<std::string>{}(settings.address)}
{
    m_durable_by_host[settings.address] = !settings.data_folder.empty();
}

std::vector<std::string> core_group::relays(base::time_point now) const
{
    std::set<std::string> out;
    for (const auto& [id, core] : m_contacts) {
        if (core.is_durable && now - core.last_contact < presence_timeout) {
            out.insert(id.str());
        }
    }
    // A new leader has no contact with the others yet, so it takes the members, which all have a
    // disk.
    if (m_is_leading && now - m_leading_since < presence_timeout) {
        const auto& config = m_log.replica().config();
        for (const auto* list : {&config.voters, &config.learners}) {
            for (const auto& member : *list) {
                if (member.id != m_previous_leader) {
                    out.insert(member.id.str());
                }
            }
        }
    }
    out.erase(m_settings.address);
    return {out.begin(), out.end()};
}

// A process without a disk takes part in the choice of the initial voters while it already serves.
void core_group::update_initial_voters(base::time_point now)
{
    if (m_started == base::time_point{}) {
        m_started = now;
    }
    if (!m_settings.is_first_start || !m_initial_voters.empty()) {
        return;
    }
    const auto known_seeds = seeds_of(m_settings);
    const std::vector<std::string> seeds{known_seeds.begin(), known_seeds.end()};
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started);
    if (auto chosen = choose_initial_voters(seeds, m_durable_by_host, m_settings.address, waited)) {
        m_initial_voters = *std::move(chosen);
    }
}

void core_group::update_members()
{
    std::set<std::string> members;
    const auto& config = m_log.replica().config();
    for (const auto* list : {&config.voters, &config.learners}) {
        for (const auto& member : *list) {
            members.insert(member.id.str());
        }
    }
    m_directory.set_members(std::move(members));
}

std::set<std::string> core_group::addresses_to_record(base::time_point now,
                                                      const std::set<std::string>& recorded) const
{
    auto out = m_directory.confirmed(now);
    if (now - m_leading_since < core_directory::address_timeout) {
        out.insert(recorded.begin(), recorded.end());
    }
    return out;
}

std::string core_group::leader_of_group(base::time_point now) const
{
    if (m_log.is_leader()) {
        return m_log.is_established_leader(now) ? m_settings.address : std::string{};
    }
    const auto& last_contact = m_log.contact().last_leader_contact;
    const bool is_in_contact = last_contact && now - *last_contact < max_leader_silence;
    return is_in_contact ? m_log.replica().leader().str() : std::string{};
}

std::string core_group::leader(base::time_point now) const
{
    auto known = leader_of_group(now);
    if (!known.empty() || m_log.is_leader()) {
        return known;
    }
    return now - m_leader_reported_at < reported_leader_timeout ? m_reported_leader : std::string{};
}

void core_group::tick(base::time_point now)
{
    update_members();
    if (m_is_leading != m_log.is_established_leader(now)) {
        m_is_leading = !m_is_leading;
        m_leading_since = now;
    }
    if (const auto& known = m_log.replica().leader(); !known.empty() && known != m_identity.id) {
        m_previous_leader = known;
    }
    if (m_is_leading && now - m_last_plan >= plan_interval) {
        m_last_plan = now;
        plan_members(now);
    }
    if (now - m_last_hello >= hello_interval) {
        m_last_hello = now;
        send_hellos(now);
    }
    update_initial_voters(now);
    update_peers();
    if (now - m_last_report >= report_interval) {
        write_report(now);
    }
}

void core_group::write_report(base::time_point now)
{
    m_last_report = now;
    const auto sent = std::exchange(m_hellos, 0);
    const auto answered = std::exchange(m_hellos_answered, 0);
    if (!leader(now).empty()) {
        return;
    }
    std::vector<std::string> voters;
    std::vector<std::string> connected;
    for (const auto& voter : m_log.replica().config().voters) {
        voters.push_back(voter.id.str());
        if (m_links.is_connected(voter.id)) {
            connected.push_back(voter.id.str());
        }
    }
    std::vector<std::string> present;
    for (const auto& [id, core] : m_contacts) {
        if (now - core.last_contact < presence_timeout) {
            present.push_back(id.str());
        }
    }
    log_event{severity::info, "no_leader"}
        .with("role", consensus::name_of(m_log.replica().role()))
        .with("term", m_log.replica().current_term().value())
        .with("last_index", m_log.replica().last_index().value())
        .with("voters", absl::StrJoin(voters, ","))
        .with("connected_voters", absl::StrJoin(connected, ","))
        .with("known", absl::StrJoin(m_directory.known(now), ","))
        .with("heard_from", absl::StrJoin(present, ","))
        .with("hellos", sent)
        .with("hellos_answered", answered)
        .write();
}

// Only processes with a disk take part in the group and relay calls.
void core_group::update_peers()
{
    std::set<std::string> wanted;
    if (!m_settings.data_folder.empty()) {
        const auto& config = m_log.replica().config();
        for (const auto* list : {&config.voters, &config.learners}) {
            for (const auto& member : *list) {
                wanted.insert(member.id.str());
            }
        }
        for (const auto& [id, core] : m_contacts) {
            if (core.is_durable) {
                wanted.insert(id.str());
            }
        }
        if (!m_reported_leader.empty()) {
            wanted.insert(m_reported_leader);
        }
    }
    if (wanted == m_peer_addresses) {
        return;
    }
    m_peer_addresses = wanted;
    std::vector<peers::peer_address> peers;
    for (const auto& address : wanted) {
        if (address != m_settings.address) {
            peers.push_back({base::node_id{address}, address, peer_port(m_settings)});
        }
    }
    m_links.update_peers(std::move(peers));
}

void core_group::send_hellos(base::time_point now)
{
    const auto to = leader(now);
    if (!to.empty() && to != m_settings.address) {
        send_hello(now, to);
    }
    if (m_settings.is_first_start && m_initial_voters.empty()) {
        // The first seed chooses the initial voters once all seeds have answered.
        for (const auto& seed : seeds_of(m_settings)) {
            if (seed != m_settings.address && seed != to) {
                send_hello(now, seed);
            }
        }
        return;
    }
    if (const auto other = m_directory.next(now, to); !other.empty()) {
        send_hello(now, other);
    }
}

void core_group::send_hello(base::time_point now, const std::string& to)
{
    pb::CoreHello hello;
    hello.set_core(m_settings.address);
    hello.set_failure_domain(m_settings.domain.str());
    hello.set_incarnation(m_identity.incarnation.value());
    hello.set_durable(!m_settings.data_folder.empty());
    hello.set_leader(leader_of_group(now));
    for (const auto& core : m_directory.confirmed(now)) {
        hello.add_cores(core);
    }
    ++m_hellos;
    post_message<pb::CoreHelloAnswer>(
        m_client, to, core_port(m_settings), hello_path, hello, hello_timeout,
        [this, to](std::optional<pb::CoreHelloAnswer> answer, call_failure) {
            if (answer) {
                m_loop.post_completion([this, to, answer = *std::move(answer)](auto when) {
                    on_hello_answer(when, to, answer);
                });
            }
        });
}

void core_group::on_hello_answer(base::time_point now, const std::string& queried,
                                 const pb::CoreHelloAnswer& answer)
{
    ++m_hellos_answered;
    m_durable_by_host[queried] = answer.durable();
    if (m_initial_voters.empty()) {
        m_initial_voters = {answer.initial_voters().begin(), answer.initial_voters().end()};
    }
    m_directory.on_heard(now, queried);
    on_peer_info(now, answer);
}

template <class Message>
void core_group::on_peer_info(base::time_point now, const Message& message)
{
    for (const auto& core : message.cores()) {
        if (core_directory::is_address(core)) {
            m_directory.on_named(now, core);
        }
    }
    if (core_directory::is_address(message.leader()) && message.leader() != m_settings.address) {
        m_reported_leader = message.leader();
        m_leader_reported_at = now;
    }
}

pb::CoreHelloAnswer core_group::on_hello(base::time_point now, const pb::CoreHello& message)
{
    const base::node_id id{message.core()};
    m_contacts[id] = {{id, consensus::incarnation{message.incarnation()}},
                      base::failure_domain{message.failure_domain()},
                      message.durable(),
                      now};
    m_durable_by_host[message.core()] = message.durable();
    m_directory.on_heard(now, message.core());
    on_peer_info(now, message);
    pb::CoreHelloAnswer answer;
    answer.set_durable(!m_settings.data_folder.empty());
    for (const auto& voter : m_initial_voters) {
        answer.add_initial_voters(voter);
    }
    answer.set_is_leader(m_log.is_established_leader(now));
    answer.set_leader(leader_of_group(now));
    for (const auto& core : m_directory.confirmed(now)) {
        answer.add_cores(core);
    }
    return answer;
}

consensus::repair_view core_group::repair_view(base::time_point now) const
{
    consensus::repair_view view;
    view.now = now;
    view.leader = m_identity.id;
    view.members = m_log.replica().members(now);
    view.change_pending = !m_log.replica().is_config_committed();
    view.hosts.push_back({m_identity, m_settings.domain, true});
    for (const auto& [id, core] : m_contacts) {
        if (core.is_durable && id != m_identity.id) {
            view.hosts.push_back(
                {core.identity, core.domain, now - core.last_contact < presence_timeout});
        }
    }
    return view;
}

bool core_group::is_member(const base::node_id& id) const
{
    const auto& config = m_log.replica().config();
    const auto is_same = [&](const consensus::member& member) { return member.id == id; };
    return std::ranges::any_of(config.voters, is_same) ||
           std::ranges::any_of(config.learners, is_same);
}

bool core_group::add_missing_learner(base::time_point now)
{
    for (const auto& [id, core] : m_contacts) {
        if (core.is_durable && now - core.last_contact < presence_timeout && !is_member(id)) {
            log_event{severity::info, "core_joins"}.with("core", id.str()).write();
            m_log.change_membership(
                now, {consensus::change_kind::add_learner, {id, consensus::incarnation{}}});
            return true;
        }
    }
    return false;
}

bool core_group::remove_lost_learner(base::time_point now)
{
    if (now - m_leading_since < lost_learner_timeout) {
        return false;
    }
    for (const auto& learner : m_log.replica().config().learners) {
        const auto contact = m_contacts.find(learner.id);
        if (contact == m_contacts.end() ||
            now - contact->second.last_contact >= lost_learner_timeout) {
            log_event{severity::info, "core_removed"}.with("core", learner.id.str()).write();
            m_log.change_membership(now, {consensus::change_kind::remove_learner, learner});
            return true;
        }
    }
    return false;
}

void core_group::plan_members(base::time_point now)
{
    if (!m_log.replica().is_config_committed()) {
        return;
    }
    if (const auto change = m_planner.plan(repair_view(now))) {
        log_event{severity::info, "membership_change"}
            .with("core", change->member.id.str())
            .with("kind", static_cast<int>(change->kind))
            .write();
        m_log.change_membership(now, *change);
        return;
    }
    if (!add_missing_learner(now)) {
        static_cast<void>(remove_lost_learner(now));
    }
}

} // namespace lovagebeam::controlplane
