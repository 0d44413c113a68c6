#include "simulated_cluster.h"

#include "routing.pb.h"

#include <ctime>
#include <utility>

namespace lovagebeam::bench {
namespace {

using namespace routing;

/// Returns the processor time of this thread, which other load on the machine doesn't affect.
std::uint64_t thread_cpu_ns()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000U +
           static_cast<std::uint64_t>(time.tv_nsec);
}

/// Returns the role that handles a message.
router_role receiving_role(const std::string& bytes)
{
    proto::RoutingMessage message;
    message.ParseFromString(bytes);
    using kind = proto::RoutingMessage;
    switch (message.content_case()) {
    case kind::kSubmitAccepted:
    case kind::kSubmitEnded:
        return router_role::entry;
    case kind::kSubmit:
    case kind::kSubmitPoll:
    case kind::kSubmitEndedAck:
    case kind::kAttemptProgress:
    case kind::kAttemptEnded:
        return router_role::owner;
    case kind::kDispatch:
    case kind::kAttemptPoll:
    case kind::kAttemptEndedAck:
        return router_role::home;
    default:
        return router_role::other;
    }
}

} // namespace

simulated_cluster::simulated_cluster(const cluster_options& options)
    : m_options{options}, m_random{options.seed}
{
    std::vector<base::node_id> members;
    for (std::uint32_t i = 0; i < options.hosts; ++i) {
        members.emplace_back("entry-" + std::to_string(i));
        m_index[members.back().str()] = i;
        m_routers.push_back(router_builder{members.back()}
                                .with_limits(m_limits)
                                .with_seed(m_random.next())
                                .build());
    }
    for (std::uint32_t i = 0; i < options.hosts; ++i) {
        deliver(i, leader_contact{m_now + 24h}, router_role::other);
        deliver(i, epoch_installed{base::epoch{1}, members, true, {}}, router_role::other);
        run_after(std::chrono::microseconds{m_random.below(10'000)}, [this, i] { tick(i); });
    }
    for (std::uint32_t i = 0; i < options.targets; ++i) {
        run_after(std::chrono::microseconds{m_random.below(500'000)}, [this, i] { announce(i); });
    }
}

void simulated_cluster::run_after(duration delay, std::function<void()> action)
{
    m_actions.push({m_now + delay, m_next_number++, std::move(action)});
}

void simulated_cluster::run_for(duration time)
{
    const time_point end = m_now + time;
    while (!m_actions.empty() && m_actions.top().at <= end) {
        auto item = std::move(const_cast<scheduled_action&>(m_actions.top()));
        m_actions.pop();
        m_now = item.at;
        item.action();
    }
    m_now = end;
}

void simulated_cluster::reset_measurements()
{
    m_cpu_ns = {};
    m_tick_ns = 0;
    m_ticks = 0;
}

void simulated_cluster::deliver(std::uint32_t host, event input, router_role role)
{
    const bool is_tick = std::holds_alternative<routing::tick>(input);
    const std::uint64_t begin = thread_cpu_ns();
    effects out = m_routers[host].step(m_now, std::move(input));
    const std::uint64_t ns = thread_cpu_ns() - begin;
    m_cpu_ns.at(static_cast<std::size_t>(role)) += ns;
    if (is_tick) {
        m_tick_ns += ns;
        ++m_ticks;
    }
    for (auto& item : out) {
        execute(host, std::move(item));
    }
}

void simulated_cluster::execute(std::uint32_t host, effect&& item)
{
    std::visit([&](auto&& output) { handle(host, std::forward<decltype(output)>(output)); },
               std::move(item));
}

void simulated_cluster::handle(std::uint32_t /*host*/, answer_caller&& item)
{
    call_record& record = m_calls.at(item.caller.value());
    record.is_answered = true;
    record.result = item.result;
}

void simulated_cluster::handle(std::uint32_t host, send_peer&& item)
{
    const std::uint32_t to = m_index.at(item.to.str());
    const router_role role = receiving_role(item.bytes);
    auto bytes = std::make_shared<std::string>(std::move(item.bytes));
    run_after(m_options.network, [this, host, to, bytes, role] {
        deliver(to, peer_message{base::node_id{"entry-" + std::to_string(host)}, std::move(*bytes)},
                role);
    });
}

void simulated_cluster::handle(std::uint32_t host, start_attempt&& item)
{
    auto order = std::make_shared<start_attempt>(std::move(item));
    run_after(m_options.network, [this, host, order] {
        call_record& record = m_calls.at(std::stoull(order->body));
        record.started = m_now;
        run_after(record.service + m_options.network, [this, host, order] {
            deliver(host,
                    attempt_ended{order->attempt, attempt_result::answered, std::string(100, 'a'),
                                  200, false},
                    router_role::home);
        });
    });
}

void simulated_cluster::handle(std::uint32_t host, fence_target&& item)
{
    run_after(m_options.network * 2, [this, host, target = item.target, number = item.number] {
        deliver(host, fence_answered{target, number, fence_result::fenced, {}}, router_role::other);
    });
}

void simulated_cluster::tick(std::uint32_t host)
{
    deliver(host, routing::tick{}, router_role::other);
    run_after(10ms, [this, host] { tick(host); });
}

void simulated_cluster::announce(std::uint32_t target)
{
    target_info info;
    info.target = base::target_id{"runner-" + std::to_string(target)};
    info.address = "10.0.0.1";
    info.port = 8080;
    info.slots = m_options.slots;
    deliver(static_cast<std::uint32_t>(m_random.below(m_options.hosts)),
            target_announced{std::move(info), false, {}}, router_role::other);
    run_after(500ms, [this, target] { announce(target); });
}

void simulated_cluster::call(const std::string& team, work_class priority, duration service,
                             duration timeout, const std::string& key)
{
    call_record record;
    record.priority = priority;
    record.service = service;
    record.called = m_now;
    caller_request request;
    request.caller = caller_id{m_calls.size()};
    request.team = base::team_id{team};
    request.key = base::idempotency_key{key};
    request.priority = priority;
    request.timeout = timeout;
    request.body = std::to_string(m_calls.size()) + std::string(100, ' ');
    m_calls.push_back(record);
    deliver(static_cast<std::uint32_t>(m_random.below(m_options.hosts)), std::move(request),
            router_role::entry);
}

} // namespace lovagebeam::bench
