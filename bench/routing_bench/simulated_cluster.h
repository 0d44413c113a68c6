#pragma once

#include "lovagebeam/routing/router.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagebeam::bench {

using namespace std::chrono_literals;
using base::duration;
using base::time_point;

/// The role of a router to which the processor time of a step is attributed.
enum class router_role : std::uint8_t { entry, owner, home, other };

struct cluster_options {
    std::uint64_t seed = 1;
    std::uint32_t hosts = 12;
    std::uint32_t targets = 50;
    std::uint32_t slots = 8;
    duration network = 500us; ///< one-way latency; a round trip takes 1 ms
};

class cluster_limits : public routing::limits_source {
public:
    [[nodiscard]] routing::team_limits team(const base::team_id& /*team*/) const override
    {
        routing::team_limits limits;
        limits.upper_limit_slots = 1'000'000;
        limits.queue_limit = 100'000;
        return limits;
    }
    [[nodiscard]] bool is_target_draining(const base::target_id& /*target*/) const override
    {
        return false;
    }
    [[nodiscard]] bool is_host_draining(const base::node_id& /*host*/) const override
    {
        return false;
    }
    [[nodiscard]] std::chrono::milliseconds longest_deadline() const override { return 30s; }
};

struct call_record {
    routing::work_class priority = routing::work_class::batch;
    duration service{};
    time_point called;
    time_point started;
    bool is_answered = false;
    routing::outcome result = routing::outcome::unknown;
};

/// Simulates entry hosts, each with a router, and targets that never fail, on virtual time.
/// Measures the processor time of each router step.
class simulated_cluster {
public:
    explicit simulated_cluster(const cluster_options& options);

    void call(const std::string& team, routing::work_class priority, duration service,
              duration timeout, const std::string& key = {});
    void run_for(duration time);

    [[nodiscard]] const std::vector<call_record>& calls() const { return m_calls; }
    [[nodiscard]] std::uint64_t cpu_ns(router_role role) const
    {
        return m_cpu_ns.at(static_cast<std::size_t>(role));
    }
    [[nodiscard]] std::uint64_t tick_ns() const { return m_tick_ns; }
    [[nodiscard]] std::uint64_t ticks() const { return m_ticks; }
    void reset_measurements();
    base::random_source& random() { return m_random; }

private:
    void run_after(duration delay, std::function<void()> action);
    void deliver(std::uint32_t host, routing::event input, router_role role);
    void execute(std::uint32_t host, routing::effect&& item);
    void handle(std::uint32_t host, routing::answer_caller&& item);
    void handle(std::uint32_t host, routing::send_peer&& item);
    void handle(std::uint32_t host, routing::start_attempt&& item);
    void handle(std::uint32_t host, routing::fence_target&& item);
    template <class Other>
    void handle(std::uint32_t /*host*/, Other&& /*item*/)
    {
    }
    void tick(std::uint32_t host);
    void announce(std::uint32_t target);

    struct scheduled_action {
        time_point at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const scheduled_action& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    cluster_options m_options;
    base::random_source m_random;
    cluster_limits m_limits;
    std::vector<routing::router> m_routers;
    std::map<std::string, std::uint32_t> m_index;
    std::vector<call_record> m_calls;
    std::array<std::uint64_t, 4> m_cpu_ns{};
    std::uint64_t m_tick_ns = 0;
    std::uint64_t m_ticks = 0;
    time_point m_now{1h};
    std::uint64_t m_next_number = 0;
    std::priority_queue<scheduled_action, std::vector<scheduled_action>, std::greater<>> m_actions;
};

} // namespace lovagebeam::bench
