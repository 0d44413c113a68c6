#include "preemption.h"

#include "format_run.h"
#include "labels.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <limits>
#include <utility>

// Room for urgent steps by stopping runs of lower priority.

namespace lovagebeam::jobs {
namespace {

using planner = scheduling::preemption_planner;

/// A job that ends after its objective earns this part of its value.
constexpr double late_value = 0.2;

planner::amount amount_of(const size& from)
{
    return {from.millicores, from.memory_mb, from.accelerators};
}

size size_of(const planner::amount& from)
{
    return {from.millicores, from.memory_mb, from.accelerators};
}

planner::task_id task_id_of(const task_key& key)
{
    return {key.job.value(), key.occurrence, key.step, key.index};
}

run_key run_key_of(const planner::run_id& id)
{
    const auto& task = id.task;
    return {{job_number{task.job}, task.occurrence, task.step, task.index}, id.attempt};
}

double seconds(base::duration time)
{
    return std::chrono::duration<double>{time}.count();
}

double cores_of(const step_spec& step)
{
    return static_cast<double>(booked_size(step).millicores) / 1'000;
}

/// The work of all steps by their estimates, in core-seconds.
double work_of(const job_spec& job)
{
    double sum = 0;
    for (const auto& step : job.steps) {
        sum += cores_of(step) * step.tasks * seconds(step.estimate);
    }
    return sum * job.runs();
}

} // namespace

planner::run_id run_id_of(const run_key& run)
{
    return {task_id_of(run.task), run.attempt};
}

void coordinator::begin_preemption_pass(base::time_point now)
{
    auto& state = *m_preemption;
    if (state.current.at == now) {
        return;
    }
    state.round += state.current.has_left_out ? 0 : 1;
    state.current = {};
    state.current.at = now;
    state.first_worker += state.policy.workers_per_step;
    for (const auto& id : state.planner.stopping_workers()) {
        state.current.freeing.insert(&m_candidates.entry(id));
    }
}

// Attempts that ended neither by a failure nor by a crash may have been preempted.
void coordinator::assume_preemptions(const job_record& job)
{
    for (std::uint32_t occurrence = 0; occurrence < job.spec.runs(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& tasks = job.step(occurrence, step).tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                const auto& task = tasks[index];
                const auto explained = (task.placed ? 1 : 0) + task.failures + task.crashes.count;
                if (!task.done && task.attempt > explained) {
                    m_preemption->planner.assume({job.spec.id.value(), occurrence, step, index},
                                                 task.attempt - explained);
                }
            }
        }
    }
}

// A run of an earlier leader that ends as stopped may have been preempted by that leader just
// before the change.
bool coordinator::end_preemption(const run_key& run, const base::worker_id& worker,
                                 proto::jobs::EndKind how)
{
    if (m_preemption->planner.on_run_ended(run_id_of(run))) {
        return true;
    }
    const auto* const task = m_ledger.find(run.task);
    if (how != proto::jobs::END_KIND_STOPPED || task == nullptr) {
        return false;
    }
    const auto history = m_workers.history_of(worker, run);
    const auto explained = task->failures + task->crashes.count;
    if ((!history || !history->started) && task->attempt > explained) {
        m_preemption->planner.assume(task_id_of(run.task), task->attempt - explained);
    }
    return false;
}

bool coordinator::release_preempted_room(const step_key& key)
{
    const auto found = m_preemption->needs.find(key);
    if (found == m_preemption->needs.end() || found->second.rooms.empty()) {
        return false;
    }
    for (const auto& [worker, booked] : std::exchange(found->second.rooms, {})) {
        m_candidates.release(*worker, booked);
        found->second.released.push_back(worker);
    }
    return true;
}

size coordinator::room_coming(base::time_point now, const candidate_worker& on) const
{
    const auto& freed = m_preemption->planner.on_the_way(now, on.info->id);
    return on.free + size_of(freed);
}

// Room that other capacity has replaced, or that is no longer on its way, isn't booked again.
void coordinator::rebook_room(base::time_point now, const planned_step& step, std::size_t tasks)
{
    auto& need = m_preemption->needs.at(step.key);
    const auto booked = booked_size(step.spec);
    for (auto* const worker : std::exchange(need.released, {})) {
        if (need.rooms.size() < tasks && now < need.until && worker->is_usable &&
            booked.fits_in(room_coming(now, *worker))) {
            m_candidates.book(*worker, booked);
            need.rooms.emplace_back(worker, booked);
        }
    }
}

