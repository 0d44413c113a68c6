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
        m_waiting.emplace(queue_rank{rank, ++m_last_id}, std::move(next));
        ++known.open_calls;
    }
}

void advice_scheduler::change_rank(const step_key& step, call_rank rank)
{
    if (!is_call_open(step)) {
        return;
    }
    std::vector<queue_rank> queued;
    for (const auto& [place, waiting] : m_waiting) {
        if (waiting.step == step) {
            queued.push_back(place);
        }
    }
    for (const auto& place : queued) {
        auto moved = m_waiting.extract(place);
        moved.key().first = rank;
        m_waiting.insert(std::move(moved));
    }
}

void advice_scheduler::drop_queued_workers(
    const std::function<bool(const base::worker_id&)>& is_gone)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        auto& waiting = entry->second;
        std::erase_if(waiting.workers, is_gone);
        if (waiting.workers.empty()) {
            --m_steps.at(waiting.step).open_calls;
            entry = m_waiting.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

advice_scheduler::agent_state* advice_scheduler::idle_agent(base::time_point now, bool is_long,
                                                            const base::node_id*& name)
{
    agent_state* idle = nullptr;
    std::size_t alive = 0;
    std::size_t idle_count = 0;
    for (auto& [id, agent] : m_agents) {
        if (now - agent.last_contact >= m_settings.agent_timeout) {
            continue;
        }
        ++alive;
        if (agent.call == 0 && now >= agent.paused_until) {
            ++idle_count;
            idle = &agent;
            name = &id;
        }
    }
    const auto reserved =
        std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(
                                     static_cast<double>(alive) * m_settings.reserved_fraction)));
    const bool is_reserved = is_long && alive > 1 && idle_count <= reserved;
    return is_reserved ? nullptr : idle;
}

std::vector<advice_order> advice_scheduler::take(base::time_point now)
{
    for (auto entry = m_calls.begin(); entry != m_calls.end();) {
        const auto current = entry++;
        if (now >= current->second.deadline) {
            m_agents[current->second.agent].paused_until = now + m_settings.answer_timeout;
            end_call(current);
        }
    }
    std::vector<advice_order> out;
    bool takes_long_calls = true;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const bool is_long = waiting->second.expected > m_settings.long_call;
        if (is_long && !takes_long_calls) {
            ++waiting;
            continue;
        }
        const base::node_id* name = nullptr;
        auto* const agent = idle_agent(now, is_long, name);
        if (agent == nullptr && !is_long) {
            break;
        }
        if (agent == nullptr) {
            takes_long_calls = false;
            ++waiting;
            continue;
        }
        const auto id = waiting->first.second;
        call next = std::move(waiting->second);
        waiting = m_waiting.erase(waiting);
        agent->call = id;
        next.agent = *name;
        next.deadline = now + next.expected + m_settings.answer_timeout;
        out.push_back({id, *name, next.step, next.workers, next.expected});
        m_calls.emplace(id, std::move(next));
    }
    return out;
}

void advice_scheduler::end_call(std::map<std::uint64_t, call>::iterator which)
{
    if (auto& agent = m_agents[which->second.agent]; agent.call == which->first) {
        agent.call = 0;
    }
    if (const auto known = m_steps.find(which->second.step); known != m_steps.end()) {
        --known->second.open_calls;
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
