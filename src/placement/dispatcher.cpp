#include "dispatcher.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

dispatcher::dispatcher(cell& state) : m_state{state}
{
    m_policies[static_cast<std::size_t>(job_kind::service)] = make_service_policy();
    m_policies[static_cast<std::size_t>(job_kind::batch)] = make_batch_policy();
    m_policies[static_cast<std::size_t>(job_kind::gang)] = make_gang_policy();
    m_policies[static_cast<std::size_t>(job_kind::urgent)] = make_urgent_policy();
}

void dispatcher::add_pending(slot at, std::uint32_t index)
{
    job_record& job = m_state.jobs[at];
    job.pending.push_back(index);
    count_waiting(at, 1);
}

void dispatcher::count_waiting(slot at, std::int64_t tasks)
{
    const job_record& job = m_state.jobs[at];
    const auto change = static_cast<std::uint32_t>(tasks);
    team_record& team = m_state.teams[job.team];
    m_state.waiting += change;
    team.waiting += change;
    team.waiting_size += scaled(job.size, tasks);
    m_state.waiting_urgent += job.spec.kind == job_kind::urgent ? change : 0;
}

void dispatcher::set_size(slot at, const resources& size)
{
    job_record& job = m_state.jobs[at];
    const auto tasks = static_cast<std::int64_t>(job.pending.size());
    count_waiting(at, -tasks);
    dequeue(at);
    job.size = size;
    count_waiting(at, tasks);
}

bool dispatcher::mark_infeasible(slot at, reason why)
{
    job_record& job = m_state.jobs[at];
    m_state.record_reason(at, why);
    if (job.infeasible) {
        return false;
    }
    job.infeasible = true;
    dequeue(at);
    enqueue(at);
    return true;
}

void dispatcher::drop_pending(slot at)
{
    dequeue(at);
    job_record& job = m_state.jobs[at];
    count_waiting(at, -static_cast<std::int64_t>(job.pending.size()));
    job.pending.clear();
}

slot dispatcher::find_or_add_queue(slot at)
{
    const job_record& job = m_state.jobs[at];
    std::uint64_t key = queue_key(job.spec.kind, job.size);
    if (!job.failed_on.empty() || job.infeasible) {
        // A job that avoids some workers, or that is infeasible at present, has a queue of its own,
        // so that it doesn't block other jobs.
        key ^= (std::uint64_t{at} + 1) << 2U;
    }
    const auto [found, added] = m_state.teams[job.team].queue_by_key.try_emplace(key, no_slot);
    if (added) {
        found->second = m_state.queues.add(size_queue{job.team, job.spec.kind, key});
    }
    return found->second;
}

void dispatcher::enqueue(slot at)
{
    job_record& job = m_state.jobs[at];
    if (job.queue_sequence != 0 || job.pending.empty()) {
        return;
    }
    const slot queue_at = find_or_add_queue(at);
    size_queue& queue = m_state.queues[queue_at];
    job.queue = queue_at;
    job.queue_sequence = m_next_sequence++;
    job.order = policy_of(job.spec.kind).order_of(job);
    queue.push({job.order, job.queue_sequence, at});
    if (queue.team_position == no_slot) {
        auto& list = m_state.teams[queue.team()].queues;
        queue.team_position = static_cast<std::uint32_t>(list.size());
        list.push_back(queue_at);
        queue.no_worker_fits = false;
        queue.above_limit = false;
        queue.blocked_since = never;
    }
    front_job(queue_at);
}

void dispatcher::dequeue(slot at)
{
    job_record& job = m_state.jobs[at];
    if (job.queue_sequence != 0) {
        m_state.queues[job.queue].mark_stale();
        job.queue_sequence = 0;
    }
}

void dispatcher::remove_from_team(slot at)
{
    size_queue& queue = m_state.queues[at];
    if (queue.team_position == no_slot) {
        return;
    }
    auto& list = m_state.teams[queue.team()].queues;
    list[queue.team_position] = list.back();
    m_state.queues[list.back()].team_position = queue.team_position;
    list.pop_back();
    queue.team_position = no_slot;
}

slot dispatcher::front_job(slot at)
{
    size_queue& queue = m_state.queues[at];
    const auto* entry = queue.front([this](const size_queue::entry& e) {
        return m_state.jobs[e.job].queue_sequence == e.sequence;
    });
    if (entry == nullptr) {
        remove_from_team(at);
        return no_slot;
    }
    queue.head_size = m_state.jobs[entry->job].size;
    queue.head_order = entry->order;
    return entry->job;
}

