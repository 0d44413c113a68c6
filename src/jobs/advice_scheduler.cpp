#include "lovagebeam/jobs/advice_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagebeam::jobs {

void advice_scheduler::on_agent_contact(base::time_point now, const base::node_id& agent)
{
    m_agents[agent].last_contact = now;
}

void advice_scheduler::request(const step_key& step, const advice_policy& policy,
                               std::vector<base::worker_id> workers, call_rank rank)
{
    auto& known = m_steps[step];
    if (known.open_calls > 0 || workers.empty()) {
        return;
    }
    workers.resize(std::min(workers.size(), workers_per_step()));
    // Calls of equal length are answered at about the same time.
    const auto calls =
        (workers.size() + m_settings.workers_per_call - 1) / m_settings.workers_per_call;
    auto from = workers.begin();
    for (std::size_t i = 0; i < calls; ++i) {
        const auto rest = static_cast<std::size_t>(workers.end() - from);
        const auto count = (rest + calls - i - 1) / (calls - i);
        call next;
        next.step = step;
        next.expected = policy.decision + std::chrono::duration_cast<milliseconds>(
                                              policy.per_worker * static_cast<std::int64_t>(count));
        next.validity = policy.ticket_validity;
        next.workers.assign(from, from + static_cast<std::ptrdiff_t>(count));
        from += static_cast<std::ptrdiff_t>(count);
        auto& queue = queue_for(next);
        queue.emplace(queue_rank{rank, ++m_last_id}, std::move(next));
        ++known.open_calls;
    }
}

void advice_scheduler::change_rank(const step_key& step, call_rank rank)
{
    if (!is_call_open(step)) {
        return;
    }
    for (auto* const queue : {&m_short, &m_long}) {
        std::vector<queue_rank> queued;
        for (const auto& [place, waiting] : *queue) {
            if (waiting.step == step) {
                queued.push_back(place);
            }
        }
        for (const auto& place : queued) {
            auto moved = queue->extract(place);
            moved.key().first = rank;
            queue->insert(std::move(moved));
        }
    }
}

void advice_scheduler::drop_queued_workers(
    const std::function<bool(const base::worker_id&)>& is_gone)
{
    for (auto* const queue : {&m_short, &m_long}) {
        for (auto entry = queue->begin(); entry != queue->end();) {
            auto& waiting = entry->second;
            std::erase_if(waiting.workers, is_gone);
            if (waiting.workers.empty()) {
                --m_steps.at(waiting.step).open_calls;
                entry = queue->erase(entry);
            }
            else {
                ++entry;
            }
        }
    }
}

advice_scheduler::agent_pool advice_scheduler::idle_agents(base::time_point now)
{
    agent_pool out;
    std::size_t alive = 0;
    for (auto& each : m_agents) {
        if (now - each.second.last_contact >= m_settings.agent_timeout) {
            continue;
        }
        ++alive;
        if (each.second.call == 0 && now >= each.second.paused_until) {
            out.idle.push_back(&each);
        }
    }
    const auto part = [](std::size_t whole, double fraction) {
        return std::max<std::size_t>(
            1, static_cast<std::size_t>(std::lround(static_cast<double>(whole) * fraction)));
    };
    out.reserved = alive > 1 ? part(alive, m_settings.reserved_fraction) : 0;
    out.priority_share = part(alive - out.reserved, m_settings.min_priority_fraction);
    return out;
}

void advice_scheduler::abandon_overdue_calls(base::time_point now)
{
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
        const auto current = entry++;
        if (now >= current->second.deadline) {
            m_agents[current->second.agent].paused_until = now + m_settings.answer_timeout;
            end_call(current);
        }
    }
}

std::vector<advice_order> advice_scheduler::take(base::time_point now)
{
    abandon_overdue_calls(now);
    std::vector<advice_order> out;
    if (m_short.empty() && m_long.empty()) {
        return out;
    }
    auto agents = idle_agents(now);
    for (auto waiting = m_short.begin(); waiting != m_short.end() && !agents.idle.empty();) {
        waiting = send(now, m_short, waiting, agents, out);
    }
    send_long_calls(now, agents, out);
    return out;
}

