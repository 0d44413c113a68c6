#include "balancer.h"

#include <algorithm>
#include <numeric>

namespace lovagebeam::placement::internal {

namespace {

constexpr base::duration balance_interval = std::chrono::milliseconds{500};
/// Shortfalls below this fraction of the fair share are not reclaimed, since each checkpoint costs
/// its task a restart; the order in which freed capacity is assigned evens them out.
constexpr double share_tolerance = 0.02;
/// Bounds the checkpoints in progress, so that a pass stays short and its effect is visible before
/// the next one.
constexpr std::size_t max_pending_reclaims = 64;
/// Time that reclaimed capacity is held for the team it was reclaimed for; long enough for a
/// checkpoint.
constexpr base::duration hold_time = std::chrono::seconds{2};
constexpr slot max_compared_workers = 512;
/// Tasks that started or resumed more recently than this are not preempted, so that they make
/// progress.
constexpr base::duration min_run_time = std::chrono::seconds{5};

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

void balancer::remove_ended()
{
    std::erase_if(m_pending_reclaims, [this](const pending_reclaim& entry) {
        return entry.task >= m_state.tasks.size() || m_state.tasks[entry.task].id != entry.id;
    });
}

std::vector<double> balancer::shares_after_reclaim() const
{
    std::vector<resources> booked;
    for (const team_record& team : m_state.teams) {
        booked.push_back(team.booked);
    }
    for (const pending_reclaim& entry : m_pending_reclaims) {
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

std::vector<double> balancer::current_fair_shares() const
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

bool balancer::reclaim_on(slot worker, slot team, const resources& size,
                          std::vector<double>& shares, const std::vector<double>& goals)
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
            task.phase != task_phase::running || m_state.now - task.started < min_run_time) {
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
        if (m_preemptor.checkpoint(at, reason::preempted_for_share)) {
            const task_record& task = m_state.tasks[at];
            m_pending_reclaims.push_back({at, task.id, task.team, team, task.size});
        }
    }
    m_state.hold(worker, team, m_state.now + hold_time);
    after[team] += m_state.dominant_share(size);
    shares = std::move(after);
    return true;
}

void balancer::on_tick()
{
    if (m_state.now - m_last_run < balance_interval || m_state.index.size() == 0) {
        return;
    }
    m_last_run = m_state.now;
    remove_ended();
    if (m_state.waiting == 0 || m_pending_reclaims.size() >= max_pending_reclaims) {
        return;
    }
    const std::vector<double> goals = current_fair_shares();
    std::vector<double> shares = shares_after_reclaim();
    for (slot team = 0; team < m_state.teams.size(); ++team) {
        const size_queue* queue = blocked_queue(team);
        if (queue == nullptr) {
            continue;
        }
        const resources size = queue->head_size;
        const double part = m_state.dominant_share(size);
        slot examined = 0;
        while (shares[team] + part <= goals[team] * (1.0 - share_tolerance) &&
               m_pending_reclaims.size() < max_pending_reclaims &&
               examined < std::min(max_compared_workers, m_state.index.size())) {
            ++examined;
            m_next_worker = (m_next_worker + 1) % m_state.index.size();
            const worker_record& worker = m_state.workers[m_next_worker];
            if (m_state.usable(worker) && worker.reserved_for == no_slot && !worker.probation &&
                m_state.now >= worker.held_until) {
                reclaim_on(m_next_worker, team, size, shares, goals);
            }
        }
    }
}

void balancer::enforce_limit(slot team)
{
    resources left = m_state.teams[team].booked;
    for (slot at = m_state.tasks.size(); at-- > 0;) {
        if (m_state.within_limit_when_idle(team, left)) {
            return;
        }
        const task_record& task = m_state.tasks[at];
        if (task.team == team && !task.id.empty() &&
            m_preemptor.checkpoint(at, reason::preempted_for_share)) {
            left -= m_state.tasks[at].size;
        }
    }
}

} // namespace lovagebeam::placement::internal
