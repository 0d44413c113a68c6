#include "cell.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace lovagebeam::placement::internal {

namespace {

/// Aborts the process, because continuing would violate a guaranteed bound.
[[noreturn]] void fail_invariant(std::string_view rule, const std::string& id,
                                 const resources& booked, const resources& more,
                                 const resources& bound)
{
    const std::string text = "placement invariant broken: rule=" + std::string{rule} + " id=" + id +
                             " booked=[" + text_of(booked) + "] more=[" + text_of(more) +
                             "] bound=[" + text_of(bound) + "]\n";
    std::fputs(text.c_str(), stderr);
    std::abort();
}

template <class Map, class Records>
slot intern(Map& map, Records& records, const std::string& id)
{
    const auto [at, added] = map.try_emplace(id, static_cast<slot>(records.size()));
    if (added) {
        records.emplace_back();
    }
    return at->second;
}

slot find_in(const flat_map<std::string, slot>& map, const std::string& id)
{
    const auto at = map.find(id);
    return at == map.end() ? no_slot : at->second;
}

resources limit_of(const team_settings& settings)
{
    constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();
    return {settings.limit_cpu.value_or(base::millicores{unlimited}),
            settings.limit_memory.value_or(base::bytes{unlimited}),
            settings.limit_devices.value_or(accelerators{unlimited})};
}

} // namespace

slot cell::find_or_add_team(const base::team_id& id)
{
    const slot at = intern(team_by_id, teams, id.str());
    teams[at].id = id;
    return at;
}

slot cell::find_or_add_worker(const base::worker_id& id)
{
    const slot at = intern(worker_by_id, workers, id.str());
    workers[at].id = id;
    return at;
}

slot cell::find_or_add_domain(const base::failure_domain& id)
{
    for (slot at = 0; at < domains.size(); ++at) {
        if (domains[at].id == id) {
            return at;
        }
    }
    domains.emplace_back();
    domains.back().id = id;
    return static_cast<slot>(domains.size() - 1);
}

slot cell::find_or_add_rack(const rack_id& id)
{
    const auto at = std::find(racks.begin(), racks.end(), id);
    if (at != racks.end()) {
        return static_cast<slot>(at - racks.begin());
    }
    racks.push_back(id);
    return static_cast<slot>(racks.size() - 1);
}

slot cell::find_job(const base::job_id& id) const
{
    return find_in(job_by_id, id.str());
}

slot cell::find_task(const base::task_id& id) const
{
    return find_in(task_by_id, id.str());
}

slot cell::find_worker(const base::worker_id& id) const
{
    return find_in(worker_by_id, id.str());
}

void cell::book(const task_record& task, const resources& size)
{
    workers[task.worker].booked += size;
    booked += size;
    if (task.team != no_slot) {
        teams[task.team].booked += size;
    }
}

void cell::release(const task_record& task, const resources& size)
{
    workers[task.worker].booked -= size;
    booked -= size;
    if (task.team != no_slot) {
        teams[task.team].booked -= size;
        if (teams[task.team].limit_blocks) {
            teams[task.team].limit_blocks = false;
            limit_freed_teams.push_back(task.team);
        }
    }
    freed_workers.push_back(task.worker);
}

void cell::attach(slot at)
{
    task_record& task = tasks[at];
    worker_record& worker = workers[task.worker];
    task.worker_position = static_cast<std::uint32_t>(worker.tasks.size());
    worker.tasks.push_back(at);
    worker.unsized += task.unsized ? 1 : 0;
    task_by_id[task.id.str()] = at;
    if (task.job != no_slot) {
        jobs[task.job].placements.push_back(at);
    }
    refresh(task.worker);
}

slot cell::add_task(task_record task)
{
    const worker_record& worker = workers[task.worker];
    if (!usable(worker) || !(worker.booked + task.size).fits_in(worker.capacity)) {
        fail_invariant("worker_capacity", worker.id.str(), worker.booked, task.size,
                       worker.capacity);
    }
    if (!within_limit(task.team, task.size)) {
        const team_record& team = teams[task.team];
        fail_invariant("team_limit", team.id.str(), team.booked, task.size,
                       limit_of(team.settings));
    }
    return adopt_task(std::move(task));
}

slot cell::adopt_task(task_record task)
{
    book(task, task.size);
    const slot at = tasks.add(std::move(task));
    attach(at);
    return at;
}

void cell::remove_task(slot at)
{
    task_record& task = tasks[at];
    release(task, task.size);
    worker_record& worker = workers[task.worker];
    const slot last = worker.tasks.back();
    worker.tasks[task.worker_position] = last;
    tasks[last].worker_position = task.worker_position;
    worker.tasks.pop_back();
    worker.unsized -= task.unsized ? 1 : 0;
    if (task.job != no_slot) {
        std::erase(jobs[task.job].placements, at);
    }
    task_by_id.erase(task.id.str());
    const slot on = task.worker;
    tasks.remove(at);
    refresh(on);
}

