#include "gang_planner.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::placement::internal {

namespace {

constexpr base::duration retry_interval = std::chrono::milliseconds{100};
/// The first gang of a pass may hold the reservation; the others are placed only if they fit
/// without the reserved capacity.
constexpr std::size_t max_gangs_per_pass = 8;
/// So many of them are the oldest ones; the others go on where the last pass has ended.
constexpr std::size_t oldest_gangs_per_pass = 2;
/// Once a gang has waited for its team's upper limit longer than this, part of the limit is held
/// for it and other jobs of the team wait.
constexpr base::duration limit_wait_timeout = std::chrono::seconds{10};
/// A single task that has waited longer than this for a worker with enough free capacity gets a
/// reservation.
constexpr base::duration starvation_timeout = std::chrono::seconds{20};

} // namespace

void gang_planner::add(slot job)
{
    if (std::find(m_gangs.begin(), m_gangs.end(), job) == m_gangs.end()) {
        const auto at = std::find_if(m_gangs.begin(), m_gangs.end(), [&](slot other) {
            return m_state.jobs[other].accepted > m_state.jobs[job].accepted;
        });
        m_gangs.insert(at, job);
    }
    if (!try_place(job)) {
        m_state.record_reason(job, reason::waiting_for_gang);
    }
}

void gang_planner::remove(slot job)
{
    if (m_state.reserved.job == job) {
        cancel_reservation();
    }
    if (m_state.jobs[job].spec.kind != job_kind::gang) {
        return;
    }
    std::erase(m_gangs, job);
    release_limit(job);
}

void gang_planner::release_limit(slot job)
{
    team_record& team = m_state.teams[m_state.jobs[job].team];
    if (team.limit_held_for == job) {
        team.limit_held_for = no_slot;
        team.held_limit = {};
        m_state.limit_freed_teams.push_back(m_state.jobs[job].team);
    }
}

void gang_planner::cancel_reservation()
{
    for (const slot worker : m_state.reserved.workers) {
        m_state.workers[worker].reserved_for = no_slot;
        m_state.freed_workers.push_back(worker);
    }
    m_state.reserved = reservation{};
}

std::vector<slot> gang_planner::workers_for(slot at, std::size_t tasks) const
{
    const job_record& job = m_state.jobs[at];
    std::vector<std::pair<std::int64_t, slot>> room;
    std::size_t found = 0;
    for (slot worker = 0; worker < m_state.index.size(); ++worker) {
        if (!m_state.index.fits(worker, job.size) || !worker_admits(m_state, worker, job)) {
            continue;
        }
        const bool probe = m_state.workers[worker].probation;
        const std::int64_t times = probe ? 1 : times_fitting(job.size, m_state.index.free(worker));
        room.emplace_back(times, worker);
        found += static_cast<std::size_t>(times);
    }
    if (found < tasks) {
        return {};
    }
    // Use workers with room for the fewest tasks first, to avoid fragmenting large free blocks.
    std::sort(room.begin(), room.end());
    std::vector<slot> result;
    for (const auto& [times, worker] : room) {
        for (std::int64_t i = 0; i < times && result.size() < tasks; ++i) {
            result.push_back(worker);
        }
    }
    return result;
}

bool gang_planner::feasible(slot at)
{
    const job_record& job = m_state.jobs[at];
    const auto tasks = static_cast<std::int64_t>(job.pending.size());
    if (!m_state.within_limit_when_idle(job.team, scaled(job.size, tasks))) {
        m_state.record_reason(at, reason::waiting_above_team_limit_now);
        return false;
    }
    if (m_state.fleet_task_capacity(job.size, true, tasks) < tasks) {
        m_state.record_reason(at, reason::waiting_fleet_too_small_now);
        return false;
    }
    return true;
}

bool gang_planner::try_place(slot at)
{
    const job_record& job = m_state.jobs[at];
    const std::size_t tasks = job.pending.size();
    const resources total = scaled(job.size, static_cast<std::int64_t>(tasks));
    if (tasks == 0 || !m_state.within_limit_for_job(at, total)) {
        return false;
    }
    const std::vector<slot> workers = workers_for(at, tasks);
    if (workers.empty()) {
        return false;
    }
    remove(at);
    m_dispatcher.place(at, workers, reason::placed_gang);
    return true;
}

