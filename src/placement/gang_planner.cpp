#include "gang_planner.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

namespace {

constexpr base::duration try_every = std::chrono::milliseconds{100};
/// Gangs that are tried in one pass. The first one may hold the reservation; the others go ahead
/// only where they fit without it.
constexpr std::size_t tried_gangs = 8;
/// A gang that waits for its team's upper limit longer than this keeps others of the team back.
constexpr base::duration limit_patience = std::chrono::seconds{10};
/// A single task that waits longer than this for a hole of its size gets a reservation.
constexpr base::duration hole_patience = std::chrono::seconds{20};

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
        m_state.note(job, reason::waiting_for_gang);
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
    if (team.held_for == job) {
        team.held_for = no_slot;
        team.held = {};
        m_state.relaxed.push_back(m_state.jobs[job].team);
    }
}

void gang_planner::cancel_reservation()
{
    for (const slot worker : m_state.reserved.workers) {
        m_state.workers[worker].reserved_for = no_slot;
        m_state.freed.push_back(worker);
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
    // Workers with the fewest free places first, so that large holes stay whole.
    std::sort(room.begin(), room.end());
    std::vector<slot> result;
    for (const auto& [times, worker] : room) {
        for (std::int64_t i = 0; i < times && result.size() < tasks; ++i) {
            result.push_back(worker);
        }
    }
    return result;
}

bool gang_planner::possible(slot at)
{
    const job_record& job = m_state.jobs[at];
    const auto tasks = static_cast<std::int64_t>(job.pending.size());
    if (!m_state.within_empty_limit(job.team, scaled(job.size, tasks))) {
        m_state.note(at, reason::waiting_above_team_limit_now);
        return false;
    }
    if (m_state.tasks_held(job.size, true, tasks) < tasks) {
        m_state.note(at, reason::waiting_fleet_too_small_now);
        return false;
    }
    return true;
}

bool gang_planner::try_place(slot at)
{
    const job_record& job = m_state.jobs[at];
    const std::size_t tasks = job.pending.size();
    const resources total = scaled(job.size, static_cast<std::int64_t>(tasks));
    if (tasks == 0 || !m_state.within_limit_of(at, total)) {
        return false;
    }
    const std::vector<slot> workers = workers_for(at, tasks);
    if (workers.empty()) {
        return false;
    }
    remove(at);
    m_queues.place(at, workers, reason::placed_gang);
    return true;
}

void gang_planner::hold_limit(slot at)
{
    const job_record& job = m_state.jobs[at];
    team_record& team = m_state.teams[job.team];
    m_state.note(at, reason::waiting_for_team_limit);
    if (m_state.reserved.job == at) {
        // Room on workers is of no use yet, and another gang may hold the limit and need that room.
        cancel_reservation();
    }
    // The oldest gang holds the limit and, below, the reservation: the same order for both, so that
    // no two gangs wait for each other.
    const bool oldest =
        team.held_for == no_slot || job.accepted < m_state.jobs[team.held_for].accepted;
    if (oldest && m_state.now - job.accepted > limit_patience) {
        team.held_for = at;
        team.held = scaled(job.size, static_cast<std::int64_t>(job.pending.size()));
    }
}

void gang_planner::try_gangs()
{
    const std::vector<slot> gangs = m_gangs;
    std::size_t tried = 0;
    for (const slot at : gangs) {
        if (tried >= tried_gangs) {
            break;
        }
        if (!possible(at)) {
            release_limit(at);
            if (m_state.reserved.job == at) {
                cancel_reservation();
            }
            continue;
        }
        ++tried;
        const job_record& job = m_state.jobs[at];
        const auto tasks = static_cast<std::int64_t>(job.pending.size());
        if (!m_state.within_limit_of(at, scaled(job.size, tasks))) {
            hold_limit(at);
            continue;
        }
        if (try_place(at)) {
            continue;
        }
        if (m_state.reserved.job == no_slot) {
            reserve(at, static_cast<std::size_t>(tasks));
        }
        m_state.note(at, m_state.reserved.job == at ? reason::waiting_for_reservation
                                                    : reason::waiting_for_gang);
    }
}

base::time_point gang_planner::free_at(slot at) const
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

resources gang_planner::movable(slot at) const
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
        const auto places = static_cast<std::size_t>(times_fitting(job.size, movable(worker)));
        if (places > 0) {
            options.push_back({free_at(worker), worker, places});
        }
    }
    std::sort(options.begin(), options.end(),
              [](const option& left, const option& right) { return left.when < right.when; });
    std::size_t places = 0;
    reservation made{at, {}, m_state.now, m_state.now, job.pending.size(), false};
    for (std::size_t i = 0; i < options.size() && places < tasks; ++i) {
        made.workers.push_back(options[i].worker);
        made.expected = options[i].when;
        places += options[i].places;
    }
    if (places < tasks) {
        // Without the workers on which it failed the fleet is too small for it.
        job.failed_on.clear();
        return;
    }
    if (job.claimed == base::time_point{}) {
        job.claimed = m_state.now; // patience counts from the first reservation
    }
    made.made = job.claimed;
    for (const slot worker : made.workers) {
        m_state.workers[worker].reserved_for = at;
    }
    m_state.reserved = std::move(made);
}

void gang_planner::reserve_for_starved()
{
    slot oldest = no_slot;
    for (const team_record& team : m_state.teams) {
        for (const slot at : team.queues) {
            const size_queue& queue = m_state.queues[at];
            if (queue.no_worker_fits && !queue.above_limit &&
                queue.blocked_since < m_state.now - hole_patience &&
                (oldest == no_slot || queue.blocked_since < m_state.queues[oldest].blocked_since)) {
                oldest = at;
            }
        }
    }
    if (oldest == no_slot) {
        return;
    }
    const slot job = m_queues.front_job(oldest);
    if (job != no_slot && !m_state.jobs[job].parked) {
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
        const std::int64_t places = std::min(needed, times_fitting(job.size, movable(worker)));
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
                m_preempt.checkpoint(at, reason::preempted_for_gang)) {
                continue;
            }
            if (from_all && m_state.jobs[task.job].spec.repeatable) {
                m_preempt.stop(at, reason::preempted_for_gang);
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
    // A single task that found its place has what the reservation was for.
    if (broken || job.pending.size() < m_state.reserved.waiting) {
        if (job.spec.kind != job_kind::gang) {
            m_state.jobs[m_state.reserved.job].claimed = {};
        }
        cancel_reservation();
        return;
    }
    const base::duration waited = m_state.now - m_state.reserved.made;
    if (waited > m_state.settings.share_wait_timeout) {
        // From teams at or above the share of the gang's team, its own included, first; from all
        // when it waits too long.
        reclaim(waited > m_state.settings.gang_wait_timeout);
    }
}

void gang_planner::on_tick()
{
    if (m_state.now - m_last < try_every) {
        return;
    }
    m_last = m_state.now;
    check_reservation();
    try_gangs();
    if (m_state.reserved.job == no_slot) {
        reserve_for_starved();
    }
}

} // namespace lovagebeam::placement::internal