// Those for which nothing is reserved, and which their account's limit leaves room for.
std::size_t coordinator::tasks_without_room(const planned_step& step) const
{
    const auto waiting = waiting_tasks(step);
    // Where a task that may crash its worker goes depends on more than room.
    const auto sound = std::ranges::count_if(
        waiting, [&](std::uint32_t index) { return step.record.tasks[index].crashes.count == 0; });
    if (step.spec.gang && static_cast<std::size_t>(sound) < waiting.size()) {
        return 0;
    }
    const auto reserved = m_reserved.find(step.key);
    const auto covered = reserved == m_reserved.end() ? 0 : reserved->second.sizes.size();
    const auto wanted = static_cast<std::size_t>(sound) - std::min<std::size_t>(sound, covered);
    const auto booked = booked_size(step.spec);
    size total;
    for (std::size_t task = 0; task < wanted; ++task) {
        total += booked;
        if (!is_within_limit(step.job.spec.account, total)) {
            return step.spec.gang ? 0 : task;
        }
    }
    return wanted;
}

bool coordinator::preempt_for(base::time_point now, const planned_step& step, advice_wait advice)
{
    const auto& ready = m_ready.at(step.key);
    auto& state = *m_preemption;
    const auto grace_end = ready.ready_since + state.policy.grace;
    if (ready.priority != 0 || ready.is_expired) {
        state.needs.erase(step.key);
        return false;
    }
    const auto [found, is_new] = state.needs.try_emplace(step.key);
    auto& need = found->second;
    need.looked_at = now;
    if (is_new) {
        need.next_plan = std::max(grace_end, state.settled);
    }
    const auto wanted = tasks_without_room(step);
    rebook_room(now, step, wanted);
    if (need.rooms.size() >= wanted) {
        return wanted > 0;
    }
    const bool waits_for_answer =
        advice == advice_wait::open ||
        (m_advice.is_call_open(step.key) && now < grace_end + state.policy.answer_wait);
    if (waits_for_answer || now < need.next_plan) {
        return false;
    }
    begin_preemption_pass(now);
    if (need.round == state.round) {
        return false;
    }
    if (state.current.steps >= state.policy.steps_per_pass) {
        state.current.has_left_out = true;
        return false;
    }
    need.next_plan = now + state.policy.retry;
    ++state.current.steps;
    make_room(now, step, wanted - need.rooms.size());
    if (need.rooms.size() < wanted) {
        if (state.current.lacks_workers) {
            state.current.has_left_out = true;
        }
        else {
            need.round = state.round;
        }
        return false;
    }
    // By then a stop without an answer no longer counts as room on the way.
    need.next_plan = now + state.policy.planner.stop_timeout;
    return true;
}

void coordinator::make_room(base::time_point now, const planned_step& step, std::size_t tasks)
{
    auto& state = *m_preemption;
    const auto* const total = m_candidates.pool(step.pool);
    if (total == nullptr) {
        return;
    }
    const auto workers = workers_to_compare(now, step);
    const auto booked = booked_size(step.spec);
    planner::need wanted;
    wanted.pool = step.pool;
    wanted.pool_millicores = total->capacity.millicores;
    wanted.size = amount_of(booked);
    wanted.tasks = static_cast<std::uint32_t>(tasks);
    wanted.is_whole = step.spec.gang;
    wanted.worth = (m_ready.at(step.key).is_late ? late_value : 1) / step.spec.tasks;
    const auto plan = state.planner.make_plan(now, wanted, workers);
    for (const auto* const which : plan.stops) {
        stop_for(now, step, *which);
    }
    auto& need = state.needs.at(step.key);
    need.until = now + state.policy.room_timeout;
    for (const auto& id : plan.rooms) {
        auto& worker = m_candidates.entry(id);
        m_candidates.book(worker, booked);
        need.rooms.emplace_back(&worker, booked);
        state.current.freeing.insert(&worker);
    }
    if (plan.rooms.empty()) {
        ask_about_further_workers(now, step);
    }
    else {
        renew_tickets(now, step);
    }
}

