#include "sim_cluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace lovagebeam::consensus::test {

namespace {

constexpr sim_time tick_interval = 20'000;

base::failure_domain domain_of(std::size_t index)
{
    return base::failure_domain{absl::StrCat("domain-", index % 4)};
}

} // namespace

sim_cluster::sim_cluster(const sim_setup& setup, base::random_source random)
    : m_random{random}, m_timing{setup.timing}, m_max_writer_pause{setup.max_writer_pause}
{
    const std::size_t count = setup.voters + setup.spares + setup.diskless;
    snapshot_meta first;
    for (std::size_t i = 0; i < count; ++i) {
        sim_node node;
        node.self = {base::node_id{absl::StrCat("n", i)}, fresh_incarnation()};
        node.durable = i < setup.voters + setup.spares;
        const double drift = setup.timing.clock_drift;
        node.rate = m_random.chance(0.5) ? 1.0 + drift : 1.0 - drift;
        node.offset = static_cast<sim_time>(m_random.below(1'000'000'000));
        (i < setup.voters ? first.config.voters : first.config.learners).push_back(node.self);
        m_nodes.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (i < setup.voters) {
            m_nodes[i].disk.snapshot = first;
            m_nodes[i].disk.hard_state.group = group_id{77};
        }
        start(i);
        const auto phase = static_cast<sim_time>(m_random.below(tick_interval));
        at(phase, [this, i] { tick_node(i); });
    }
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
        at(300'000, [this, i] { run_client(i); });
    }
}

base::time_point sim_cluster::local_time(const sim_node& node, sim_time time)
{
    const auto local = static_cast<sim_time>(node.rate * static_cast<double>(time)) + node.offset;
    return base::time_point{std::chrono::microseconds{local}};
}

sim_time sim_cluster::true_time(const sim_node& node, base::time_point time)
{
    const auto local =
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    return static_cast<sim_time>(static_cast<double>(local - node.offset) / node.rate);
}

std::size_t sim_cluster::index_of(const base::node_id& id) const
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(),
                                 [&](const sim_node& node) { return node.self.id == id; });
    return static_cast<std::size_t>(it - m_nodes.begin());
}

void sim_cluster::at(sim_time time, std::function<void()> action)
{
    m_queue.push({time, m_order++, std::move(action)});
}

void sim_cluster::schedule_for(std::size_t index, sim_time delay, std::function<void()> action)
{
    at(m_now + delay, [this, index, instance = m_nodes[index].instance, run = std::move(action)] {
        if (m_nodes[index].up && m_nodes[index].instance == instance) {
            run();
        }
    });
}

void sim_cluster::run_until(sim_time end)
{
    while (!m_queue.empty() && m_queue.top().time <= end) {
        scheduled next = m_queue.top();
        m_queue.pop();
        m_now = next.time;
        next.action();
    }
    m_now = end;
}

void sim_cluster::tick_node(std::size_t index)
{
    at(m_now + tick_interval, [this, index] { tick_node(index); });
    if (m_nodes[index].up && m_nodes[index].paused_until <= m_now) {
        process(index, tick{});
    }
    if (index == 0) {
        check_contact_times();
    }
}

void sim_cluster::start(std::size_t index)
{
    sim_node& node = m_nodes[index];
    if (node.up) {
        return;
    }
    ++node.instance;
    node.up = true;
    node.paused_until = 0;
    if (!node.durable) {
        node.self.incarnation = fresh_incarnation();
        node.disk = sim_disk{};
    }
    auto built = replica_builder{node.self}
                     .durable(node.durable)
                     .state(node.disk.hard_state)
                     .snapshot(node.disk.snapshot)
                     .entries(node.disk.log)
                     .timing(m_timing)
                     .random(base::random_source{m_random.next()})
                     .build(local_time(node, m_now));
    if (!built.ok()) {
        throw violation(absl::StrCat("restart failed: ", std::string{built.status().message()}));
    }
    node.raft = std::move(*built);
    node.log.reset(node.disk.snapshot.index, node.disk.log);
    node.applied = node.disk.snapshot.index;
    node.state = decode_lists(node.disk.snapshot_data);
    node.contact = contact_times{};
}

