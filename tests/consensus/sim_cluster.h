#pragma once

#include "lovagebeam/consensus/repair_planner.h"
#include "lovagebeam/consensus/replica.h"

#include "sim_disk.h"
#include "sim_history.h"
#include "sim_invariants.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::consensus::test {

/// Parameters of one simulated group.
struct sim_setup {
    std::size_t voters = 3;
    std::size_t spares = 1;   ///< Learners with a disk.
    std::size_t diskless = 1; ///< Learners without a disk.
    replica_timing timing;
    sim_time max_writer_pause = 25'000; ///< Longest pause between a client's appends.
};

struct sim_node {
    member self;
    bool durable = true;
    bool up = false;
    sim_time paused_until = 0;
    /// Local time is offset + rate * true time.
    double rate = 1.0;
    sim_time offset = 0;
    std::uint64_t instance = 0;
    std::unique_ptr<replica> raft;
    sim_disk disk;
    sim_log_view log;
    std::vector<event> queued_events; // while paused
    // The state machine.
    lists state;
    log_index applied;
    std::string incoming_snapshot;
    // Clients' requests at this node.
    std::map<log_index, std::pair<term, std::size_t>> proposals;
    contact_times contact;
};

struct network_faults {
    double drop = 0.0;
    double duplicate = 0.0;
    double delay = 0.0; ///< Share of messages delayed by up to 200 ms, and so reordered.
    std::set<std::pair<std::size_t, std::size_t>> cut_links; ///< One-way, from and to.
};

/// Decodes a snapshot of the state machine.
lists decode_lists(const std::string& text);

/// Simulates a group of replicas with their network, disks, clocks and clients in memory.
/// Deterministic for a given random source.
class sim_cluster {
public:
    sim_cluster(const sim_setup& setup, base::random_source random);

    void run_until(sim_time end);
    [[nodiscard]] sim_time now() const { return m_now; }
    void at(sim_time time, std::function<void()> action);

    // Faults and operators' actions.
    network_faults& network() { return m_network; }
    std::vector<sim_node>& nodes() { return m_nodes; }
    void crash(std::size_t index);
    void start(std::size_t index);
    void pause(std::size_t index, sim_time length);
    /// Crashes the node and erases its disk, unless the group could not be expected to survive the
    /// loss.
    bool lose_disk(std::size_t index);
    void save_snapshot(std::size_t index);
    void submit(std::size_t index, event input);
    void repair();
    void stop_clients() { m_clients_run = false; }
    /// Probability that the node crashes during a write of the hard state, before or after the
    /// sync.
    void crash_during_writes(double share) { m_crash_during_writes = share; }
    /// Calls `action` with the node's index whenever a node becomes leader.
    void on_new_leader(std::function<void(std::size_t)> action)
    {
        m_on_new_leader = std::move(action);
    }
    [[nodiscard]] std::optional<std::size_t> newest_leader() const;
    [[nodiscard]] std::size_t completed_operations() const { return m_completed; }

    /// Checks the clients' history, and that the replicas that caught up have equal states.
    void check_history() const;

private:
    struct scheduled {
        sim_time time;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator<(const scheduled& a, const scheduled& b)
        {
            return std::make_pair(a.time, a.order) > std::make_pair(b.time, b.order);
        }
    };
    struct client {
        std::optional<std::size_t> running;
        std::size_t node = 0;
    };

    [[nodiscard]] static base::time_point local_time(const sim_node& node, sim_time time);
    [[nodiscard]] static sim_time true_time(const sim_node& node, base::time_point time);
    [[nodiscard]] std::size_t index_of(const base::node_id& id) const;
    [[nodiscard]] incarnation fresh_incarnation() { return incarnation{m_random.next() | 1U}; }
    [[nodiscard]] bool can_lose_disk(std::size_t index) const;
    void tick_node(std::size_t index);
    void resume(std::size_t index);
    void process(std::size_t index, event input);
    void process_effects(std::size_t index, effects out);
    void send(std::size_t from, const outgoing_message& out);
    void deliver_later(std::size_t to, const proto::ConsensusMessage& message);
    void persist(std::size_t index, persist_request request);
    void apply(std::size_t index, const log_entry& entry);
    void handle_proposal_result(std::size_t index, const proposal_result& result);
    void handle_read_result(std::size_t index, const read_result& result);
    void handle_snapshot_effect(std::size_t index, const snapshot_effect& effect);
    void install(std::size_t index, const snapshot_meta& meta);
    void check_contact_times() const;
    void on_leader(std::size_t index);
    void run_client(std::size_t client_index);
    void finish(std::size_t operation_index, operation_state state);
    void schedule_for(std::size_t index, sim_time delay, std::function<void()> action);

    base::random_source m_random;
    replica_timing m_timing;
    sim_time m_max_writer_pause;
    sim_time m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled> m_queue;
    network_faults m_network;
    std::vector<sim_node> m_nodes;
    double m_crash_during_writes = 0.0;
    std::function<void(std::size_t)> m_on_new_leader;
    sim_invariants m_invariants;
    std::vector<operation> m_operations;
    std::vector<client> m_clients{5};
    std::size_t m_completed = 0;
    bool m_clients_run = true;
};

} // namespace lovagebeam::consensus::test
