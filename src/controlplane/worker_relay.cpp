#include "worker_relay.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/telemetry/log.h"

#include "relay_messages.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using std::chrono::milliseconds;
using telemetry::log_event;
using telemetry::severity;

/// With fewer workers the calls take only a small part of the leader's processor time.
constexpr std::size_t min_workers_for_relay = 120;
/// Time that relaying may add to the timeout of the call itself.
constexpr milliseconds relay_margin{400};
/// Maximum duration of a call to a worker, in addition to the wait of a hold.
constexpr milliseconds call_timeout{700};
/// How long a core process that lost an order gets no further ones.
constexpr std::chrono::seconds suspension_period{2};

pb::RelayOrder make_order(const jobs::worker_address& to, jobs::fencing_token token)
{
    pb::RelayOrder out;
    out.mutable_to()->set_worker(to.worker.str());
    out.mutable_to()->set_born_ms(to.started_at.time_since_epoch().count());
    out.mutable_to()->set_address(to.address);
    out.mutable_to()->set_port(to.port);
    out.set_token(token.value());
    return out;
}

std::string_view name_of(const pb::RelayOrder& order)
{
    if (order.has_start()) {
        return "start";
    }
    return order.has_stop() ? "stop" : "hold";
}

jobs::start_order start_from(const pb::RelayOrder& message)
{
    jobs::start_order out;
    out.to = from_proto(message.to());
    out.run = from_proto(message.start().run());
    out.payload = message.start().payload();
    out.checkpoint = message.start().checkpoint();
    out.ticket = message.start().ticket();
    out.deadline = jobs::worker_time{message.start().deadline_ms()};
    out.token = jobs::fencing_token{message.token()};
    return out;
}

jobs::hold_order hold_from(const pb::RelayOrder& message)
{
    jobs::hold_order out;
    out.to = from_proto(message.to());
    if (message.hold().has_deadline_ms()) {
        out.deadline = jobs::worker_time{message.hold().deadline_ms()};
    }
    out.cursor = message.hold().cursor();
    out.wait = milliseconds{message.hold().wait_ms()};
    out.token = jobs::fencing_token{message.token()};
    return out;
}

} // namespace

worker_relay::worker_relay(worker_port& workers, daemon::peer_sender& links,
                           daemon::decision_loop& loop)
    : m_workers{workers}, m_links{links}, m_loop{loop}
{
}

void worker_relay::set_cores(std::vector<std::string> cores)
{
    std::ranges::sort(cores);
    m_cores = std::move(cores);
}

std::string worker_relay::relay_for(const base::worker_id& worker) const
{
    if (m_worker_count < min_workers_for_relay || m_cores.empty()) {
        return {};
    }
    const auto first = std::hash<std::string>{}(worker.str());
    for (std::size_t i = 0; i < m_cores.size(); ++i) {
        const auto& core = m_cores[(first + i) % m_cores.size()];
        const auto suspended = m_suspended_until.find(core);
        const bool is_suspended = suspended != m_suspended_until.end() && m_now < suspended->second;
        if (!is_suspended && m_links.is_connected(base::node_id{core})) {
            return core;
        }
    }
    return {};
}

void worker_relay::forward(const std::string& relay, pb::RelayOrder order, milliseconds timeout,
                           std::function<void(const outcome*)> done)
{
    order.set_id(++m_last_id);
    m_pending.emplace(m_last_id,
                      pending_order{relay, base::boot_time() + timeout + relay_margin,
                                    std::move(done), name_of(order), order.to().worker()});
    *m_outgoing[relay].add_orders() = std::move(order);
}

void worker_relay::start(const jobs::start_order& order,
                         std::function<void(jobs::start_outcome)> done)
{
    const auto relay = relay_for(order.to.worker);
    if (relay.empty()) {
        m_workers.start(order, std::move(done));
        return;
    }
    auto message = make_order(order.to, order.token);
    auto& body = *message.mutable_start();
    *body.mutable_run() = to_proto(order.run);
    body.set_payload(order.payload);
    body.set_checkpoint(order.checkpoint);
    body.set_ticket(order.ticket);
    body.set_deadline_ms(order.deadline.count());
    forward(relay, std::move(message), call_timeout,
            [done = std::move(done)](const outcome* result) {
                done(result == nullptr ? jobs::start_outcome::unknown
                                       : static_cast<jobs::start_outcome>(result->outcome()));
            });
}