void sim_cluster::crash(std::size_t index)
{
    sim_node& node = m_nodes[index];
    if (!node.up) {
        return;
    }
    node.up = false;
    ++node.instance;
    node.disk.crash(m_random);
    node.raft.reset();
    node.queued_events.clear();
    node.incoming_snapshot.clear();
    for (const auto& [where, proposal] : node.proposals) {
        finish(proposal.second, operation_state::unknown);
    }
    node.proposals.clear();
}

void sim_cluster::pause(std::size_t index, sim_time length)
{
    sim_node& node = m_nodes[index];
    if (!node.up || node.paused_until > m_now) {
        return;
    }
    node.paused_until = m_now + length;
    schedule_for(index, length, [this, index] { resume(index); });
}

void sim_cluster::resume(std::size_t index)
{
    std::vector<event> events = std::exchange(m_nodes[index].queued_events, {});
    for (event& input : events) {
        process(index, std::move(input));
    }
}

bool sim_cluster::can_lose_disk(std::size_t index) const
{
    const auto leader = newest_leader();
    if (!leader || !m_nodes[index].durable ||
        m_nodes[*leader].raft->current_term() != m_invariants.last_leader_term()) {
        return false;
    }
    // A configuration that any replica still has in its log may become active again.
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const sim_node& node) {
        if (!node.durable) {
            return true;
        }
        if (!node.up || node.paused_until > m_now) {
            return false;
        }
        const auto& voters = node.raft->config().voters;
        const auto intact = std::count_if(voters.begin(), voters.end(), [&](const member& voter) {
            const std::size_t other = index_of(voter.id);
            return other != index && m_nodes[other].self == voter;
        });
        return voters.empty() || static_cast<std::size_t>(intact) >= voters.size() / 2 + 1;
    });
}

bool sim_cluster::lose_disk(std::size_t index)
{
    if (!can_lose_disk(index)) {
        return false;
    }
    crash(index);
    m_nodes[index].disk = sim_disk{};
    m_nodes[index].self.incarnation = fresh_incarnation();
    return true;
}

void sim_cluster::submit(std::size_t index, event input)
{
    sim_node& node = m_nodes[index];
    if (!node.up) {
        return;
    }
    if (node.paused_until > m_now) {
        node.queued_events.push_back(std::move(input));
        return;
    }
    process(index, std::move(input));
}

void sim_cluster::process(std::size_t index, event input)
{
    sim_node& node = m_nodes[index];
    process_effects(index, node.raft->step(local_time(node, m_now), std::move(input)));
}

void sim_cluster::process_effects(std::size_t index, effects out)
{
    sim_node& node = m_nodes[index];
    node.contact = out.contact;
    for (const outgoing_message& message : out.messages) {
        m_invariants.on_message(message.message);
        send(index, message);
    }
    if (out.persist) {
        persist(index, std::move(*out.persist));
    }
    if (out.role && out.role->role == replica_role::leader) {
        on_leader(index);
    }
    for (const proposal_result& result : out.proposals) {
        handle_proposal_result(index, result);
    }
    for (const log_entry& entry : out.committed) {
        m_invariants.on_commit(entry, node.raft->current_term());
        apply(index, entry);
    }
    for (const read_result& result : out.reads) {
        handle_read_result(index, result);
    }
    for (const snapshot_effect& effect : out.snapshots) {
        handle_snapshot_effect(index, effect);
    }
}

void sim_cluster::send(std::size_t from, const outgoing_message& out)
{
    const std::size_t to = index_of(out.to);
    if (to >= m_nodes.size() || m_network.cut_links.count({from, to}) != 0 ||
        m_random.chance(m_network.drop)) {
        return;
    }
    const bool twice = m_random.chance(m_network.duplicate);
    deliver_later(to, out.message);
    if (twice) {
        deliver_later(to, out.message);
    }
}

void sim_cluster::deliver_later(std::size_t to, const proto::ConsensusMessage& message)
{
    const std::uint64_t limit = m_random.chance(m_network.delay) ? 200'000 : 1'500;
    const auto delay = static_cast<sim_time>(100 + m_random.below(limit));
    at(m_now + delay, [this, to, message] { submit(to, message_received{message}); });
}