void dispatcher::place(slot at, const std::vector<slot>& workers, reason why)
{
    job_record& job = m_state.jobs[at];
    placement_decision decision{decision_id{m_next_decision++}, {}, why};
    std::vector<slot>& proposed = m_proposals[decision.id.value()];
    for (const slot worker : workers) {
        task_record task;
        task.index = job.pending.back();
        job.pending.pop_back();
        task.id = base::task_id{job.spec.id.str() + '.' + std::to_string(task.index) + '.' +
                                std::to_string(m_generation) + '.' + std::to_string(m_next_task++)};
        task.job = at;
        task.team = job.team;
        task.worker = worker;
        task.size = task.full_size = job.size;
        task.decision = decision.id;
        task.started = m_state.now;
        decision.tasks.push_back(
            {task.id, job.spec.id, task.index, m_state.workers[worker].id, task.size});
        proposed.push_back(m_state.add_task(std::move(task)));
        worker_record& on = m_state.workers[worker];
        if (m_state.now < on.held_until &&
            (on.held_team == job.team || job.spec.kind == job_kind::urgent)) {
            // The held capacity is used; from the next tick on others may use the rest.
            on.held_until = {};
        }
        m_state.record_reason(at, why, worker);
    }
    count_waiting(at, -static_cast<std::int64_t>(workers.size()));
    if (job.pending.empty()) {
        dequeue(at);
    }
    m_state.output.placements.push_back(std::move(decision));
}

std::vector<slot> dispatcher::take_proposal(decision_id id)
{
    const auto at = m_proposals.find(id.value());
    if (at == m_proposals.end()) {
        return {};
    }
    std::vector<slot> result = std::move(at->second);
    m_proposals.erase(at);
    return result;
}

bool dispatcher::blocked_by_limit(slot queue_at, slot job)
{
    if (m_state.within_limit_for_job(job, m_state.jobs[job].size)) {
        return false;
    }
    const slot team = m_state.jobs[job].team;
    const bool fits_when_idle = m_state.within_limit_when_idle(team, m_state.jobs[job].size);
    if (!fits_when_idle && mark_infeasible(job, reason::waiting_above_team_limit_now)) {
        return true;
    }
    m_state.queues[queue_at].above_limit = true;
    m_state.teams[team].limit_blocks = true;
    m_state.record_reason(job, fits_when_idle ? reason::waiting_for_team_limit
                                              : reason::waiting_above_team_limit_now);
    return true;
}

void dispatcher::mark_no_worker(slot queue_at, slot job)
{
    size_queue& queue = m_state.queues[queue_at];
    queue.no_worker_fits = true;
    if (queue.blocked_since == never) {
        queue.blocked_since = m_state.now;
    }
    if (queue.kind() == job_kind::urgent && m_source != nullptr) {
        m_source->free_capacity_for(job);
        return;
    }
    m_state.record_reason(job, m_state.jobs[job].infeasible ? reason::waiting_no_such_host_now
                                                            : reason::waiting_for_capacity);
}

void dispatcher::dispatch_new(slot job)
{
    const slot queue = m_state.jobs[job].queue;
    const size_queue& record = m_state.queues[queue];
    const bool known = record.no_worker_fits || record.above_limit;
    if (known && record.kind() != job_kind::urgent && front_job(queue) != job) {
        m_state.record_reason(job, record.above_limit ? reason::waiting_for_team_limit
                                                      : reason::waiting_for_capacity);
        return;
    }
    dispatch_queue(queue);
    if (m_state.jobs[job].queue_sequence != 0) {
        m_state.record_reason(job, m_state.queues[queue].above_limit
                                       ? reason::waiting_for_team_limit
                                       : m_state.jobs[job].why);
    }
}

bool dispatcher::retry_failed_workers(slot at)
{
    job_record& job = m_state.jobs[at];
    if (job.failed_on.empty() ||
        m_state.present_workers_that_fit(job.size) > job.failed_on.size()) {
        return false;
    }
    job.failed_on.clear();
    return true;
}

void dispatcher::dispatch_queue(slot queue)
{
    m_state.queues[queue].no_worker_fits = false;
    m_state.queues[queue].above_limit = false;
    for (slot job = front_job(queue); job != no_slot; job = front_job(queue)) {
        if (blocked_by_limit(queue, job)) {
            if (m_state.jobs[job].queue != queue) {
                continue;
            }
            return;
        }
        const policy& rules = policy_of(m_state.queues[queue].kind());
        const slot worker = rules.choose(m_state, job);
        if (worker == no_slot) {
            if (!m_state.fits_some_present_worker(m_state.jobs[job].size) &&
                mark_infeasible(job, reason::waiting_no_such_host_now)) {
                continue;
            }
            if (retry_failed_workers(job)) {
                continue;
            }
            mark_no_worker(queue, job);
            return;
        }
        place(job, {worker}, rules.placement_reason());
        m_state.queues[queue].blocked_since = never;
    }
}

