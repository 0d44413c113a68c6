#include "task_control.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/telemetry/log.h"

#include "job_convert.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::seconds commit_timeout{10};
/// Also the bound on the transit time of a start command (scheduler_settings::start_transit).
constexpr std::chrono::seconds worker_call_timeout{1};

placement::scheduler_settings scheduler_settings()
{
    placement::scheduler_settings result;
    // The replicated state books the declared sizes, so disable the scheduler's size correction.
    result.correction_samples = std::numeric_limits<std::uint32_t>::max();
    return result;
}

} // namespace

task_control::task_control(const dependencies& deps)
    : m_log{*deps.log}, m_workers_client{*deps.client}, m_loop{*deps.loop}, m_metrics{*deps.metrics}
{
}

void task_control::tick(base::time_point now)
{
    if (!m_log.is_leader()) {
        m_scheduler.reset();
        m_uncommitted.clear();
        m_pending_ends.clear();
        return;
    }
    if (!m_scheduler || m_term != m_log.replica().current_term().value()) {
        if (!m_log.is_established_leader(now)) {
            return;
        }
        start(now);
    }
    detect_lost_workers(now);
    step(now, placement::tick{});
    publish_metrics();
}

void task_control::start(base::time_point now)
{
    m_term = m_log.replica().current_term().value();
    m_workers.clear();
    m_pending_ends.clear();
    m_uncommitted.clear();
    auto built = placement::scheduler_builder{}
                     .settings(scheduler_settings())
                     .recovered(load_state(now))
                     .build(now);
    if (!built.ok()) {
        log_event{severity::error, "scheduler_not_started"}
            .with("detail", std::string{built.status().message()})
            .write();
        return;
    }
    m_scheduler.emplace(*std::move(built));
    log_event{severity::info, "scheduler_started"}.with("generation", m_term).write();
}

placement::recovered_state task_control::load_state(base::time_point now) const
{
    placement::recovered_state result;
    result.generation = m_term;
    const auto& cell = m_log.state();
    for (const auto& team : cell.teams()) {
        result.teams.emplace_back(team.id, to_team_settings(team.settings));
    }
    cell.for_each_job([&](const state::job& job) {
        if (job.ended) {
            return;
        }
        placement::recovered_job recovered;
        recovered.spec = to_placement(job, now, base::wall_now());
        recovered.cancelled = job.cancel_requested;
        recovered.was_placed = false;
        std::uint32_t index = 0;
        cell.for_each_task(job.spec.id, [&](const state::task& task) {
            recovered.was_placed = recovered.was_placed || task.attempts > 0;
            if (task.state == state::task_state::ended) {
                (task.outcome == state::task_outcome::unknown ? recovered.unknown
                                                              : recovered.completed)
                    .push_back(index);
            }
            else if (task.state != state::task_state::pending) {
                result.placements.push_back({worker_task_id({job.spec.id, index, task.fence}),
                                             job.spec.id, index, task.worker, recovered.spec.size});
            }
            ++index;
        });
        result.jobs.push_back(std::move(recovered));
    });
    return result;
}

void task_control::step(base::time_point now, const placement::event& input)
{
    if (!m_scheduler) {
        return;
    }
    auto out = m_scheduler->step(now, input);
    std::ranges::move(out.placements, std::back_inserter(m_uncommitted));
    for (const auto& command : out.commands) {
        execute(now, command);
    }
    for (const auto& update : out.jobs) {
        on_job_update(now, update);
    }
    for (const auto& released : out.released) {
        on_released(now, released);
    }
    for (const auto& update : out.workers) {
        log_event{severity::warning, "worker_standing_changed"}
            .with("worker", update.worker.str())
            .with("reason", placement::name_of(update.why))
            .write();
    }
}

void task_control::flush(base::time_point now)
{
    if (m_uncommitted.empty()) {
        return;
    }
    auto decided = std::exchange(m_uncommitted, {});
    state::command command;
    auto& body = *command.mutable_place_tasks();
    for (const auto& decision : decided) {
        auto& group = *body.add_groups();
        for (const auto& task : decision.tasks) {
            const auto ref = parse_worker_task_id(task.task);
            auto& placement = *group.add_placements();
            placement.set_task(state_task_id(*ref).str());
            placement.set_fence(ref->fence);
            placement.set_worker(task.worker.str());
            placement.set_lease_ms(std::chrono::duration_cast<std::chrono::milliseconds>(
                                       placement::scheduler_settings{}.task_lease)
                                       .count());
        }
    }
    m_log.propose(now, std::move(command), now + commit_timeout,
                  [this, decided = std::move(decided),
                   generation = m_term](const absl::StatusOr<state::apply_result>& result) {
                      m_loop.post_completion(
                          [this, decided, generation, result](base::time_point when) {
                              if (generation == m_term) {
                                  on_placed(when, decided, result);
                              }
                          });
                  });
}