void coordinator::stop_for(base::time_point now, const planned_step& urgent,
                           const scheduling::preemption_planner::victim& which)
{
    auto& state = *m_preemption;
    state.planner.on_stop_ordered(now, urgent.pool, which);
    for (const auto& each : which.runs) {
        const auto run = run_key_of(each.id);
        const auto lost = which.lost_work / static_cast<double>(which.runs.size());
        m_workers.stop(now, run);
        m_out.preempted.push_back({run, lost});
        m_out.log_entries.push_back(
            {"run_preempted", run.task.job,
             absl::StrCat("run=", format_run(run), " worker=", each.worker.str(),
                          " priority=", which.priority, " expired=", which.is_expired ? 1 : 0,
                          " lost_core_ms=", static_cast<std::int64_t>(lost * 1'000),
                          " times=", state.planner.times_preempted(each.id.task),
                          " for=", format_job_id(urgent.key.job), ".", urgent.key.occurrence, ".",
                          urgent.key.step)});
    }
}

// A step that fits on no worker of its pool isn't planned, so nobody has asked about it yet, or
// only about workers on which nothing can be stopped.
void coordinator::ask_about_further_workers(base::time_point now, const planned_step& step)
{
    auto& ready = m_ready.at(step.key);
    const auto* const policy = advice_for(step.job.spec);
    if (policy != nullptr && now >= ready.query_not_before && !m_advice.is_call_open(step.key)) {
        ready.query_not_before = now + (step.is_resumed ? m_settings.planner.resumed_query_interval
                                                        : m_settings.planner.advice_query_interval);
        request_advice_on_unknown_workers(step.key, step.job.spec, step.pool, *policy,
                                          call_rank_of(ready));
    }
}

// The tickets are asked for while the runs end.
void coordinator::renew_tickets(base::time_point now, const planned_step& step)
{
    const auto* const policy = advice_for(step.job.spec);
    const auto* const known = m_advice.find(step.key);
    if (policy == nullptr || known == nullptr || known->open_calls > 0) {
        return;
    }
    std::set<base::worker_id> expiring;
    for (const auto& [worker, booked] : m_preemption->needs.at(step.key).rooms) {
        const auto ticket = known->allowed.find(worker->info->id);
        if (ticket != known->allowed.end() &&
            !m_advice.is_valid(now + m_preemption->policy.ticket_need, ticket->second)) {
            expiring.insert(worker->info->id);
        }
    }
    if (!expiring.empty()) {
        m_advice.request(step.key, *policy, {expiring.begin(), expiring.end()}, {0, false, 0});
    }
}

std::vector<scheduling::preemption_planner::worker>
coordinator::workers_to_compare(base::time_point now, const planned_step& step)
{
    auto& state = *m_preemption;
    auto allowed = workers_for_preemption(step);
    if (allowed.size() > state.policy.workers_per_step) {
        // Another part in each pass, but those with room on the way always.
        const auto first = state.first_worker % allowed.size();
        const auto middle = allowed.begin() + static_cast<std::ptrdiff_t>(first);
        std::rotate(allowed.begin(), middle, allowed.end());
        std::stable_partition(allowed.begin(), allowed.end(), [&](const candidate_worker* each) {
            return state.current.freeing.contains(each);
        });
        allowed.resize(state.policy.workers_per_step);
    }
    const auto counts = counts_on_workers(step);
    state.current.lacks_workers = false;
    std::vector<planner::worker> out;
    for (const auto* const each : allowed) {
        if (!state.current.by_worker.contains(each) &&
            state.current.by_worker.size() >= state.policy.workers_per_pass) {
            state.current.lacks_workers = true;
            continue;
        }
        auto most = std::numeric_limits<std::uint32_t>::max();
        if (step.spec.max_per_worker > 0) {
            const auto count = counts.find(each->info->id);
            const auto rooms = std::ranges::count(state.needs.at(step.key).rooms, each,
                                                  [](const auto& room) { return room.first; });
            const auto used = (count == counts.end() ? 0 : count->second) + rooms;
            most = step.spec.max_per_worker -
                   std::min(step.spec.max_per_worker, static_cast<std::uint32_t>(used));
        }
        out.push_back({each->info->id, amount_of(each->free), most, &victims_on(now, *each)});
    }
    return out;
}

std::vector<coordinator::candidate_worker*>
coordinator::workers_for_preemption(const planned_step& step)
{
    const auto avoided = m_avoided.find(step.key);
    std::vector<candidate_worker*> out;
    const auto add = [&](candidate_worker* one) {
        if (one == nullptr || !one->is_usable) {
            return;
        }
        const auto& info = *one->info;
        const bool is_avoided = avoided != m_avoided.end() && avoided->second.contains(info.id);
        if (info.pool == step.pool && step.spec.size.fits_in(info.capacity) && !is_avoided &&
            has_label(info, step.spec.required_label)) {
            out.push_back(one);
        }
    };
    if (advice_for(step.job.spec) == nullptr) {
        for (auto& one : m_candidates.all()) {
            add(&one);
        }
    }
    else if (const auto* const known = m_advice.find(step.key)) {
        for (const auto& [worker, ticket] : known->allowed) {
            add(m_candidates.find_usable(worker));
        }
    }
    return out;
}

const std::vector<const scheduling::preemption_planner::victim*>&
coordinator::victims_on(base::time_point now, const candidate_worker& on)
{
    auto& pass = m_preemption->current;
    const auto [found, is_new] = pass.by_worker.try_emplace(&on);
    if (!is_new) {
        return found->second;
    }
    for (const auto& key : m_ledger.placed_on(on.info->id)) {
        const auto& job = *m_ledger.find(key.job);
        const auto& step = job.spec.steps[key.step];
        if (job.spec.priority == 0 || step.long_running || is_final(job.state)) {
            continue;
        }
        if (!step.gang) {
            add_victim(now, job, key, found->second);
            continue;
        }
        const auto [gang, is_first] = pass.gangs.try_emplace(step_of(key));
        if (is_first) {
            std::vector<const planner::victim*> made;
            add_victim(now, job, key, made);
            gang->second = made.empty() ? nullptr : made.front();
        }
        if (gang->second != nullptr && !std::ranges::count(found->second, gang->second)) {
            found->second.push_back(gang->second);
        }
    }
    return found->second;
}

// A run that hasn't begun, or a gang of which a member hasn't, isn't stopped: it may be refused, or
// end by itself. Neither is a task that may have crashed a worker: its run tells whether it did.
void coordinator::add_victim(base::time_point now, const job_record& job, const task_key& key,
                             std::vector<const scheduling::preemption_planner::victim*>& out)
{
    const auto& step = job.spec.steps[key.step];
    const auto& tasks = job.step(key.occurrence, key.step).tasks;
    planner::victim made;
    made.is_gang = step.gang;
    made.is_long_running = step.long_running;
    made.priority = job.spec.priority;
    base::duration remaining{};
    base::duration longest_loss{};
    const auto first = step.gang ? 0 : key.index;
    const auto end = step.gang ? static_cast<std::uint32_t>(tasks.size()) : key.index + 1;
    for (auto index = first; index < end; ++index) {
        const auto& task = tasks[index];
        const task_key member{key.job, key.occurrence, key.step, index};
        const auto history = m_workers.history_of(task.worker, {member, task.attempt});
        if (!task.placed || task.done || !history || task.crashes.count > 0) {
            return;
        }
        const auto done = base::duration{step.estimate} * history->percent / 100;
        auto lost = history->started ? now - *history->started : done;
        if (step.checkpoints && history->checkpointed) {
            lost = now - *history->checkpointed;
        }
        remaining = std::max(remaining, base::duration{step.estimate} - done);
        longest_loss = std::max(longest_loss, lost);
        made.lost_work += seconds(lost) * cores_of(step);
        made.runs.push_back(
            {run_id_of({member, task.attempt}), task.worker, amount_of(booked_size(step))});
    }
    const auto from = job.spec.occurrences > 0 ? job.spec.due(key.occurrence) : job.accepted;
    const auto due_by = objective_end(job.spec, from, 1);
    const auto expires_at = objective_end(job.spec, from, m_settings.planner.expiry_objectives);
    const auto value = [&](base::duration after) {
        const auto at = m_preemption->wall + std::chrono::duration_cast<milliseconds>(after);
        return at <= due_by ? 1 : at <= expires_at ? late_value : 0;
    };
    made.is_expired = value({}) == 0;
    const auto work = work_of(job.spec);
    const auto part = work > 0 ? std::min(1.0, made.lost_work / work) : 0;
    const auto after_stop = value(remaining + longest_loss);
    made.loss = value(remaining) - after_stop + after_stop * part;
    out.push_back(&m_preemption->current.victims.emplace_back(std::move(made)));
}

void coordinator::plan_steps_with_room(base::time_point now)
{
    std::vector<std::pair<step_key, std::int64_t>> left_out;
    for (const auto& [key, need] : m_preemption->needs) {
        if (!need.rooms.empty() && need.looked_at != now) {
            const auto use =
                static_cast<std::int64_t>(need.rooms.size()) * m_ready.at(key).task_use;
            left_out.emplace_back(key, m_are_shares_in_force ? use : planning_order::unlimited);
        }
    }
    for (const auto& [key, budget] : left_out) {
        static_cast<void>(plan_step(now, {key, false, false, budget}));
    }
}

void coordinator::tick_preemption(base::time_point now, base::wall_time wall)
{
    auto& state = *m_preemption;
    state.now = now;
    state.wall = wall;
    // A stop may be lost; the worker table repeats it after `stop_retry`.
    for (const auto& id : state.planner.stopping()) {
        m_workers.stop(now, run_key_of(id));
    }
    bool is_due = false;
    for (auto& [key, need] : state.needs) {
        if (!need.rooms.empty() && need.until <= now) {
            release_preempted_room(key);
            need.released.clear();
            m_needs_planning = true;
        }
        is_due = is_due || need.next_plan <= now;
    }
    if (is_due && now >= state.next_pass) {
        state.next_pass = now + state.policy.retry;
        m_needs_planning = true;
    }
}

} // namespace lovagebeam::jobs