void worker_relay::stop(const jobs::stop_order& order, std::function<void(bool)> done)
{
    const auto relay = relay_for(order.to.worker);
    if (relay.empty()) {
        m_workers.stop(order, std::move(done));
        return;
    }
    auto message = make_order(order.to, order.token);
    *message.mutable_stop() = to_proto(order.run);
    forward(relay, std::move(message), call_timeout,
            [done = std::move(done)](const outcome* result) {
                done(result != nullptr && result->outcome() == 1);
            });
}

void worker_relay::hold(const jobs::hold_order& order,
                        std::function<void(jobs::hold_outcome, jobs::hold_answer)> done)
{
    const auto relay = order.is_direct ? std::string{} : relay_for(order.to.worker);
    if (relay.empty()) {
        m_workers.hold(order, std::move(done));
        return;
    }
    auto message = make_order(order.to, order.token);
    auto& body = *message.mutable_hold();
    if (order.deadline) {
        body.set_deadline_ms(order.deadline->count());
    }
    body.set_cursor(order.cursor);
    body.set_wait_ms(order.wait.count());
    forward(relay, std::move(message), call_timeout + order.wait,
            [done = std::move(done)](const outcome* result) {
                if (result == nullptr) {
                    done(jobs::hold_outcome::unknown, {});
                    return;
                }
                done(static_cast<jobs::hold_outcome>(result->outcome()), hold_answer_from(*result));
            });
}

void worker_relay::on_message(base::time_point now, const base::node_id& from,
                              std::string_view bytes)
{
    m_now = now;
    pb::RelayMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        log_event{severity::warning, "relay_message_malformed"}.with("peer", from.str()).write();
        return;
    }
    for (const auto& order : message.orders()) {
        execute(from, order);
    }
    for (const auto& result : message.outcomes()) {
        const auto found = m_pending.find(result.id());
        if (found == m_pending.end()) {
            continue;
        }
        const auto done = std::move(found->second.done);
        m_pending.erase(found);
        done(&result);
    }
}

// The callbacks run on the thread of the worker calls; the answers are sent from the decisions
// thread.
void worker_relay::execute(const base::node_id& from, const pb::RelayOrder& order)
{
    const auto post_answer = [this, from](outcome result) {
        m_loop.post_completion(
            [this, from, result = std::move(result)](base::time_point) { answer(from, result); });
    };
    outcome result;
    result.set_id(order.id());
    switch (order.body_case()) {
    case pb::RelayOrder::kStart:
        m_workers.start(start_from(order), [order, result, post_answer](auto how) mutable {
            if (how == jobs::start_outcome::fenced) {
                // The leader may have given up the order long ago, so that only this line tells.
                log_event{severity::info, "start_fenced"}
                    .with("job", jobs::format_job_id(from_proto(order.start().run()).task.job))
                    .with("worker", order.to().worker())
                    .with("token", order.token())
                    .write();
            }
            result.set_outcome(static_cast<std::uint32_t>(how));
            post_answer(std::move(result));
        });
        return;
    case pb::RelayOrder::kStop:
        m_workers.stop(
            {from_proto(order.to()), from_proto(order.stop()), jobs::fencing_token{order.token()}},
            [result, post_answer](bool is_done) mutable {
                result.set_outcome(is_done ? 1 : 0);
                post_answer(std::move(result));
            });
        return;
    case pb::RelayOrder::kHold:
        m_workers.hold(hold_from(order), [result, post_answer](auto how, auto list) mutable {
            result.set_outcome(static_cast<std::uint32_t>(how));
            write(list, result);
            post_answer(std::move(result));
        });
        return;
    case pb::RelayOrder::BODY_NOT_SET:
        return;
    }
}

void worker_relay::answer(const base::node_id& to, outcome result)
{
    *m_outgoing[to.str()].add_outcomes() = std::move(result);
}

void worker_relay::tick(base::time_point now)
{
    m_now = now;
    std::vector<pending_order> expired;
    std::erase_if(m_pending, [&](auto& entry) {
        if (now < entry.second.deadline) {
            return false;
        }
        expired.push_back(std::move(entry.second));
        return true;
    });
    for (const auto& order : expired) {
        auto& until = m_suspended_until[order.relay];
        if (now >= until) {
            log_event{severity::warning, "relay_suspended"}
                .with("core", order.relay)
                .with("order", order.kind)
                .with("worker", order.worker)
                .write();
        }
        until = now + suspension_period;
        order.done(nullptr);
    }
}

std::size_t worker_relay::suspended_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_suspended_until, [this](const auto& entry) { return m_now < entry.second; }));
}

void worker_relay::flush()
{
    for (const auto& [to, message] : std::exchange(m_outgoing, {})) {
        m_links.send(base::node_id{to}, peers::channel::routing, message.SerializeAsString());
    }
}

} // namespace lovagebeam::controlplane
