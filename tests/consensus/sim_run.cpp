#include "sim_run.h"

#include "sim_cluster.h"

#include <absl/strings/str_cat.h>

namespace lovagebeam::consensus::test {

namespace {

constexpr sim_time fault_time = 2'500'000;
/// Without faults, a leader is elected and the voters' logs are brought up to date within this
/// time.
constexpr sim_time recovery_time = 3'000'000;

sim_setup random_setup(base::random_source& random)
{
    sim_setup setup;
    setup.voters = random.chance(0.3) ? 5 : 3;
    setup.spares = random.below(2);
    setup.diskless = random.below(2);
    // Large drift and short timeouts make the lease's safety margin large enough for random runs to
    // hit it.
    setup.timing.clock_drift = random.chance(0.4) ? 0.2 : 0.01;
    if (random.chance(0.5)) {
        setup.timing.election_timeout_max = std::chrono::milliseconds{330};
    }
    setup.timing.max_batch_entries = random.chance(0.5) ? 1 : 1 + random.below(8);
    // Without new entries, a member that alone lost contact with the leader can win an election,
    // since its log isn't shorter.
    setup.max_writer_pause = random.chance(0.3) ? 800'000 : 25'000;
    setup.timing.max_inflight_messages = 1 + random.below(4);
    setup.timing.snapshot_chunk_bytes = 16 + random.below(100);
    setup.timing.retained_entries = random.below(20);
    setup.timing.promotion_lag = 10;
    return setup;
}

/// Injects random faults into one group.
class fault_source {
public:
    fault_source(sim_cluster& cluster, base::random_source random)
        : m_cluster{cluster}, m_random{random}
    {
    }

    void schedule(sim_time start, sim_time end)
    {
        for (sim_time time = start; time < end;
             time += static_cast<sim_time>(20'000 + m_random.below(180'000))) {
            m_cluster.at(time, [this] { inject(); });
        }
    }