void cell::resize_task(slot at, const resources& size)
{
    task_record& task = tasks[at];
    const resources before = task.size;
    const worker_record& worker = workers[task.worker];
    if (!size.fits_in(before)) {
        const resources others = worker.booked - before;
        if (!(others + size).fits_in(worker.capacity)) {
            fail_invariant("worker_capacity", worker.id.str(), others, size, worker.capacity);
        }
        const team_record& team = teams[task.team];
        if (!(team.booked - before + size).fits_in(limit_of(team.settings))) {
            fail_invariant("team_limit", team.id.str(), team.booked - before, size,
                           limit_of(team.settings));
        }
    }
    release(task, before);
    book(task, size);
    task.size = size;
    refresh(task.worker);
}

bool cell::usable(const worker_record& worker) const
{
    return worker.present && !worker.draining && !worker.quarantined && worker.unsized == 0;
}

resources cell::headroom(const worker_record& worker) const
{
    const auto reserved_cpu = static_cast<std::int64_t>(
        static_cast<double>(worker.capacity.cpu.value()) * settings.urgent_headroom);
    return {base::millicores{reserved_cpu}, {}, {}};
}

void cell::refresh(slot at)
{
    const worker_record& worker = workers[at];
    if (worker.domain == no_slot) {
        return;
    }
    if (!usable(worker)) {
        const resources none{base::millicores{-1}, base::bytes{-1}, accelerators{-1}};
        index.update(at, worker.domain, none, none);
        return;
    }
    const resources free = worker.capacity - worker.booked;
    // An empty host offers its headroom too, so that a task as large as the host can be placed.
    index.update(at, worker.domain, worker.tasks.empty() ? free : free - headroom(worker), free);
}

void cell::set_capacity(slot at, const resources& size, bool present)
{
    worker_record& worker = workers[at];
    if (worker.present) {
        capacity -= worker.capacity;
        --domains[worker.domain].present;
        --shape_of(worker.capacity).present;
    }
    if (!(worker.capacity == size)) {
        shape& before = shape_of(worker.capacity);
        before.known -= before.known > 0 ? 1 : 0;
        ++shape_of(size).known;
    }
    worker.capacity = size;
    worker.present = present;
    if (present) {
        capacity += size;
        ++domains[worker.domain].present;
        ++shape_of(size).present;
    }
    refresh(at);
}

cell::shape& cell::shape_of(const resources& size)
{
    const auto at = std::find_if(shapes.begin(), shapes.end(),
                                 [&](const shape& s) { return s.capacity == size; });
    if (at != shapes.end()) {
        return *at;
    }
    shapes.push_back({size, 0, 0});
    return shapes.back();
}

bool cell::fits_some_known_worker(const resources& size) const
{
    return fleet_task_capacity(size, false, 1) > 0;
}

std::size_t cell::present_workers_that_fit(const resources& size) const
{
    std::size_t count = 0;
    for (const shape& s : shapes) {
        count += size.fits_in(s.capacity) ? s.present : 0;
    }
    return count;
}

bool cell::fits_some_present_worker(const resources& size) const
{
    return fleet_task_capacity(size, true, 1) > 0;
}

std::int64_t cell::fleet_task_capacity(const resources& size, bool present_only,
                                       std::int64_t enough) const
{
    std::int64_t held = 0;
    for (const shape& s : shapes) {
        const std::int64_t workers_of_shape = present_only ? s.present : s.known;
        if (workers_of_shape > 0) {
            held += workers_of_shape * std::min(times_fitting(size, s.capacity), enough);
        }
    }
    return std::min(held, enough);
}

bool cell::within_limit_when_idle(slot team, const resources& amount) const
{
    return amount.fits_in(limit_of(teams[team].settings));
}

bool cell::within_limit(slot team, const resources& more) const
{
    const team_record& record = teams[team];
    return (record.booked + more).fits_in(limit_of(record.settings));
}

bool cell::within_limit_for_job(slot job, const resources& more) const
{
    const team_record& team = teams[jobs[job].team];
    if (team.limit_held_for == no_slot || team.limit_held_for == job) {
        return within_limit(jobs[job].team, more);
    }
    return within_limit(jobs[job].team, more + team.held_limit);
}

double cell::dominant_share(const resources& amount) const
{
    const auto part = [](std::int64_t used, std::int64_t total) {
        return total <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
    };
    return std::max({part(amount.cpu.value(), capacity.cpu.value()),
                     part(amount.memory.value(), capacity.memory.value()),
                     part(amount.devices.value(), capacity.devices.value())});
}

double cell::weighted_share(slot team) const
{
    const team_record& record = teams[team];
    return dominant_share(record.booked) / static_cast<double>(record.settings.share);
}

void cell::hold(slot at, slot team, base::time_point until)
{
    workers[at].held_until = until;
    workers[at].held_team = team;
    held_workers.push_back(at);
}

void cell::release_holds()
{
    std::erase_if(held_workers, [this](slot at) {
        if (now < workers[at].held_until) {
            return false;
        }
        freed_workers.push_back(at);
        return true;
    });
}

void cell::record_reason(slot at, reason why, slot worker)
{
    job_record& job = jobs[at];
    if (job.why == why && worker == no_slot) {
        return;
    }
    job.why = why;
    job.history.add({now, why, worker});
}

} // namespace lovagebeam::placement::internal
