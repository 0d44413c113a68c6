#include "sim_cell.h"

#include <algorithm>
#include <utility>

// Delivers the coordinator's orders to the simulated workers, and their answers.

namespace lovagebeam::jobs::test {
namespace {

constexpr auto hold_timeout = 600ms;
constexpr auto order_timeout = 700ms;
constexpr auto stop_time = 200ms;

} // namespace

void sim_cell::deliver(const worker_address& to, const std::function<void(sim_worker*)>& carry_out,
                       const std::function<void(bool)>& answer)
{
    if (random.chance(settings.lose_request)) {
        schedule(now + order_timeout, [answer] { answer(false); });
        return;
    }
    const bool is_late = random.chance(settings.apply_late);
    const bool is_lost = is_late || random.chance(settings.lose_answer);
    schedule(now + delay(), [this, to, carry_out, answer, is_lost, is_late] {
        const auto found = workers.find(to.worker);
        const bool is_reached =
            found != workers.end() && found->second.is_up && !found->second.is_partitioned;
        if (is_late && is_reached) {
            deliver_late(to, [carry_out](sim_worker& worker) { carry_out(&worker); });
            return;
        }
        if (is_reached) {
            carry_out(&found->second);
        }
        else if (found == workers.end()) {
            carry_out(nullptr);
        }
        if (!is_lost && (is_reached || found == workers.end())) {
            schedule(now + delay(), [answer] { answer(true); });
        }
    });
    if (is_lost) {
        schedule(now + order_timeout, [answer] { answer(false); });
        return;
    }
    const auto found = workers.find(to.worker);
    if (found != workers.end() && (!found->second.is_up || found->second.is_partitioned)) {
        schedule(now + order_timeout, [answer] { answer(false); });
    }
}

void sim_cell::deliver_late(const worker_address& to,
                            const std::function<void(sim_worker&)>& carry_out)
{
    const auto lateness = [](base::duration bound) {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(bound).count());
    };
    const std::chrono::milliseconds delay{
        random.between(lateness(settings.least_delay), lateness(settings.longest_delay))};
    schedule(now + delay, [this, to, carry_out] {
        const auto found = workers.find(to.worker);
        if (found == workers.end() || !found->second.is_up) {
            return;
        }
        // Until the leader has called a new process, nothing tells it from the earlier one, and it
        // carries out whatever arrives. No leader can prevent that.
        const bool is_same_process = found->second.info.started_at == to.started_at;
        if (is_same_process || found->second.fence != 0) {
            carry_out(found->second);
        }
    });
}

void sim_cell::send(const start_order& order)
{
    auto outcome = std::make_shared<start_outcome>(start_outcome::unknown);
    auto is_answered = std::make_shared<bool>(false);
    const auto finish = [this, order, outcome, is_answered, generation = m_generation](bool whole) {
        if (std::exchange(*is_answered, true) || !leader || generation != m_generation) {
            return;
        }
        leader->on_start_answer(now, order.run, order.to.worker,
                                whole ? *outcome : start_outcome::unknown);
        collect();
    };
    deliver(
        order.to,
        [this, order, outcome](sim_worker* worker) {
            *outcome = worker == nullptr ? start_outcome::gone : carry_out(*worker, order);
        },
        finish);
}

void sim_cell::send(const stop_order& order)
{
    auto is_done = std::make_shared<bool>(false);
    deliver(
        order.to,
        [this, order, is_done](sim_worker* worker) {
            if (worker == nullptr || order.token.value() < worker->fence) {
                return;
            }
            advance(*worker);
            worker->fence = order.token.value();
            *is_done = true;
            auto& highest_attempt = worker->ended_attempts[order.run.task];
            highest_attempt = std::max(highest_attempt, order.run.attempt);
            const auto found = worker->runs.find(order.run);
            if (found != worker->runs.end() && !found->second.stops && !worker->ignores_stops) {
                found->second.stops = now + stop_time;
            }
        },
        [this, order, is_done, generation = m_generation](bool whole) {
            if (whole && *is_done && leader && generation == m_generation) {
                leader->on_stop_done(now, order.run, order.to.worker);
                collect();
            }
        });
}