void gang_planner::hold_limit(slot at)
{
    const job_record& job = m_state.jobs[at];
    team_record& team = m_state.teams[job.team];
    m_state.record_reason(at, reason::waiting_for_team_limit);
    if (m_state.reserved.job == at) {
        // The job can't use reserved workers while the limit blocks it, and the gang that holds the
        // limit may need them.
        cancel_reservation();
    }
    // Both the limit and the reservation go to the oldest gang, so that no two gangs wait for each
    // other.
    const bool oldest =
        team.limit_held_for == no_slot || job.accepted < m_state.jobs[team.limit_held_for].accepted;
    if (oldest && m_state.now - job.accepted > limit_wait_timeout) {
        team.limit_held_for = at;
        team.held_limit = scaled(job.size, static_cast<std::int64_t>(job.pending.size()));
    }
}

void gang_planner::try_gangs()
{
    const std::vector<slot> gangs = m_gangs;
    const slot resume_at = std::exchange(m_first_left_out, no_slot);
    std::size_t tried = 0;
    for (auto next = gangs.begin(); next != gangs.end(); ++next) {
        if (tried == oldest_gangs_per_pass) {
            const auto first = std::find(next, gangs.end(), resume_at);
            next = first == gangs.end() ? next : first;
        }
        if (tried >= max_gangs_per_pass) {
            m_first_left_out = *next;
            return;
        }
        tried += try_gang(*next) ? 1 : 0;
    }
}

bool gang_planner::try_gang(slot at)
{
    if (!feasible(at)) {
        release_limit(at);
        if (m_state.reserved.job == at) {
            cancel_reservation();
        }
        return false;
    }
    const job_record& job = m_state.jobs[at];
    const auto tasks = static_cast<std::int64_t>(job.pending.size());
    if (!m_state.within_limit_for_job(at, scaled(job.size, tasks))) {
        hold_limit(at);
        return true;
    }
    if (try_place(at)) {
        return true;
    }
    if (m_state.reserved.job == no_slot) {
        reserve(at, static_cast<std::size_t>(tasks));
    }
    m_state.record_reason(at, m_state.reserved.job == at ? reason::waiting_for_reservation
                                                         : reason::waiting_for_gang);
    return true;
}

base::time_point gang_planner::expected_free_at(slot at) const
{
    base::time_point last = m_state.now;
    for (const slot task : m_state.workers[at].tasks) {
        const task_record& record = m_state.tasks[task];
        if (record.job == no_slot) {
            continue;
        }
        const job_record& job = m_state.jobs[record.job];
        if (job.spec.kind != job_kind::service) {
            last = std::max(last, record.started + job.run_time);
        }
    }
    return last;
}

resources gang_planner::reclaimable(slot at) const
{
    const worker_record& worker = m_state.workers[at];
    resources room = worker.capacity;
    for (const slot task : worker.tasks) {
        const slot job = m_state.tasks[task].job;
        if (job == no_slot || m_state.jobs[job].spec.kind == job_kind::service) {
            room -= m_state.tasks[task].size;
        }
    }
    return room;
}

void gang_planner::reserve(slot at, std::size_t tasks)
{
    job_record& job = m_state.jobs[at];
    struct option {
        base::time_point when;
        slot worker;
        std::size_t places;
    };
    std::vector<option> options;
    for (slot worker = 0; worker < m_state.index.size(); ++worker) {
        const worker_record& record = m_state.workers[worker];
        if (!m_state.usable(record) || record.probation || !worker_admits(m_state, worker, job)) {
            continue;
        }
        const auto places = static_cast<std::size_t>(times_fitting(job.size, reclaimable(worker)));
        if (places > 0) {
            options.push_back({expected_free_at(worker), worker, places});
        }
    }
    std::sort(options.begin(), options.end(),
              [](const option& left, const option& right) { return left.when < right.when; });
    std::size_t places = 0;
    reservation planned{at, {}, m_state.now, m_state.now, job.pending.size(), false};
    for (std::size_t i = 0; i < options.size() && places < tasks; ++i) {
        planned.workers.push_back(options[i].worker);
        planned.expected = options[i].when;
        places += options[i].places;
    }
    if (places < tasks) {
        // Too few workers are left without those on which the job failed, so allow them again.
        job.failed_on.clear();
        return;
    }
    if (job.reclaim_started_at == base::time_point{}) {
        job.reclaim_started_at = m_state.now; // the wait timeouts count from the first reservation
    }
    planned.created_at = job.reclaim_started_at;
    for (const slot worker : planned.workers) {
        m_state.workers[worker].reserved_for = at;
    }
    m_state.reserved = std::move(planned);
}