void sim_cluster::persist(std::size_t index, persist_request request)
{
    sim_node& node = m_nodes[index];
    m_invariants.on_entries(node.log, request);
    node.log.apply(request);
    const storage_sequence sequence = request.sequence;
    if (request.hard_state && m_random.chance(m_crash_during_writes)) {
        const sim_time restart = m_now + 5'000 + static_cast<sim_time>(m_random.below(100'000));
        schedule_for(index, static_cast<sim_time>(m_random.below(1'000)),
                     [this, index] { crash(index); });
        at(restart, [this, index] { start(index); });
    }
    node.disk.pending.push_back(std::move(request));
    const std::uint64_t limit = m_random.chance(0.05) ? 100'000 : 2'000;
    const auto delay = static_cast<sim_time>(200 + m_random.below(limit));
    schedule_for(index, delay, [this, index, sequence] {
        m_nodes[index].disk.sync_through(sequence);
        submit(index, storage_done{sequence});
    });
}

void sim_cluster::on_leader(std::size_t index)
{
    const sim_node& node = m_nodes[index];
    m_invariants.on_leader(node.self, node.raft->current_term(), node.log);
    for (const sim_node& other : m_nodes) {
        const auto& lease = other.contact.lease_valid_until;
        // A leader of an earlier term that was elected by delayed votes can neither commit nor
        // serve reads.
        const bool earlier = other.up && other.raft->current_term() < node.raft->current_term();
        if (earlier && lease && true_time(other, *lease) > m_now + 10) {
            throw violation(absl::StrCat("lease: ", node.self.id.str(), " was elected at ", m_now,
                                         " us while ", other.self.id.str(), " holds a lease until ",
                                         true_time(other, *lease), " us"));
        }
    }
    if (m_on_new_leader) {
        m_on_new_leader(index);
    }
}

void sim_cluster::check_contact_times() const
{
    const auto leader = newest_leader();
    if (!leader || m_nodes[*leader].raft->current_term() != m_invariants.last_leader_term()) {
        return;
    }
    const sim_node& leading = m_nodes[*leader];
    for (const member_status& status : leading.raft->members(local_time(leading, m_now))) {
        const sim_node& node = m_nodes[index_of(status.member.id)];
        if (!node.up || !node.contact.confirmed_contact || &node == &leading) {
            continue;
        }
        const sim_time confirmed = true_time(node, *node.contact.confirmed_contact);
        const sim_time answered = true_time(leading, status.last_response);
        if (confirmed > answered + 10) {
            throw violation(absl::StrCat("member lease: ", node.self.id.str(), " starts at ",
                                         confirmed, " us, for its leader at ", answered, " us"));
        }
    }
}

std::optional<std::size_t> sim_cluster::newest_leader() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const sim_node& node = m_nodes[i];
        const bool leads = node.up && node.raft->role() == replica_role::leader;
        if (leads && (!best || node.raft->current_term() > m_nodes[*best].raft->current_term())) {
            best = i;
        }
    }
    return best;
}

void sim_cluster::repair()
{
    const auto leader = newest_leader();
    if (!leader || m_nodes[*leader].paused_until > m_now) {
        return;
    }
    const sim_node& leading = m_nodes[*leader];
    repair_view view;
    view.now = local_time(leading, m_now);
    view.leader = leading.self.id;
    view.members = leading.raft->members(view.now);
    view.change_pending = !leading.raft->is_config_committed();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].durable && m_nodes[i].up) {
            view.hosts.push_back({m_nodes[i].self, domain_of(i), true});
        }
    }
    repair_settings settings;
    settings.target_voters = m_nodes.size() >= 6 ? 5 : 3;
    settings.lost_voter_timeout = std::chrono::milliseconds{600};
    settings.presence_timeout = std::chrono::milliseconds{250};
    if (const auto change = repair_planner{settings}.plan(view)) {
        submit(*leader, change_membership{request_tag{}, *change});
    }
}

} // namespace lovagebeam::consensus::test
