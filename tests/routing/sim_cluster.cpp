#include "sim_cluster.h"

#include <algorithm>

namespace lovagebeam::test {
namespace {

using namespace routing;

/// Leases are shorter than in production to keep the runs short; the relations between the times
/// are the same.
constexpr duration member_lease = 495ms;
constexpr duration removal_timeout = 505ms;
constexpr duration contact_interval = 60ms;

} // namespace

sim_cluster::sim_cluster(const sim_options& options) : m_options{options}, m_random{options.seed}
{
    m_limits.defaults.max_deadline = 1s;
    m_limits.defaults.result_retention = 600s;
    m_settings.member_lease = member_lease;
    m_settings.fence_timeout = 200ms;
    service = [this](const std::string&) -> duration {
        return std::chrono::microseconds{m_random.between(1000, 30'000)};
    };
    for (std::uint32_t i = 0; i < options.targets; ++i) {
        m_targets.push_back(std::make_unique<sim_target>(m_clock, m_ground_truth, m_limits,
                                                         "t" + std::to_string(i), options.slots));
        m_clock.after(std::chrono::milliseconds{m_random.below(50)}, [this, i] { announce(i); });
    }
    m_hosts.resize(options.hosts);
    for (std::uint32_t i = 0; i < options.hosts; ++i) {
        m_hosts[i].id = base::node_id{"h" + std::to_string(i)};
        start(i);
        m_hosts[i].last_contact = m_clock.now();
        m_hosts[i].joined_instance = m_hosts[i].instance;
    }
    commit_epoch();
    m_clock.after(10ms, [this] { run_leader(); });
}

duration sim_cluster::delay()
{
    return m_options.min_delay +
           duration{static_cast<std::int64_t>(m_random.below(
               static_cast<std::uint64_t>((m_options.max_delay - m_options.min_delay).count()) +
               1))};
}

void sim_cluster::start(std::uint32_t index)
{
    sim_host& item = m_hosts[index];
    ++item.instance;
    item.is_alive = true;
    item.is_drained = false;
    item.epoch_seen = 0;
    item.calls.clear();
    item.router.emplace(router_builder{item.id}
                            .with_settings(m_settings)
                            .with_limits(m_limits)
                            .with_seed(m_random.next())
                            .build());
    tick(index, item.instance);
    contact(index, item.instance);
}

void sim_cluster::feed(std::uint32_t index, std::uint64_t instance, event input)
{
    sim_host& item = m_hosts[index];
    if (!item.is_alive || item.instance != instance) {
        return;
    }
    if (m_clock.now() < item.paused_until) {
        auto deferred = std::make_shared<event>(std::move(input));
        m_clock.after(item.paused_until - m_clock.now(), [this, index, instance, deferred] {
            feed(index, instance, std::move(*deferred));
        });
        return;
    }
    effects out = item.router->step(m_clock.now(), std::move(input));
    for (auto& effect : out) {
        execute(index, std::move(effect));
    }
}

void sim_cluster::feed_later(std::uint32_t index, event input, duration wait)
{
    auto deferred = std::make_shared<event>(std::move(input));
    const std::uint64_t instance = m_hosts[index].instance;
    m_clock.after(
        wait, [this, index, instance, deferred] { feed(index, instance, std::move(*deferred)); });
}

void sim_cluster::tick(std::uint32_t index, std::uint64_t instance)
{
    sim_host& item = m_hosts[index];
    if (!item.is_alive || item.instance != instance) {
        return;
    }
    if (m_clock.now() >= item.paused_until) {
        feed(index, instance, routing::tick{});
    }
    m_clock.after(m_options.tick, [this, index, instance] { tick(index, instance); });
}

void sim_cluster::announce(std::uint32_t index)
{
    sim_target& target = *m_targets[index];
    const auto host = static_cast<std::uint32_t>(m_random.below(m_hosts.size()));
    if (target.is_reachable() && !is_target_partitioned(host, target.id())) {
        target_info info;
        info.target = base::target_id{target.id()};
        info.address = "10.0.0.1";
        info.port = 1;
        info.slots = target.slots();
        feed_later(host, target_announced{std::move(info), target.is_leaving(), {}}, delay());
    }
    m_clock.after(500ms, [this, index] { announce(index); });
}

std::uint64_t sim_cluster::call(std::uint32_t index, caller_request request)
{
    const std::uint64_t caller = m_next_caller++;
    request.caller = caller_id{caller};
    sim_ground_truth::request& record = m_ground_truth.requests[caller];
    request.body = request.team.str() + '|' + request.key.str() +
                   (request.repeatable ? "|many|" : "|once|") + std::to_string(caller);
    record.team = request.team.str();
    record.key = request.key.str();
    record.repeatable = request.repeatable;
    record.body = request.body;
    record.host = m_hosts[index].id.str();
    record.is_lost = !m_hosts[index].is_alive;
    feed_later(index, std::move(request), 0ms);
    return caller;
}

void sim_cluster::query(std::uint32_t index, std::uint64_t caller, const std::string& team,
                        const std::string& key)
{
    feed_later(index,
               result_query{caller_id{caller}, base::team_id{team}, base::idempotency_key{key}},
               0ms);
}

void sim_cluster::crash(std::uint32_t index)
{
    if (m_hosts[index].is_alive) {
        end_process(index, std::chrono::milliseconds{m_random.between(20, 1500)});
    }
}

void sim_cluster::end_process(std::uint32_t index, duration away)
{
    sim_host& item = m_hosts[index];
    item.is_alive = false;
    for (auto& [caller, record] : m_ground_truth.requests) {
        if (record.host == item.id.str() && record.answers == 0) {
            record.is_lost = true;
        }
    }
    for (const auto& [attempt, target] : item.calls) {
        m_targets[target]->close(item.id.str(), attempt);
    }
    m_clock.after(away, [this, index] {
        m_hosts[index].is_leaving = false;
        start(index);
    });
}

void sim_cluster::pause(std::uint32_t index, duration time)
{
    m_hosts[index].paused_until = std::max(m_hosts[index].paused_until, m_clock.now() + time);
}

void sim_cluster::partition(std::uint32_t first, std::uint32_t second, duration time)
{
    m_partitions[{std::min(first, second), std::max(first, second)}] = m_clock.now() + time;
}

void sim_cluster::isolate_from_leader(std::uint32_t index, duration time)
{
    m_hosts[index].isolated_until = m_clock.now() + time;
}

void sim_cluster::partition_target(std::uint32_t host, std::uint32_t target, duration time)
{
    m_target_partitions[{host, m_targets[target]->id()}] = m_clock.now() + time;
}

void sim_cluster::shut_down(std::uint32_t index)
{
    m_hosts[index].is_leaving = true;
    feed_later(index, shutdown_requested{}, 0ms);
    m_clock.after(20ms, [this] { commit_epoch(); });
}

void sim_cluster::heal()
{
    m_partitions.clear();
    m_target_partitions.clear();
    m_options.drop_probability = 0;
    m_options.duplicate_probability = 0;
    m_options.max_delay = 2ms;
    for (auto& item : m_hosts) {
        item.isolated_until = m_clock.now();
    }
    for (auto& target : m_targets) {
        target->mode = target_mode::normal;
    }
}

std::string sim_cluster::describe() const
{
    std::string text;
    for (const auto& item : m_hosts) {
        const router_stats stats = item.router->stats();
        text += "\n" + item.id.str() + " epoch=" + std::to_string(stats.number.value()) +
                " ready=" + std::to_string(stats.is_ready) +
                " lease=" + std::to_string(stats.is_lease_valid) +
                " owner_waiting=" + std::to_string(stats.owner_waiting) +
                " owner_running=" + std::to_string(stats.owner_running) +
                " targets=" + std::to_string(stats.home_targets) +
                " home_waiting=" + std::to_string(stats.home_waiting) +
                " home_running=" + std::to_string(stats.home_running) +
                " ejected=" + std::to_string(stats.home_ejected);
    }
    return text;
}

bool sim_cluster::is_partitioned(std::uint32_t first, std::uint32_t second) const
{
    const auto found = m_partitions.find({std::min(first, second), std::max(first, second)});
    return found != m_partitions.end() && m_clock.now() < found->second;
}

bool sim_cluster::is_target_partitioned(std::uint32_t host, const std::string& target) const
{
    const auto found = m_target_partitions.find({host, target});
    return found != m_target_partitions.end() && m_clock.now() < found->second;
}

sim_target& sim_cluster::target_of(const std::string& id)
{
    return **std::ranges::find_if(m_targets, [&](const auto& item) { return item->id() == id; });
}

std::uint32_t sim_cluster::index_of(const base::node_id& id) const
{
    const auto found = std::ranges::find(m_hosts, id, &sim_host::id);
    return static_cast<std::uint32_t>(found - m_hosts.begin());
}

// Simulation of the replicated state and its leader.

void sim_cluster::run_leader()
{
    bool has_change = false;
    for (auto& item : m_hosts) {
        const bool is_member = std::ranges::find(m_members, item.id) != m_members.end();
        const bool is_timed_out = m_clock.now() - item.last_contact > removal_timeout;
        has_change = has_change || (is_member && is_timed_out) ||
                     (!is_timed_out && !item.is_leaving &&
                      (!is_member || item.joined_instance != item.instance));
    }
    if (has_change) {
        commit_epoch();
    }
    m_clock.after(10ms, [this] { run_leader(); });
}

void sim_cluster::commit_epoch()
{
    ++m_epoch;
    m_members.clear();
    for (auto& item : m_hosts) {
        const bool is_timed_out = m_clock.now() - item.last_contact > removal_timeout;
        if (!is_timed_out && !item.is_leaving) {
            m_members.push_back(item.id);
            item.joined_instance = item.instance;
        }
    }
    m_epoch_intents.clear();
    for (const auto& [attempt, record] : m_intents) {
        m_epoch_intents.push_back(record);
    }
}

void sim_cluster::contact(std::uint32_t index, std::uint64_t instance)
{
    sim_host& item = m_hosts[index];
    if (!item.is_alive || item.instance != instance) {
        return;
    }
    const time_point request_sent_at = m_clock.now();
    if (request_sent_at >= item.paused_until && request_sent_at >= item.isolated_until) {
        m_clock.after(delay(), [this, index, instance, request_sent_at] {
            m_hosts[index].last_contact = m_clock.now();
            const duration back = delay();
            m_clock.after(back, [this, index, instance, request_sent_at] {
                feed(index, instance, leader_contact{request_sent_at});
                apply_epoch(index);
            });
        });
    }
    m_clock.after(contact_interval, [this, index, instance] { contact(index, instance); });
}

void sim_cluster::apply_epoch(std::uint32_t index)
{
    sim_host& item = m_hosts[index];
    if (!item.is_alive || item.epoch_seen >= m_epoch || m_clock.now() < item.paused_until) {
        return;
    }
    item.epoch_seen = m_epoch;
    feed(index, item.instance,
         epoch_installed{base::epoch{m_epoch}, m_members, item.joined_instance == item.instance,
                         m_epoch_intents});
}

std::size_t sim_cluster::count(outcome result) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_ground_truth.requests, [&](const auto& item) {
            return item.second.answers == 1 && item.second.result == result;
        }));
}

void sim_cluster::check_answers() const
{
    for (const auto& [caller, record] : m_ground_truth.requests) {
        const std::string name = "caller " + std::to_string(caller) + " of " + record.host;
        check_guarantee(record.answers == 1 || record.is_lost, name + " has no answer");
        if (record.answers == 1 && record.result == outcome::not_run) {
            check_guarantee(!m_ground_truth.starts_of_body.contains(record.body),
                            name + " got not_run (" + record.code + ") but the work ran");
        }
    }
}

} // namespace lovagebeam::test