void sim_cell::send(const hold_order& order)
{
    direct_holds += order.is_direct ? 1 : 0;
    schedule(now + delay(), [this, order, sent = now, generation = m_generation] {
        const auto found = workers.find(order.to.worker);
        const auto life =
            found == workers.end() ? order.to.started_at : found->second.info.started_at;
        answer_hold({order, life, sent, now + order.wait, generation, false});
    });
}

// Waits at the worker for an end, as long as the order allows. If the worker instance that the call
// reached ends, the call remains unanswered.
void sim_cell::answer_hold(const waiting_hold& hold)
{
    const auto& order = hold.order;
    const auto reply = [this, hold](hold_outcome outcome, const hold_answer& answer) {
        schedule(now + delay(), [=, this] {
            if (leader && hold.generation == m_generation) {
                leader->on_hold_done(now, hold.sent, hold.order, outcome, answer);
                collect();
            }
        });
    };
    const auto found = workers.find(order.to.worker);
    if (found == workers.end()) {
        reply(hold_outcome::gone, {});
        return;
    }
    auto& worker = found->second;
    if (!worker.is_up || worker.info.started_at != hold.instance) {
        const auto ended = hold.is_connected ? hold_outcome::closed : hold_outcome::refused;
        reply(worker.is_partitioned ? hold_outcome::unknown : ended, {});
        return;
    }
    if (worker.is_partitioned && worker.is_cut_by_resets) {
        reply(hold.is_connected ? hold_outcome::unknown : hold_outcome::refused, {});
        return;
    }
    if (worker.is_partitioned || random.chance(settings.lose_request)) {
        schedule(now + hold_timeout, [=] { reply(hold_outcome::unknown, {}); });
        return;
    }
    if (!hold.is_connected && settings.apply_hold_late > 0 &&
        random.chance(settings.apply_hold_late)) {
        deliver_late(order.to, [this, order](sim_worker& late) {
            advance(late);
            hold_answer unread;
            carry_out(late, order, unread);
        });
        schedule(now + order.wait + hold_timeout, [=] { reply(hold_outcome::unknown, {}); });
        return;
    }
    advance(worker);
    if (!hold.is_connected && order.deadline && order.token.value() >= worker.fence) {
        // The lease is extended when the hold arrives, not when it is answered.
        extend_lease(worker, *order.deadline);
    }
    const auto has_new_ends = std::ranges::any_of(
        worker.ends, [&](const auto& end) { return end.row.number > order.cursor; });
    if (!has_new_ends && now < hold.until && order.token.value() >= worker.fence) {
        auto waiting = hold;
        waiting.is_connected = true;
        schedule(now + 5ms, [this, waiting] { answer_hold(waiting); });
        return;
    }
    hold_answer answer;
    const auto outcome = carry_out(worker, order, answer);
    if (random.chance(settings.lose_answer)) {
        schedule(now + hold_timeout, [=] { reply(hold_outcome::unknown, {}); });
        return;
    }
    reply(outcome, answer);
}

void sim_cell::send(const advice_order& order)
{
    schedule(now + order.expected, [this, order, generation = m_generation] {
        if (!leader || generation != m_generation) {
            return;
        }
        std::vector<advice_row> rows;
        for (const auto& worker : order.workers) {
            // Allows the same workers in each call.
            const auto number = std::stoull(worker.str().substr(1));
            if ((number + order.step.job.value()) % 4 + settings.allowed_of_four >= 4) {
                rows.push_back({worker, "ticket"});
            }
        }
        leader->on_agent_contact(now, order.agent);
        leader->on_advice(now, order.id, rows);
        collect();
    });
}

} // namespace lovagebeam::jobs::test
