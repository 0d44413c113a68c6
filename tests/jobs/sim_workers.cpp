#include "format_run.h"
#include "sim_cell.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

// How the simulated workers carry out orders, and the checks after each start.

namespace lovagebeam::jobs::test {
namespace {

constexpr auto gang_start_timeout = 3s;
constexpr worker_time longest_lease{6'000};
/// A cold worker's tasks take this many times as long.
constexpr double cold_factor = 3;
/// A worker lists this many ends at a time.
constexpr std::size_t max_listed_ends = 500;
/// How long tasks of long-running steps run: to the end of the simulation.
constexpr auto long_run = 24h;

} // namespace

// A lease that is longer than the worker grants is shortened, including that of a start that was
// sent to an earlier instance, whose clock was ahead.
void sim_cell::extend_lease(sim_worker& worker, worker_time deadline) const
{
    const auto clock = worker.clock(now);
    if (clock >= worker.lease) {
        worker.last_lease_expiry = now;
    }
    worker.lease = std::max(worker.lease, std::min(deadline, clock + longest_lease));
}

hold_outcome sim_cell::carry_out(sim_worker& worker, const hold_order& order, hold_answer& out)
{
    if (order.token.value() < worker.fence) {
        return hold_outcome::fenced;
    }
    worker.fence = order.token.value();
    extend_lease(worker, order.deadline.value_or(worker_time{}));
    for (const auto& end : worker.ends) {
        if (end.row.number <= order.cursor) {
            record_acknowledged_end(worker, end);
        }
    }
    std::erase_if(worker.ends, [&](const sim_worker::listed_end& end) {
        return end.row.number <= order.cursor;
    });
    out.clock = worker.clock(now);
    out.started_at = worker.info.started_at;
    for (const auto& [run, state] : worker.runs) {
        out.running.push_back({run, state.last_checkpoint(now), state.percent(now), std::nullopt});
    }
    for (const auto& end : worker.ends) {
        if (out.finished.size() < max_listed_ends) {
            out.finished.push_back(end.row);
        }
    }
    out.may_lack_ends = out.finished.size() == max_listed_ends;
    return hold_outcome::answered;
}

start_outcome sim_cell::carry_out(sim_worker& worker, const start_order& order)
{
    advance(worker);
    if (order.to.started_at != worker.info.started_at && order.token.value() < worker.fence) {
        return start_outcome::fenced;
    }
    if (order.token.value() < worker.fence) {
        return start_outcome::fenced;
    }
    worker.fence = order.token.value();
    if (worker.runs.contains(order.run)) {
        return start_outcome::started;
    }
    if (order.deadline <= worker.clock(now)) {
        return start_outcome::too_late;
    }
    if (settings.with_advice && order.ticket.empty()) {
        return start_outcome::no_ticket;
    }
    extend_lease(worker, order.deadline);
    const auto highest_attempt = worker.ended_attempts.find(order.run.task);
    if (highest_attempt != worker.ended_attempts.end() &&
        highest_attempt->second >= order.run.attempt) {
        return start_outcome::superseded;
    }
    check_start(worker, order.run);
    ++starts;
    worker.runs.emplace(order.run, make_run(worker, order));
    if (const auto crashing = crashing_tasks.find(order.run.task);
        crashing != crashing_tasks.end()) {
        schedule(now + crashing->second,
                 [this, id = worker.info.id, crashed = order.run] { crash_worker(id, crashed); });
    }
    if (records.find(order.run.task.job)->spec.steps[order.run.task.step].gang) {
        check_gang(order.run);
    }
    return start_outcome::started;
}

sim_worker::run sim_cell::make_run(const sim_worker& worker, const start_order& order)
{
    const auto& step = records.find(order.run.task.job)->spec.steps[order.run.task.step];
    sim_worker::run run;
    run.began = now;
    const auto length = lengths.find(order.run.task);
    const auto random_length = static_cast<double>(random.between(5, 20)) / 10;
    run.ends = now + work_time(worker, order.run.task,
                               length == lengths.end() ? random_length * settings.work_factor
                                                       : length->second);
    if (step.long_running) {
        run.ends = now + long_run;
    }
    run.work_ends = run.ends;
    run.hangs = worker.hangs;
    run.waits = step.gang;
    run.takes_checkpoints = step.checkpoints;
    run.checkpoint = order.checkpoint;
    first_starts.emplace(order.run.task, now);
    last_started_from[order.run.task] = order.checkpoint;
    if (worker.fails_all) {
        run.ends = now + 20ms;
        run.how = end_kind::failed;
    }
    else if (random.chance(settings.fail_run)) {
        run.how = end_kind::failed;
    }
    return run;
}

base::duration sim_cell::work_time(const sim_worker& worker, const task_key& task,
                                   double length) const
{
    const auto& step = records.find(task.job)->spec.steps[task.step];
    const auto factor = length / worker.speed * (now < worker.cold_until ? cold_factor : 1);
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>{step.estimate} * factor);
}

// Once all members of a gang's attempt have started, they begin to work. They end when the last of
// them is done.
void sim_cell::check_gang(const run_key& run)
{
    const auto& step = records.find(run.task.job)->spec.steps[run.task.step];
    std::vector<sim_worker::run*> members;
    auto ends = now;
    for (auto& [id, worker] : workers) {
        for (auto& [key, state] : worker.runs) {
            if (step_of(key.task) == step_of(run.task) && key.attempt == run.attempt &&
                worker.is_up) {
                const auto length = lengths.find(key.task);
                state.work_ends =
                    now + work_time(worker, key.task, length == lengths.end() ? 1 : length->second);
                ends = std::max(ends, state.hangs ? now + 1h : state.work_ends);
                members.push_back(&state);
            }
        }
    }
    if (members.size() < step.tasks) {
        return;
    }
    for (auto* member : members) {
        member->began = now;
        member->waits = false;
        member->ends = ends;
    }
}

void sim_cell::end(sim_worker& worker, const run_key& run, end_kind how)
{
    const auto checkpoint = worker.runs.at(run).last_checkpoint(now);
    worker.runs.erase(run);
    auto& highest_attempt = worker.ended_attempts[run.task];
    highest_attempt = std::max(highest_attempt, run.attempt);
    worker.ends.push_back({{++worker.last_end, run, how, checkpoint}, now});
    if (how == end_kind::lapsed) {
        worker.last_lease_expiry = now;
    }
    if (how == end_kind::alone) {
        ++alone_ends;
        if (!has_faults) {
            add_violation("GANG", run, "a member waited in vain");
        }
    }
}

void sim_cell::advance(sim_worker& worker)
{
    if (!worker.is_up) {
        return;
    }
    std::vector<std::pair<run_key, end_kind>> over;
    for (const auto& [key, run] : worker.runs) {
        if (worker.clock(now) >= worker.lease) {
            over.emplace_back(key, end_kind::lapsed);
        }
        else if (run.stops && now >= *run.stops) {
            over.emplace_back(key, end_kind::stopped);
        }
        else if (run.waits && now - run.began >= gang_start_timeout) {
            over.emplace_back(key, end_kind::alone);
        }
        else if (!run.waits && !run.hangs && now >= run.ends) {
            over.emplace_back(key, run.how);
        }
    }
    for (const auto& [key, how] : over) {
        end(worker, key, how);
        const auto* const job = records.find(key.task.job);
        if (how == end_kind::done || job == nullptr || !job->spec.steps[key.task.step].gang) {
            continue;
        }
        for (auto& [id, other] : workers) {
            for (auto& [member, state] : other.runs) {
                if (step_of(member.task) == step_of(key.task) && member.attempt == key.attempt &&
                    !state.waits) {
                    state.how = end_kind::broken;
                    state.ends = now;
                }
            }
        }
    }
}

void sim_cell::crash_worker(const base::worker_id& id, const run_key& run)
{
    const auto found = workers.find(id);
    if (found == workers.end() || !found->second.runs.contains(run)) {
        return;
    }
    ++crashes;
    ++m_crash_counts[run.task].workers;
    restart_worker(id, random.chance(0.5));
}

// The published rule counts the starts of processes that were in touch with a stable group for
// three seconds.
void sim_cell::check_crash_budget(const run_key& run)
{
    if (now - leading_since < 3s) {
        return;
    }
    auto& count = m_crash_counts[run.task];
    if (count.workers >= 3 && ++count.starts_after_third >= 3) {
        add_violation("BUDGET", run,
                      absl::StrCat("started again after ", count.workers, " crashes"));
    }
}

std::int64_t sim_cell::milliseconds_since_begin(base::time_point when) const
{
    return std::chrono::duration_cast<milliseconds>(when - m_begin).count();
}

void sim_cell::add_violation(const std::string& rule, const run_key& run, const std::string& detail)
{
    violations.push_back(absl::StrCat(rule, " ", format_run(run), " at ",
                                      milliseconds_since_begin(now), " ms: ", detail));
}

void sim_cell::check_start(const sim_worker& worker, const run_key& run)
{
    const auto& job = *records.find(run.task.job);
    const auto& step = job.spec.steps[run.task.step];
    size used = step.size;
    size account = step.size;
    for (auto& [id, other] : workers) {
        if (!other.is_up) {
            continue;
        }
        advance(other);
        for (const auto& [key, state] : other.runs) {
            const auto& other_job = *records.find(key.task.job);
            const auto size = other_job.spec.steps[key.task.step].size;
            if (id == worker.info.id) {
                used += size;
            }
            if (other_job.spec.account == job.spec.account) {
                account += size;
            }
            if (key.task == run.task) {
                add_violation("TWICE", run,
                              absl::StrCat("also runs on ", id.str(), " as attempt ", key.attempt,
                                           other.is_partitioned ? ", partitioned" : "", ", clock ",
                                           other.clock(now).count(), " lease ",
                                           other.lease.count()));
            }
        }
    }
    const bool may_use_earlier = now < worker.shrunk_until && used.fits_in(worker.earlier_capacity);
    if (!used.fits_in(worker.info.capacity) && !may_use_earlier) {
        add_violation("LIMIT", run,
                      absl::StrCat(used.millicores, " millicores on ", worker.info.id.str()));
    }
    const auto settings_of_account = config->accounts.find(job.spec.account);
    const auto limit =
        settings_of_account == config->accounts.end() ? size{} : settings_of_account->second.limit;
    if (limit.millicores > 0 && account.millicores > limit.millicores) {
        add_violation("QUOTA", run, absl::StrCat(account.millicores, " of ", limit.millicores));
    }
    if (records.find(run.task)->done) {
        add_violation("TWICE", run, "is already done");
    }
    if (!job.is_ready(run.task.occurrence, run.task.step)) {
        add_violation("ORDER", run, "an earlier step isn't done");
    }
    check_crash_budget(run);
    m_starts[run.task].emplace_back(run.attempt, now);
    const auto cancelled = m_cancelled.find(run.task.job);
    if (cancelled != m_cancelled.end() && now - cancelled->second > 3s) {
        add_violation("UNASKED", run, "the job is cancelled");
    }
}

// An end counts once the cursor has reached it, unless the worker's lease expired before.
void sim_cell::record_acknowledged_end(const sim_worker& worker, const sim_worker::listed_end& end)
{
    if (worker.last_lease_expiry <= end.at) {
        m_acknowledged_ends[end.row.run.task].push_back({end.row.run.attempt, end.at, end.row.how});
    }
}

void sim_cell::check_failed_jobs()
{
    for (const auto& [id, job] : records.jobs()) {
        if (job.state != job_state::failed) {
            continue;
        }
        bool has_cause = false;
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& tasks = job.step(0, step).tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                has_cause = has_cause || tasks[index].failures >= job.spec.max_attempts ||
                            m_lost_workers[{id, 0, step, index}] >= 2;
            }
        }
        if (!has_cause) {
            add_violation("LOST", {{id, 0, 0, 0}, 0}, "failed without a cause");
        }
    }
}

void sim_cell::check_acknowledged_ends()
{
    for (const auto& [task, starts_of_task] : m_starts) {
        const auto* const job = records.find(task.job);
        for (const auto& [attempt, at_time] : starts_of_task) {
            std::uint32_t failed = 0;
            for (const auto& end : m_acknowledged_ends[task]) {
                if (end.at >= at_time) {
                    continue;
                }
                failed += end.how == end_kind::failed ? 1 : 0;
                if (end.how == end_kind::done) {
                    add_violation("TWICE", {task, attempt},
                                  absl::StrCat("started at ", milliseconds_since_begin(at_time),
                                               " ms, but attempt ", end.attempt, " was done at ",
                                               milliseconds_since_begin(end.at),
                                               " ms and its end is acknowledged"));
                }
            }
            if (job != nullptr && failed >= job->spec.max_attempts) {
                add_violation("BUDGET", {task, attempt}, "has failed too often");
            }
        }
    }
}

} // namespace lovagebeam::jobs::test
