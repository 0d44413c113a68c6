#include "balancer.h"

#include <algorithm>
#include <numeric>

namespace lovagebeam::placement::internal {

namespace {

constexpr base::duration balance_every = std::chrono::milliseconds{500};
/// Differences below this part of the fair share are left to the order in which freed capacity is
/// given out, since each checkpoint costs its task a restart.
constexpr double tolerated = 0.02;
/// Checkpoints in one pass, so that a pass stays short and their effect is seen before the next.
constexpr std::size_t most_at_once = 64;
/// Time that freed capacity is kept for the team that it was taken for. Covers a checkpoint.
constexpr base::duration hold_time = std::chrono::seconds{2};
constexpr slot compared_workers = 512;
/// A task that just started or resumed is left to do some work first.
constexpr base::duration least_run = std::chrono::seconds{5};

} // namespace

std::vector<double> fair_shares(const std::vector<double>& demands,
                                const std::vector<double>& weights, double total)
{
    std::vector<double> result(demands.size(), 0.0);
    std::vector<bool> met(demands.size(), false);
    double left = total;
    for (bool changed = true; changed;) {
        changed = false;
        double weight = 0;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            weight += met[i] ? 0.0 : weights[i];
        }
        if (weight <= 0) {
            break;
        }
        const double level = std::max(0.0, left) / weight;
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (met[i]) {
                continue;
            }
            result[i] = level * weights[i];
            if (demands[i] <= result[i]) {
                result[i] = demands[i];
                met[i] = true;
                left -= demands[i];
                changed = true;
            }
        }
    }
    return result;
}

void balancer::forget_ended()
{
    std::erase_if(m_taken, [this](const taken& entry) {
        return entry.task >= m_state.tasks.size() || m_state.tasks[entry.task].id != entry.id;
    });
}

std::vector<double> balancer::shares_after_reclaim() const
{
    std::vector<resources> booked;
    for (const team_record& team : m_state.teams) {
        booked.push_back(team.booked);
    }
    for (const taken& entry : m_taken) {
        booked[entry.from] -= entry.size;
        booked[entry.to] += entry.size;
    }
    std::vector<double> result;
    result.reserve(booked.size());
    for (const resources& amount : booked) {
        result.push_back(m_state.dominant_share(amount));
    }
    return result;
}

std::vector<double> balancer::fair() const
{
    std::vector<double> demands;
    std::vector<double> weights;
    double total = 0;
    for (const team_record& team : m_state.teams) {
        total += m_state.dominant_share(team.booked);
        resources wanted = team.booked + team.waiting_size;
        const auto cap = [](auto amount, const auto& limit) {
            return limit && limit->value() < amount.value() ? *limit : amount;
        };
        wanted.cpu = cap(wanted.cpu, team.settings.limit_cpu);
        wanted.memory = cap(wanted.memory, team.settings.limit_memory);
        wanted.devices = cap(wanted.devices, team.settings.limit_devices);
        demands.push_back(m_state.dominant_share(wanted));
        weights.push_back(static_cast<double>(team.settings.share));
    }
    return fair_shares(demands, weights, total);
}

const size_queue* balancer::blocked_queue(slot team) const
{
    const size_queue* oldest = nullptr;
    for (const slot at : m_state.teams[team].queues) {
        const size_queue& queue = m_state.queues[at];
        if (queue.no_worker_fits && !queue.above_limit && queue.kind() != job_kind::urgent &&
            queue.blocked_since <= m_state.now - m_state.settings.share_wait_timeout &&
            (oldest == nullptr || queue.blocked_since < oldest->blocked_since)) {
            oldest = &queue;
        }
    }
    return oldest;
}

bool balancer::take_on(slot worker, slot team, const resources& size, std::vector<double>& shares,
                       const std::vector<double>& goals)
{
    resources free = m_state.index.free(worker);
    std::vector<slot> victims;
    std::vector<double> after = shares;
    for (const slot at : m_state.workers[worker].tasks) {
        if (size.fits_in(free)) {
            break;
        }
        const task_record& task = m_state.tasks[at];
        if (task.job == no_slot || m_state.jobs[task.job].spec.kind != job_kind::batch ||
            task.phase != task_phase::running || m_state.now - task.started < least_run) {
            continue;
        }
        const job_spec& spec = m_state.jobs[task.job].spec;
        const double part = m_state.dominant_share(task.size);
        if (spec.can_checkpoint && spec.repeatable && after[task.team] - part >= goals[task.team]) {
            after[task.team] -= part;
            free += task.size;
            victims.push_back(at);
        }
    }
    if (victims.empty() || !size.fits_in(free)) {
        return false;
    }
    for (const slot at : victims) {
        if (m_preempt.checkpoint(at, reason::preempted_for_share)) {
            const task_record& task = m_state.tasks[at];
            m_taken.push_back({at, task.id, task.team, team, task.size});
        }
    }
    m_state.hold(worker, team, m_state.now + hold_time);
    after[team] += m_state.dominant_share(size);
    shares = std::move(after);
    return true;
}

void balancer::on_tick()
{
    if (m_state.now - m_last < balance_every || m_state.index.size() == 0) {
        return;
    }
    m_last = m_state.now;
    forget_ended();
    if (m_state.waiting == 0 || m_taken.size() >= most_at_once) {
        return;
    }
    const std::vector<double> goals = fair();
    std::vector<double> shares = shares_after_reclaim();
    for (slot team = 0; team < m_state.teams.size(); ++team) {
        const size_queue* queue = blocked_queue(team);
        if (queue == nullptr) {
            continue;
        }
        const resources size = queue->head_size;
        const double part = m_state.dominant_share(size);
        slot looked_at = 0;
        while (shares[team] + part <= goals[team] * (1.0 - tolerated) &&
               m_taken.size() < most_at_once &&
               looked_at < std::min(compared_workers, m_state.index.size())) {
            ++looked_at;
            m_next_worker = (m_next_worker + 1) % m_state.index.size();
            const worker_record& worker = m_state.workers[m_next_worker];
            if (m_state.usable(worker) && worker.reserved_for == no_slot && !worker.probation &&
                m_state.now >= worker.held_until) {
                take_on(m_next_worker, team, size, shares, goals);
            }
        }
    }
}

void balancer::enforce_limit(slot team)
{
    resources left = m_state.teams[team].booked;
    for (slot at = m_state.tasks.size(); at-- > 0;) {
        if (m_state.within_empty_limit(team, left)) {
            return;
        }
        const task_record& task = m_state.tasks[at];
        if (task.team == team && !task.id.empty() &&
            m_preempt.checkpoint(at, reason::preempted_for_share)) {
            left -= m_state.tasks[at].size;
        }
    }
}

} // namespace lovagebeam::placement::internal