// Priorities take what their shares and those of the others leave, the most urgent one first. A
// share that isn't asked for is left to the others.
void advice_scheduler::send_long_calls(base::time_point now, agent_pool& agents,
                                       std::vector<advice_order>& out)
{
    for (auto waiting = m_long.begin(); waiting != m_long.end();) {
        const auto priority = priority_of(waiting->first);
        while (waiting != m_long.end() && priority_of(waiting->first) == priority) {
            if (agents.idle.size() <= agents.reserved) {
                return;
            }
            const bool has_share =
                !is_expired(priority) && m_open_long[priority] < agents.priority_share;
            const auto available = agents.idle.size() - agents.reserved;
            if (!has_share && available <= owed_to_others(priority, agents.priority_share)) {
                break;
            }
            waiting = send(now, m_long, waiting, agents, out);
        }
        waiting = next_priority(priority);
    }
}

advice_scheduler::call_queue::iterator advice_scheduler::next_priority(std::uint32_t priority)
{
    return is_expired(priority)
               ? m_long.end()
               : m_long.lower_bound(
                     {call_rank{priority + 1, false, std::numeric_limits<std::int64_t>::min()}, 0});
}

std::size_t advice_scheduler::owed_to_others(std::uint32_t priority, std::size_t share)
{
    std::size_t owed = 0;
    for (auto other = m_long.begin(); other != m_long.end();
         other = next_priority(priority_of(other->first))) {
        const auto each = priority_of(other->first);
        if (each != priority && !is_expired(each)) {
            owed += share - std::min(share, m_open_long[each]);
        }
    }
    return owed;
}

advice_scheduler::call_queue::iterator
advice_scheduler::send(base::time_point now, call_queue& queue, call_queue::iterator waiting,
                       agent_pool& agents, std::vector<advice_order>& out)
{
    const auto id = waiting->first.second;
    auto& [name, agent] = *agents.idle.back();
    agents.idle.pop_back();
    call next = std::move(waiting->second);
    next.priority = priority_of(waiting->first);
    next.agent = name;
    next.deadline = now + next.expected + m_settings.answer_timeout;
    if (is_long(next)) {
        ++m_open_long[next.priority];
    }
    agent.call = id;
    out.push_back({id, name, next.step, next.workers, next.expected});
    m_calls.emplace(id, std::move(next));
    return queue.erase(waiting);
}

void advice_scheduler::end_call(std::map<std::uint64_t, call>::iterator which)
{
    if (auto& agent = m_agents[which->second.agent]; agent.call == which->first) {
        agent.call = 0;
    }
    if (const auto known = m_steps.find(which->second.step); known != m_steps.end()) {
        --known->second.open_calls;
    }
    if (is_long(which->second)) {
        --m_open_long[which->second.priority];
    }
    m_calls.erase(which);
}

std::optional<step_key>
advice_scheduler::on_answer(base::time_point now, std::uint64_t id,
                            const std::optional<std::vector<advice_row>>& rows)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return std::nullopt;
    }
    const call ended = found->second;
    end_call(found);
    const auto known = m_steps.find(ended.step);
    if (!rows) {
        m_agents[ended.agent].paused_until = now + m_settings.answer_timeout / 2;
    }
    else if (known != m_steps.end()) {
        update_allowed_fraction(known->second, ended, *rows);
        for (const auto& worker : ended.workers) {
            known->second.refused.insert(worker);
        }
        for (const auto& row : *rows) {
            known->second.refused.erase(row.worker);
            known->second.allowed[row.worker] = {row.ticket, now + ended.validity};
        }
    }
    return ended.step;
}

void advice_scheduler::update_allowed_fraction(const step_advice& known, const call& answered,
                                               const std::vector<advice_row>& rows)
{
    const auto is_new = [&](const base::worker_id& worker) {
        return !known.allowed.contains(worker) && !known.refused.contains(worker);
    };
    const auto asked = std::ranges::count_if(answered.workers, is_new);
    const auto allowed = std::ranges::count_if(rows, is_new, &advice_row::worker);
    if (asked > 0) {
        const auto fraction = static_cast<double>(allowed) / static_cast<double>(asked);
        m_allowed_fraction += (fraction - m_allowed_fraction) * m_settings.allowed_weight;
    }
}

const advice_scheduler::step_advice* advice_scheduler::find(const step_key& step) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nullptr : &found->second;
}

void advice_scheduler::drop_ticket(const step_key& step, const base::worker_id& worker)
{
    if (const auto known = m_steps.find(step); known != m_steps.end()) {
        if (const auto found = known->second.allowed.find(worker);
            found != known->second.allowed.end()) {
            found->second.valid_until = base::time_point{};
        }
    }
}

void advice_scheduler::forget(const step_key& step)
{
    if (const auto known = m_steps.find(step);
        known != m_steps.end() && known->second.open_calls == 0) {
        m_steps.erase(known);
    }
}

} // namespace lovagebeam::jobs
