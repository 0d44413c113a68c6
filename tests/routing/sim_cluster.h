#pragma once

#include "sim_target.h"

#include <memory>
#include <optional>
#include <set>

namespace lovagebeam::test {

struct sim_options {
    std::uint64_t seed = 1;
    std::uint32_t hosts = 3;
    std::uint32_t targets = 6;
    std::uint32_t slots = 3;
    double drop_probability = 0;
    double duplicate_probability = 0;
    duration min_delay = 500us;
    duration max_delay = 2ms;
    duration tick = 10ms;
};

/// Simulates hosts with routers, targets, the replicated state with its leader, and the network
/// between them in virtual time.
class sim_cluster {
public:
    explicit sim_cluster(const sim_options& options);

    /// Sends a request to a host and returns its caller id.
    std::uint64_t call(std::uint32_t host, routing::caller_request request);
    void run_for(duration time) { m_clock.run_until(m_clock.now() + time); }

    // Faults.
    void crash(std::uint32_t host); ///< Restarts later as a new instance of the process.
    void pause(std::uint32_t host, duration time);
    void partition(std::uint32_t first, std::uint32_t second, duration time);
    void isolate_from_leader(std::uint32_t host, duration time);
    void partition_target(std::uint32_t host, std::uint32_t target, duration time);
    void shut_down(std::uint32_t host);
    void renew_epoch() { commit_epoch(); }               ///< Without a change of the members.
    void end_process(std::uint32_t host, duration away); ///< Restarts after `away` and joins.

    [[nodiscard]] bool is_drained(std::uint32_t host) const { return m_hosts[host].is_drained; }
    [[nodiscard]] routing::router_stats stats(std::uint32_t host) const
    {
        return m_hosts[host].router->stats();
    }
    [[nodiscard]] bool is_alive(std::uint32_t host) const { return m_hosts[host].is_alive; }
    void heal();
    [[nodiscard]] std::string describe() const; ///< Returns host counters for failure messages.

    /// Checks the answers. Must be called after all requests had time to end.
    void check_answers() const;
    [[nodiscard]] std::size_t count(routing::outcome result) const;

    sim_clock& clock() { return m_clock; }
    base::random_source& random() { return m_random; }
    sim_target& target(std::uint32_t index) { return *m_targets[index]; }
    sim_ground_truth& ground_truth() { return m_ground_truth; }
    sim_limits& limits() { return m_limits; }
    [[nodiscard]] const sim_options& options() const { return m_options; }
    std::function<duration(const std::string& body)> service;
    std::vector<routing::answer_query> query_answers;
    void query(std::uint32_t host, std::uint64_t caller, const std::string& team,
               const std::string& key);

private:
    struct sim_host {
        base::node_id id;
        std::optional<routing::router> router;
        std::uint64_t instance = 0;
        bool is_alive = true;
        bool is_leaving = false;
        bool is_drained = false;
        time_point paused_until;
        time_point isolated_until;
        time_point last_contact;           ///< When the leader last received a request from it.
        std::uint64_t joined_instance = 0; ///< The instance that the leader has as a member.
        std::uint64_t epoch_seen = 0;
        std::map<std::string, std::uint32_t> calls; ///< Target index by attempt in flight.
    };

    duration delay();
    void start(std::uint32_t index);
    void feed(std::uint32_t index, std::uint64_t instance, routing::event input);
    void feed_later(std::uint32_t index, routing::event input, duration wait);
    void tick(std::uint32_t index, std::uint64_t instance);
    void announce(std::uint32_t index);

    void execute(std::uint32_t index, routing::effect&& item);
    void handle(std::uint32_t index, routing::answer_caller&& item);
    void handle(std::uint32_t index, routing::answer_query&& item);
    void handle(std::uint32_t index, routing::send_peer&& item);
    void handle(std::uint32_t index, routing::start_attempt&& item);
    void send_run(std::uint32_t index, std::uint64_t instance,
                  const std::shared_ptr<routing::start_attempt>& item);
    void handle(std::uint32_t index, routing::fence_target&& item);
    void handle(std::uint32_t index, routing::query_attempt&& item);
    void handle(std::uint32_t index, routing::cancel_attempt&& item);
    void handle(std::uint32_t index, routing::commit_intent&& item);
    void handle(std::uint32_t index, routing::end_intent&& item);
    void handle(std::uint32_t index, routing::drained&& item);

    // Simulation of the replicated state.
    void run_leader();
    void commit_epoch();
    void contact(std::uint32_t index, std::uint64_t instance);
    void apply_epoch(std::uint32_t index);

    [[nodiscard]] bool is_partitioned(std::uint32_t first, std::uint32_t second) const;
    [[nodiscard]] bool is_target_partitioned(std::uint32_t host, const std::string& target) const;
    sim_target& target_of(const std::string& id);
    std::uint32_t index_of(const base::node_id& id) const;

    sim_options m_options;
    sim_clock m_clock;
    base::random_source m_random;
    sim_limits m_limits;
    sim_ground_truth m_ground_truth;
    routing::router_settings m_settings;
    std::vector<sim_host> m_hosts;
    std::vector<std::unique_ptr<sim_target>> m_targets;
    std::map<std::pair<std::uint32_t, std::uint32_t>, time_point> m_partitions;
    std::map<std::pair<std::uint32_t, std::string>, time_point> m_target_partitions;
    std::uint64_t m_epoch = 0;
    std::vector<base::node_id> m_members;
    std::map<std::string, routing::intent> m_intents; ///< By attempt.
    std::vector<routing::intent> m_epoch_intents;     ///< As of the current epoch.
    std::uint64_t m_next_caller = 1;
};

} // namespace lovagebeam::test
