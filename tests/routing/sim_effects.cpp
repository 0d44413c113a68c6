#include "sim_cluster.h"

#include <algorithm>

namespace lovagebeam::test {

using namespace routing;

void sim_cluster::execute(std::uint32_t index, effect&& item)
{
    std::visit([&](auto&& input) { handle(index, std::forward<decltype(input)>(input)); },
               std::move(item));
}

void sim_cluster::handle(std::uint32_t /*index*/, answer_caller&& item)
{
    sim_ground_truth::request& record = m_ground_truth.requests.at(item.caller.value());
    ++record.answers;
    record.result = item.result;
    record.code = item.code ? std::string{base::name_of(*item.code)} : "";
    const std::string name = "caller " + std::to_string(item.caller.value());
    check_guarantee(record.answers == 1, name + " was answered more than once");
    if (item.result != outcome::completed) {
        check_guarantee(item.code.has_value(), name + " got no code");
        return;
    }
    // A repeated request gets the answer to the first request with its key.
    const std::string start = record.key.empty() ? "answer:" + record.body
                                                 : "answer:" + record.team + '|' + record.key + '|';
    check_guarantee(item.body.starts_with(start), name + " got the answer " + item.body);
}

void sim_cluster::handle(std::uint32_t /*index*/, answer_query&& item)
{
    query_answers.push_back(std::move(item));
}

void sim_cluster::handle(std::uint32_t index, send_peer&& item)
{
    const std::uint32_t to = index_of(item.to);
    if (is_partitioned(index, to) || m_random.chance(m_options.drop_probability)) {
        return;
    }
    const int copies = m_random.chance(m_options.duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        duration wait = delay();
        if (copies == 2 && m_random.chance(0.2)) {
            wait += std::chrono::milliseconds{m_random.below(800)};
        }
        feed_later(to, peer_message{m_hosts[index].id, item.bytes}, wait);
    }
}

void sim_cluster::handle(std::uint32_t index, start_attempt&& item)
{
    auto deferred = std::make_shared<start_attempt>(std::move(item));
    const std::uint64_t instance = m_hosts[index].instance;
    // The process may be suspended after the effect was emitted and before its thread sends the
    // attempt.
    m_clock.after(20us, [this, index, instance, deferred] { send_run(index, instance, deferred); });
}

void sim_cluster::send_run(std::uint32_t index, std::uint64_t instance,
                           const std::shared_ptr<start_attempt>& item)
{
    sim_host& from = m_hosts[index];
    if (!from.is_alive || from.instance != instance) {
        return;
    }
    if (m_clock.now() < from.paused_until) {
        m_clock.after(from.paused_until - m_clock.now(),
                      [this, index, instance, item] { send_run(index, instance, item); });
        return;
    }
    sim_target& target = target_of(item->target.str());
    const bool is_late = m_clock.now() >= item->lease_until;
    if (is_late || is_target_partitioned(index, target.id())) {
        feed_later(index,
                   attempt_ended{item->attempt, attempt_result::connect_failed, {}, 0, false}, 1ms);
        return;
    }
    const auto number = static_cast<std::uint32_t>(
        std::ranges::find_if(m_targets, [&](const auto& other) { return other.get() == &target; }) -
        m_targets.begin());
    from.calls[item->attempt.str()] = number;
    m_clock.after(delay(), [this, index, instance, item, &target] {
        if (!m_hosts[index].calls.contains(item->attempt.str())) {
            // The connection was closed before the request was read, so the target does not start
            // it.
            return;
        }
        target.run(m_hosts[index].id.str(), *item, service(item->body),
                   [this, index, instance, item, &target](attempt_ended&& ended) {
                       if (m_hosts[index].instance != instance ||
                           m_hosts[index].calls.erase(item->attempt.str()) == 0) {
                           return;
                       }
                       if (is_target_partitioned(index, target.id())) {
                           ended = {item->attempt, attempt_result::reset, {}, 0, false};
                       }
                       feed_later(index, std::move(ended), delay());
                   });
    });
}

void sim_cluster::handle(std::uint32_t index, cancel_attempt&& item)
{
    const auto found = m_hosts[index].calls.find(item.attempt.str());
    if (found == m_hosts[index].calls.end()) {
        return;
    }
    m_targets[found->second]->close(m_hosts[index].id.str(), item.attempt.str());
    m_hosts[index].calls.erase(found);
    feed_later(index, attempt_ended{item.attempt, attempt_result::timed_out, {}, 0, false}, 100us);
}

void sim_cluster::handle(std::uint32_t index, fence_target&& item)
{
    auto answer = std::make_shared<fence_answered>();
    answer->target = item.target;
    answer->number = item.number;
    sim_target& target = target_of(item.target.str());
    if (is_target_partitioned(index, target.id()) || !target.is_reachable()) {
        feed_later(index, std::move(*answer), item.timeout);
        return;
    }
    m_clock.after(delay(), [this, index, &target, number = item.number] {
        feed_later(index, target.fence(number), delay());
    });
}

void sim_cluster::handle(std::uint32_t index, query_attempt&& item)
{
    sim_target& target = target_of(item.target.str());
    if (is_target_partitioned(index, target.id()) || !target.is_reachable()) {
        feed_later(index,
                   query_answered{item.attempt, item.target, attempt_state::unreachable, {}, 0},
                   item.timeout);
        return;
    }
    m_clock.after(delay(), [this, index, &target, attempt = item.attempt] {
        feed_later(index, target.query(attempt), delay());
    });
}

void sim_cluster::handle(std::uint32_t index, commit_intent&& item)
{
    m_clock.after(delay() + delay(), [this, index, record = std::move(item.record)] {
        const bool is_committed = record.number.value() == m_epoch;
        if (is_committed) {
            m_intents[record.attempt.str()] = record;
        }
        feed_later(index, intent_committed{record.attempt, is_committed}, delay());
    });
}

void sim_cluster::handle(std::uint32_t /*index*/, end_intent&& item)
{
    if (item.result == outcome::not_run) {
        m_clock.after(5ms, [this, attempt = item.attempt.str()] { m_intents.erase(attempt); });
    }
}

void sim_cluster::handle(std::uint32_t index, drained&& /*item*/)
{
    check_guarantee(!m_hosts[index].is_drained, "drained twice");
    m_hosts[index].is_drained = true;
}

} // namespace lovagebeam::test
