#include "fleet.h"

#include "routing.pb.h"

#include <ctime>
#include <utility>

namespace lovagebeam::bench {
namespace {

using namespace routing;

/// Processor time, so that other work on the machine is not counted.
std::uint64_t thread_ns()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1'000'000'000U +
           static_cast<std::uint64_t>(time.tv_nsec);
}

part part_of(const std::string& bytes)
{
    proto::RoutingMessage message;
    message.ParseFromString(bytes);
    using kind = proto::RoutingMessage;
    switch (message.content_case()) {
    case kind::kSubmitAccepted:
    case kind::kSubmitEnded:
        return part::entry;
    case kind::kSubmit:
    case kind::kSubmitPoll:
    case kind::kSubmitEndedAck:
    case kind::kAttemptProgress:
    case kind::kAttemptEnded:
        return part::owner;
    case kind::kDispatch:
    case kind::kAttemptPoll:
    case kind::kAttemptEndedAck:
        return part::home;
    default:
        return part::other;
    }
}

} // namespace

fleet::fleet(const fleet_options& options) : m_options{options}, m_random{options.seed}
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
        feed(i, leader_contact{m_now + 24h}, part::other);
        feed(i, epoch_installed{base::epoch{1}, members, true, {}}, part::other);
        after(std::chrono::microseconds{m_random.below(10'000)}, [this, i] { tick(i); });
    }
    for (std::uint32_t i = 0; i < options.targets; ++i) {
        after(std::chrono::microseconds{m_random.below(500'000)}, [this, i] { announce(i); });
    }
}

void fleet::after(duration delay, std::function<void()> action)
{
    m_due.push({m_now + delay, m_next++, std::move(action)});
}

void fleet::run_for(duration time)
{
    const time_point end = m_now + time;
    while (!m_due.empty() && m_due.top().at <= end) {
        auto item = std::move(const_cast<due&>(m_due.top()));
        m_due.pop();
        m_now = item.at;
        item.action();
    }
    m_now = end;
}

void fleet::reset_costs()
{
    m_cost = {};
    m_tick_ns = 0;
    m_ticks = 0;
}

void fleet::feed(std::uint32_t host, event what, part charged)
{
    const bool is_tick = std::holds_alternative<routing::tick>(what);
    const std::uint64_t begin = thread_ns();
    effects out = m_routers[host].step(m_now, std::move(what));
    const std::uint64_t ns = thread_ns() - begin;
    m_cost.at(static_cast<std::size_t>(charged)) += ns;
    if (is_tick) {
        m_tick_ns += ns;
        ++m_ticks;
    }
    for (auto& item : out) {
        carry_out(host, std::move(item));
    }
}

void fleet::carry_out(std::uint32_t host, effect&& item)
{
    std::visit([&](auto&& what) { handle(host, std::forward<decltype(what)>(what)); },
               std::move(item));
}

void fleet::handle(std::uint32_t /*host*/, answer_caller&& item)
{
    call_record& record = m_calls.at(item.caller.value());
    record.is_answered = true;
    record.result = item.result;
}

void fleet::handle(std::uint32_t host, send_peer&& item)
{
    const std::uint32_t to = m_index.at(item.to.str());
    const part charged = part_of(item.bytes);
    auto bytes = std::make_shared<std::string>(std::move(item.bytes));
    after(m_options.network, [this, host, to, bytes, charged] {
        feed(to, peer_message{base::node_id{"entry-" + std::to_string(host)}, std::move(*bytes)},
             charged);
    });
}

void fleet::handle(std::uint32_t host, start_attempt&& item)
{
    auto kept = std::make_shared<start_attempt>(std::move(item));
    after(m_options.network, [this, host, kept] {
        call_record& record = m_calls.at(std::stoull(kept->body));
        record.started = m_now;
        after(record.service + m_options.network, [this, host, kept] {
            feed(host,
                 attempt_ended{kept->attempt, attempt_result::answered, std::string(100, 'a'), 200,
                               false},
                 part::home);
        });
    });
}

void fleet::handle(std::uint32_t host, fence_target&& item)
{
    after(m_options.network * 2, [this, host, target = item.target, number = item.number] {
        feed(host, fence_answered{target, number, fence_result::fenced, {}}, part::other);
    });
}

void fleet::tick(std::uint32_t host)
{
    feed(host, routing::tick{}, part::other);
    after(10ms, [this, host] { tick(host); });
}

void fleet::announce(std::uint32_t target)
{
    target_info info;
    info.target = base::target_id{"runner-" + std::to_string(target)};
    info.address = "10.0.0.1";
    info.port = 8080;
    info.slots = m_options.slots;
    feed(static_cast<std::uint32_t>(m_random.below(m_options.hosts)),
         target_announced{std::move(info), false, {}}, part::other);
    after(500ms, [this, target] { announce(target); });
}

void fleet::call(const std::string& team, work_class priority, duration service, duration timeout,
                 const std::string& key)
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
    feed(static_cast<std::uint32_t>(m_random.below(m_options.hosts)), std::move(request),
         part::entry);
}

} // namespace lovagebeam::bench