void gang_planner::reserve_for_starved()
{
    slot oldest = no_slot;
    for (const team_record& team : m_state.teams) {
        for (const slot at : team.queues) {
            const size_queue& queue = m_state.queues[at];
            if (queue.no_worker_fits && !queue.above_limit &&
                queue.blocked_since < m_state.now - starvation_timeout &&
                (oldest == no_slot || queue.blocked_since < m_state.queues[oldest].blocked_since)) {
                oldest = at;
            }
        }
    }
    if (oldest == no_slot) {
        return;
    }
    const slot job = m_dispatcher.front_job(oldest);
    if (job != no_slot && !m_state.jobs[job].infeasible) {
        reserve(job, 1);
    }
}

void gang_planner::reclaim(bool from_all)
{
    m_state.reserved.reclaiming = true;
    const job_record& job = m_state.jobs[m_state.reserved.job];
    const double share = m_state.weighted_share(job.team);
    auto needed = static_cast<std::int64_t>(job.spec.kind == job_kind::gang ? job.pending.size()
                                                                            : std::size_t{1});
    for (const slot worker : m_state.reserved.workers) {
        resources free = m_state.index.free(worker);
        const std::int64_t places = std::min(needed, times_fitting(job.size, reclaimable(worker)));
        needed -= places;
        const resources wanted = scaled(job.size, places);
        const std::vector<slot> tasks = m_state.workers[worker].tasks;
        for (const slot at : tasks) {
            if (wanted.fits_in(free)) {
                break;
            }
            const task_record& task = m_state.tasks[at];
            if (task.job == no_slot || task.job == m_state.reserved.job ||
                m_state.jobs[task.job].spec.kind != job_kind::batch ||
                (!from_all && m_state.weighted_share(task.team) < share)) {
                continue;
            }
            free += task.size;
            if (task.phase == task_phase::checkpointing || task.phase == task_phase::stopping ||
                m_preemptor.checkpoint(at, reason::preempted_for_gang)) {
                continue;
            }
            if (from_all && m_state.jobs[task.job].spec.repeatable) {
                m_preemptor.stop(at, reason::preempted_for_gang);
            }
            else {
                free -= task.size;
            }
        }
    }
}

void gang_planner::check_reservation()
{
    if (m_state.reserved.job == no_slot) {
        return;
    }
    const job_record& job = m_state.jobs[m_state.reserved.job];
    const bool broken =
        std::any_of(m_state.reserved.workers.begin(), m_state.reserved.workers.end(),
                    [this](slot worker) { return !m_state.usable(m_state.workers[worker]); });
    // If fewer tasks wait than at creation, a task was placed and the reservation has served its
    // purpose.
    if (broken || job.pending.size() < m_state.reserved.waiting_tasks) {
        if (job.spec.kind != job_kind::gang) {
            m_state.jobs[m_state.reserved.job].reclaim_started_at = {};
        }
        cancel_reservation();
        return;
    }
    const base::duration waited = m_state.now - m_state.reserved.created_at;
    if (waited > m_state.settings.share_wait_timeout) {
        // First only from teams at or above the share of the waiting team, itself included; after
        // the gang wait timeout from all teams.
        reclaim(waited > m_state.settings.gang_wait_timeout);
    }
}

void gang_planner::on_tick()
{
    if (m_state.now - m_last_run < retry_interval) {
        return;
    }
    m_last_run = m_state.now;
    check_reservation();
    try_gangs();
    if (m_state.reserved.job == no_slot) {
        reserve_for_starved();
    }
}

} // namespace lovagebeam::placement::internal