bool dispatcher::precedes(const candidate& left, const candidate& right)
{
    if (left.urgent != right.urgent) {
        return left.urgent;
    }
    if (left.share != right.share) {
        return left.share < right.share;
    }
    if (left.rank != right.rank) {
        return left.rank < right.rank;
    }
    return left.order < right.order;
}

dispatcher::candidate dispatcher::best_candidate(slot worker,
                                                 const std::vector<slot>& skipped) const
{
    const resources free = m_state.index.free(worker);
    const resources urgent_free = m_state.index.urgent_free(worker);
    candidate best;
    for (slot team = 0; team < m_state.teams.size(); ++team) {
        const team_record& record = m_state.teams[team];
        if (record.queues.empty()) {
            continue;
        }
        const double share = m_state.weighted_share(team);
        if (best.queue != no_slot && best.share < share && m_state.waiting_urgent == 0) {
            continue;
        }
        for (const slot at : record.queues) {
            const size_queue& queue = m_state.queues[at];
            const policy& rules = policy_of(queue.kind());
            if (queue.above_limit ||
                !queue.head_size.fits_in(rules.uses_headroom() ? urgent_free : free) ||
                std::find(skipped.begin(), skipped.end(), at) != skipped.end()) {
                continue;
            }
            const candidate next{at, queue.kind() == job_kind::urgent, share, rules.rank(),
                                 queue.head_order};
            if (best.queue == no_slot || precedes(next, best)) {
                best = next;
            }
        }
    }
    return best;
}

bool dispatcher::fill_once(slot worker, std::vector<slot>& skipped)
{
    const candidate best = best_candidate(worker, skipped);
    if (best.queue == no_slot) {
        return false;
    }
    const resources expected = m_state.queues[best.queue].head_size;
    const slot job = front_job(best.queue);
    if (job == no_slot || !(m_state.queues[best.queue].head_size == expected)) {
        // The first entry was stale; choose again with the new head of the queue.
        return true;
    }
    const policy& rules = policy_of(m_state.queues[best.queue].kind());
    if (blocked_by_limit(best.queue, job)) {
        return true;
    }
    if (!rules.admits(m_state, job, worker)) {
        skipped.push_back(best.queue);
        return true;
    }
    const bool after_preemption = m_state.jobs[job].why == reason::waiting_for_preemption;
    place(job, {worker},
          after_preemption ? reason::placed_after_preemption : rules.placement_reason());
    m_state.queues[best.queue].blocked_since = never;
    front_job(best.queue);
    return true;
}

void dispatcher::fill(slot worker)
{
    std::vector<slot> skipped;
    while (m_state.waiting > 0 && m_state.usable(m_state.workers[worker]) &&
           fill_once(worker, skipped)) {
    }
}

void dispatcher::dispatch_freed()
{
    while (!m_state.freed_workers.empty()) {
        const slot worker = m_state.freed_workers.back();
        m_state.freed_workers.pop_back();
        if (m_state.workers[worker].domain != no_slot) {
            fill(worker);
        }
    }
    while (!m_state.limit_freed_teams.empty()) {
        const slot team = m_state.limit_freed_teams.back();
        m_state.limit_freed_teams.pop_back();
        const std::vector<slot> queues = m_state.teams[team].queues;
        for (const slot queue : queues) {
            if (m_state.queues[queue].above_limit) {
                dispatch_queue(queue);
            }
        }
    }
}

void dispatcher::remove_empty_queues(slot team)
{
    constexpr std::size_t max_retained_queues = 256;
    auto& by_key = m_state.teams[team].queue_by_key;
    if (by_key.size() <= max_retained_queues) {
        return;
    }
    boost::unordered::erase_if(by_key, [this](const auto& entry) {
        const slot at = entry.second;
        if (m_state.queues[at].team_position != no_slot || !m_state.queues[at].empty()) {
            return false;
        }
        m_state.queues.remove(at);
        return true;
    });
}

void dispatcher::retry_blocked_queues(std::size_t count)
{
    for (std::size_t i = 0; i < std::min(count, m_state.teams.size()); ++i) {
        m_last_retried_team = (m_last_retried_team + 1) % m_state.teams.size();
        remove_empty_queues(static_cast<slot>(m_last_retried_team));
        const std::vector<slot> queues = m_state.teams[m_last_retried_team].queues;
        for (const slot queue : queues) {
            dispatch_queue(queue);
        }
    }
}

} // namespace lovagebeam::placement::internal
