#include "core_group.h"

#include "lovagebeam/telemetry/log.h"

#include "initial_voters.h"
#include "internal_calls.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::milliseconds hello_interval{300};
constexpr std::chrono::milliseconds hello_time{800};
constexpr std::chrono::milliseconds plan_interval{100};
/// A voter that is silent for longer is replaced: more than a restart of its process takes.
constexpr std::chrono::milliseconds voter_grace{2'500};
/// A core process that said hello within this time counts as present.
constexpr std::chrono::milliseconds presence_time{1'500};
/// A learner that is silent for longer was removed for good or will join again.
constexpr std::chrono::seconds learner_grace{20};
/// What another process told about the leader is believed for this time.
constexpr std::chrono::milliseconds told_time{1'500};
constexpr std::size_t fewest_voters = 3;

consensus::repair_settings repair_settings_for(const settings::process_settings& settings)
{
    consensus::repair_settings out;
    out.target_voters = std::max<std::size_t>(fewest_voters, 2 * settings.tolerated_losses + 1);
    out.lost_voter_timeout = voter_grace;
    return out;
}

} // namespace

core_group::core_group(const settings::process_settings& settings,
                       std::vector<std::string> founders, consensus::member identity,
                       daemon::replication& log, daemon::peer_links& links,
                       targets::http_client& client, daemon::decision_loop& loop)
    : m_settings{settings}, m_founders{std::move(founders)}, m_identity{std::move(identity)},
      m_log{log}, m_links{links}, m_client{client}, m_loop{loop}, m_planner{
                                                                      repair_settings_for(settings)}
{
    for (const auto& seed : settings.seeds) {
        m_seeds.insert(seed.address);
    }
    m_durable[settings.address] = !settings.data_folder.empty();
}

std::vector<std::string> core_group::relays(base::time_point now) const
{
    std::set<std::string> out;
    for (const auto& [id, core] : m_heard) {
        if (core.is_durable && now - core.heard < presence_time) {
            out.insert(id.str());
        }
    }
    // A new leader hasn't heard from the others yet. All members have a disk.
    if (m_is_leading && now - m_leading_since < presence_time) {
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

// A process without a disk takes part in the choice of the first voters while it serves already.
void core_group::look_for_founders(base::time_point now)
{
    if (m_started == base::time_point{}) {
        m_started = now;
    }
    if (!m_settings.is_first_start || !m_founders.empty()) {
        return;
    }
    const std::vector<std::string> seeds{m_seeds.begin(), m_seeds.end()};
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started);
    if (auto chosen = choose_initial_voters(seeds, m_durable, m_settings.address, waited)) {
        m_founders = *std::move(chosen);
    }
}

std::vector<std::string> core_group::cores() const
{
    std::set<std::string> known{m_settings.address};
    const auto& config = m_log.replica().config();
    for (const auto* list : {&config.voters, &config.learners}) {
        for (const auto& member : *list) {
            known.insert(member.id.str());
        }
    }
    if (known.size() == 1) {
        known.insert(m_seeds.begin(), m_seeds.end());
        known.insert(m_told.begin(), m_told.end());
    }
    return {known.begin(), known.end()};
}

std::string core_group::leader(base::time_point now) const
{
    if (m_log.is_leader()) {
        return m_log.is_established_leader(now) ? m_settings.address : std::string{};
    }
    auto known = m_log.replica().leader().str();
    if (!known.empty()) {
        return known;
    }
    return now - m_told_at < told_time ? m_told_leader : std::string{};
}

void core_group::tick(base::time_point now)
{
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
    if (!m_is_leading && now - m_last_hello >= hello_interval) {
        m_last_hello = now;
        say_hello(now);
    }
    look_for_founders(now);
    update_peers();
}

void core_group::update_peers()
{
    std::set<std::string> wanted;
    for (const auto& core : cores()) {
        wanted.insert(core);
    }
    for (const auto& [id, core] : m_heard) {
        wanted.insert(id.str());
    }
    if (!m_told_leader.empty()) {
        wanted.insert(m_told_leader);
    }
    if (wanted == m_dialled) {
        return;
    }
    m_dialled = wanted;
    std::vector<peers::peer_address> peers;
    for (const auto& address : wanted) {
        if (address != m_settings.address) {
            peers.push_back({base::node_id{address}, address, peer_port(m_settings)});
        }
    }
    m_links.update_peers(std::move(peers));
}

void core_group::say_hello(base::time_point now)
{
    std::string to = leader(now);
    if (to.empty() || to == m_settings.address) {
        std::set<std::string> known{m_seeds};
        for (const auto& core : cores()) {
            known.insert(core);
        }
        known.erase(m_settings.address);
        if (known.empty()) {
            return;
        }
        to = *std::next(known.begin(), static_cast<std::ptrdiff_t>(m_next_core++ % known.size()));
    }
    pb::CoreHello hello;
    hello.set_core(m_settings.address);
    hello.set_failure_domain(m_settings.domain.str());
    hello.set_incarnation(m_identity.incarnation.value());
    hello.set_durable(!m_settings.data_folder.empty());
    post_message<pb::CoreHelloAnswer>(
        m_client, to, core_port(m_settings), hello_path, hello, hello_time,
        [this, to](std::optional<pb::CoreHelloAnswer> answer, call_failure) {
            if (answer) {
                m_loop.post_completion([this, to, answer = *std::move(answer)](auto when) {
                    on_hello_answer(when, to, answer);
                });
            }
        });
}

void core_group::on_hello_answer(base::time_point now, const std::string& asked,
                                 const pb::CoreHelloAnswer& answer)
{
    m_durable[asked] = answer.durable();
    if (m_founders.empty()) {
        m_founders = {answer.founders().begin(), answer.founders().end()};
    }
    m_told = {answer.cores().begin(), answer.cores().end()};
    const std::string leader = answer.is_leader() ? asked : answer.leader();
    if (!leader.empty() && leader != m_settings.address) {
        m_told_leader = leader;
        m_told_at = now;
    }
}

pb::CoreHelloAnswer core_group::on_hello(base::time_point now, const pb::CoreHello& message)
{
    const base::node_id id{message.core()};
    m_heard[id] = {{id, consensus::incarnation{message.incarnation()}},
                   base::failure_domain{message.failure_domain()},
                   message.durable(),
                   now};
    m_durable[message.core()] = message.durable();
    pb::CoreHelloAnswer answer;
    answer.set_durable(!m_settings.data_folder.empty());
    for (const auto& founder : m_founders) {
        answer.add_founders(founder);
    }
    answer.set_is_leader(m_log.is_established_leader(now));
    answer.set_leader(leader(now));
    for (const auto& core : cores()) {
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
    for (const auto& [id, core] : m_heard) {
        if (core.is_durable && id != m_identity.id) {
            view.hosts.push_back({core.identity, core.domain, now - core.heard < presence_time});
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
    for (const auto& [id, core] : m_heard) {
        if (core.is_durable && now - core.heard < presence_time && !is_member(id)) {
            log_event{severity::info, "core_joins"}.with("core", id.str()).write();
            m_log.change_membership(
                now, {consensus::change_kind::add_learner, {id, consensus::incarnation{}}});
            return true;
        }
    }
    return false;
}

bool core_group::remove_silent_learner(base::time_point now)
{
    if (now - m_leading_since < learner_grace) {
        return false;
    }
    for (const auto& learner : m_log.replica().config().learners) {
        const auto heard = m_heard.find(learner.id);
        if (heard == m_heard.end() || now - heard->second.heard >= learner_grace) {
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
        static_cast<void>(remove_silent_learner(now));
    }
}

} // namespace lovagebeam::controlplane