    /// Crashes or isolates leaders within a few milliseconds of their election, when only some logs
    /// contain the entries of their own and of earlier terms.
    void disrupt_new_leaders()
    {
        m_cluster.on_new_leader([this](std::size_t index) {
            if (m_cluster.now() < fault_time && m_random.chance(0.6)) {
                m_cluster.at(m_cluster.now() + static_cast<sim_time>(m_random.below(12'000)),
                             [this, index] { disrupt(index); });
            }
        });
    }

    void heal()
    {
        m_cluster.on_new_leader(nullptr);
        m_cluster.crash_during_writes(0.0);
        m_cluster.network() = network_faults{};
        for (std::size_t i = 0; i < m_cluster.nodes().size(); ++i) {
            m_cluster.start(i);
        }
    }

private:
    std::size_t any_node() { return m_random.below(m_cluster.nodes().size()); }

    /// Prefers the leader, since faults of the leader are most likely to reveal errors.
    std::size_t leader_or_any()
    {
        const auto leader = m_cluster.newest_leader();
        return leader && m_random.chance(0.5) ? *leader : any_node();
    }

    void inject()
    {
        switch (m_random.below(15)) {
        case 0:
        case 1:
            return crash_and_restart(leader_or_any());
        case 2:
            return m_cluster.pause(leader_or_any(),
                                   static_cast<sim_time>(10'000 + m_random.below(900'000)));
        case 3:
        case 4:
            return isolate(leader_or_any());
        case 5:
            return cut_pair();
        case 6:
            return partition();
        case 7:
            m_cluster.network() = network_faults{};
            return;
        case 8:
            m_cluster.network().drop = m_random.unit() * 0.3;
            m_cluster.network().duplicate = m_random.unit() * 0.3;
            m_cluster.network().delay = m_random.unit() * 0.3;
            return;
        case 9:
            return m_cluster.save_snapshot(leader_or_any());
        case 10:
            return transfer();
        case 11:
            return change_members();
        case 12:
            return lose_disk();
        case 13:
            return restart_voters_during_election();
        default:
            return m_cluster.repair();
        }
    }

    void disrupt(std::size_t index)
    {
        if (m_random.chance(0.5)) {
            return crash_and_restart(index);
        }
        isolate(index);
        m_cluster.at(m_cluster.now() + static_cast<sim_time>(m_random.below(700'000)),
                     [this] { m_cluster.network().cut_links.clear(); });
    }

    void crash_and_restart(std::size_t index)
    {
        m_cluster.crash(index);
        m_cluster.at(m_cluster.now() + static_cast<sim_time>(m_random.below(500'000)),
                     [this, index] { m_cluster.start(index); });
    }

    /// Isolates the previous leader while its TimeoutNow message is in flight.
    void transfer()
    {
        const std::size_t index = leader_or_any();
        m_cluster.submit(index, transfer_leadership{});
        if (m_random.chance(0.5)) {
            m_cluster.at(m_cluster.now() + static_cast<sim_time>(m_random.below(4'000)),
                         [this, index] { isolate(index); });
        }
    }

    /// Cuts one node off from the leader, so that it becomes a candidate, and restarts the others
    /// at about that time, so that they have no recorded contact with the leader.
    void restart_voters_during_election()
    {
        const auto leader = m_cluster.newest_leader();
        const std::size_t candidate = any_node();
        if (!leader || candidate == *leader) {
            return;
        }
        m_cluster.network().cut_links.insert({*leader, candidate});
        m_cluster.network().cut_links.insert({candidate, *leader});
        for (std::size_t i = 0; i < m_cluster.nodes().size(); ++i) {
            if (i != *leader && i != candidate) {
                const auto time =
                    m_cluster.now() + static_cast<sim_time>(230'000 + m_random.below(150'000));
                m_cluster.at(time, [this, i] { m_cluster.crash(i); });
                m_cluster.at(time + 5'000, [this, i] { m_cluster.start(i); });
            }
        }
    }

    void lose_disk()
    {
        const std::size_t index = leader_or_any();
        if (m_cluster.lose_disk(index)) {
            m_cluster.at(m_cluster.now() + static_cast<sim_time>(m_random.below(100'000)),
                         [this, index] { m_cluster.start(index); });
        }
    }

    void isolate(std::size_t index)
    {
        for (std::size_t other = 0; other < m_cluster.nodes().size(); ++other) {
            m_cluster.network().cut_links.insert({index, other});
            m_cluster.network().cut_links.insert({other, index});
        }
    }

    void cut_pair()
    {
        const std::size_t from = leader_or_any();
        const std::size_t to = any_node();
        m_cluster.network().cut_links.insert({from, to});
        if (m_random.chance(0.5)) {
            m_cluster.network().cut_links.insert({to, from});
        }
    }

    void partition()
    {
        std::vector<bool> side(m_cluster.nodes().size());
        for (std::size_t i = 0; i < side.size(); ++i) {
            side[i] = m_random.chance(0.5);
        }
        for (std::size_t a = 0; a < side.size(); ++a) {
            for (std::size_t b = 0; b < side.size(); ++b) {
                if (side[a] != side[b]) {
                    m_cluster.network().cut_links.insert({a, b});
                }
            }
        }
    }

    void change_members()
    {
        const auto leader = m_cluster.newest_leader();
        if (!leader || m_cluster.nodes()[*leader].paused_until > m_cluster.now()) {
            return;
        }
        const group_config config = m_cluster.nodes()[*leader].raft->config();
        membership_change change;
        if (m_random.chance(0.5) && !config.learners.empty()) {
            change = {change_kind::promote,
                      m_cluster.nodes()[node_of(config.learners.front())].self};
        }
        else {
            change = {m_random.chance(0.7) ? change_kind::demote : change_kind::remove_voter,
                      config.voters[m_random.below(config.voters.size())]};
        }
        if (change.kind == change_kind::promote || survives_without(config, change.member)) {
            m_cluster.submit(*leader, change_membership{request_tag{}, change});
        }
    }

    /// The leader can't know yet of a disk that was just lost. Removing another voter at this point
    /// loses the group, whatever the replica does.
    bool survives_without(const group_config& config, const member& removed)
    {
        std::size_t intact = 0;
        for (const member& voter : config.voters) {
            intact += voter != removed && m_cluster.nodes()[node_of(voter)].self == voter ? 1 : 0;
        }
        return intact >= (config.voters.size() - 1) / 2 + 1;
    }

    std::size_t node_of(const member& target)
    {
        std::size_t index = 0;
        while (m_cluster.nodes()[index].self.id != target.id) {
            ++index;
        }
        return index;
    }

    sim_cluster& m_cluster;
    base::random_source m_random;
};

void check_liveness(sim_cluster& cluster)
{
    const std::size_t before = cluster.completed_operations();
    const sim_time deadline = cluster.now() + recovery_time;
    while (cluster.now() < deadline && cluster.completed_operations() < before + 5) {
        cluster.run_until(cluster.now() + 50'000);
    }
    if (cluster.completed_operations() < before + 5) {
        throw violation(absl::StrCat("liveness: ", cluster.completed_operations() - before,
                                     " operations completed within ", recovery_time,
                                     " us after the faults"));
    }
}

} // namespace

run_result run_seed(std::uint64_t seed)
{
    base::random_source random{seed};
    const sim_setup setup = random_setup(random);
    sim_cluster cluster{setup, base::random_source{random.next()}};
    fault_source faults{cluster, base::random_source{random.next()}};
    run_result result;
    try {
        const bool disrupts_new_leaders = random.chance(0.4);
        if (disrupts_new_leaders) {
            faults.disrupt_new_leaders();
            cluster.crash_during_writes(random.unit() * 0.3);
        }
        if (!disrupts_new_leaders || random.chance(0.3)) {
            faults.schedule(400'000, fault_time);
        }
        cluster.run_until(fault_time);
        // Lets the restarts that are still scheduled complete.
        cluster.run_until(fault_time + 500'000);
        faults.heal();
        check_liveness(cluster);
        cluster.stop_clients();
        cluster.run_until(cluster.now() + 300'000);
        cluster.check_history();
    }
    catch (const violation& broken) {
        result.violation_text = broken.what();
    }
    result.operations = cluster.completed_operations();
    return result;
}

} // namespace lovagebeam::consensus::test