void task_control::on_placed(base::time_point now,
                             const std::vector<placement::placement_decision>& decided,
                             const absl::StatusOr<state::apply_result>& result)
{
    if (!result.ok()) {
        // The placements may still be committed. Discard the scheduler; it is rebuilt from the
        // replicated state.
        log_event{severity::warning, "placements_in_doubt"}
            .with("detail", std::string{result.status().message()})
            .write();
        m_scheduler.reset();
        return;
    }
    std::size_t item = 0;
    for (const auto& decision : decided) {
        bool is_committed = result->status.ok();
        for (std::size_t i = 0; i < decision.tasks.size(); ++i, ++item) {
            is_committed = is_committed && item < result->items.size() && result->items[item].ok();
            if (item < result->items.size() && !result->items[item].ok()) {
                log_event{severity::warning, "placement_refused"}
                    .with("task", decision.tasks[i].task.str())
                    .with("detail", std::string{result->items[item].message()})
                    .write();
            }
        }
        if (is_committed) {
            step(now, placement::decision_committed{decision.id});
        }
        else {
            step(now, placement::decision_failed{decision.id});
        }
    }
}

void task_control::execute(base::time_point now, const placement::worker_command& command)
{
    const auto worker = m_workers.find(command.worker);
    if (worker == m_workers.end()) {
        return;
    }
    switch (command.kind) {
    case placement::command_kind::start:
        start_task(now, command, worker->second.where);
        return;
    case placement::command_kind::stop:
    case placement::command_kind::checkpoint:
        m_workers_client.cancel_task(worker->second.where, command.task, now + worker_call_timeout,
                                     [](const workers::worker_result&) {});
        return;
    case placement::command_kind::throttle:
    case placement::command_kind::unthrottle:
        log_event{severity::info, "throttle_not_sent"}.with("task", command.task.str()).write();
        return;
    }
}

void task_control::start_task(base::time_point now, const placement::worker_command& command,
                              const targets::endpoint& where)
{
    const state::job* const job = m_log.state().find_job(command.job);
    if (job == nullptr) {
        return;
    }
    workers::start_task_request request;
    request.task_id = command.task;
    request.job_id = command.job;
    request.lease = std::chrono::duration_cast<std::chrono::milliseconds>(command.lease);
    request.fence = m_term;
    request.spec = {job->spec.name,
                    job->spec.command,
                    command.size.cpu,
                    command.size.memory,
                    static_cast<std::uint32_t>(command.size.devices.value()),
                    job->spec.run_time};
    m_workers_client.start_task(where, request, now + worker_call_timeout,
                                [this, task = command.task](const workers::worker_result& result) {
                                    m_loop.post_completion(
                                        [this, task, result](base::time_point when) {
                                            on_start_result(when, task, result);
                                        });
                                });
}

void task_control::on_start_result(base::time_point now, const base::task_id& task,
                                   const workers::worker_result& result)
{
    if (result.outcome == workers::worker_outcome::refused ||
        result.outcome == workers::worker_outcome::not_sent) {
        log_event{severity::warning, "task_not_started"}
            .with("task", task.str())
            .with("outcome", workers::name_of(result.outcome))
            .with("detail", result.detail)
            .write();
        commit_end(now, task, proto::state::TASK_OUTCOME_REQUEUED, "",
                   placement::task_outcome::refused);
    }
}

void task_control::on_job_update(base::time_point now, const placement::job_update& update)
{
    log_event{severity::info, "job_updated"}
        .with("job", update.job.str())
        .with("state", placement::name_of(update.state))
        .with("reason", placement::name_of(update.why))
        .with("detail", update.detail)
        .write();
    const bool is_abandoned = update.state == placement::job_state::refused ||
                              update.state == placement::job_state::failed;
    const state::job* const job = m_log.state().find_job(update.job);
    if (!is_abandoned || job == nullptr || job->ended) {
        return;
    }
    state::command command;
    command.mutable_cancel_job()->set_job(update.job.str());
    command.mutable_cancel_job()->set_team(job->spec.team.str());
    m_log.propose(now, std::move(command), now + commit_timeout, [](const auto&) {});
}

void task_control::on_released(base::time_point now, const placement::placement_released& released)
{
    const auto ref = parse_worker_task_id(released.task);
    if (!ref) {
        return;
    }
    log_event{severity::warning, "task_released"}
        .with("task", released.task.str())
        .with("reason", placement::name_of(released.why))
        .write();
    state::command command;
    command.mutable_lease_expired()->set_task(state_task_id(*ref).str());
    command.mutable_lease_expired()->set_fence(ref->fence);
    m_log.propose(now, std::move(command), now + commit_timeout, [](const auto&) {});
}

void task_control::on_applied(base::time_point now, const state::command& command,
                              const state::apply_result& result)
{
    if (!m_scheduler || !result.status.ok() || !result.changed) {
        return;
    }
    if (command.has_accept_job()) {
        if (const state::job* const job = m_log.state().find_job(result.job)) {
            step(now, placement::job_accepted{to_placement(*job, now, base::wall_now())});
        }
    }
    else if (command.has_cancel_job()) {
        step(now, placement::cancel_job{base::job_id{command.cancel_job().job()}});
    }
    else if (command.has_change_configuration() || command.has_give_key()) {
        update_scheduler_teams(now);
    }
}

void task_control::update_scheduler_teams(base::time_point now)
{
    for (const auto& team : m_log.state().teams()) {
        step(now, placement::team_changed{team.id, to_team_settings(team.settings)});
    }
}

} // namespace lovagebeam::daemon
