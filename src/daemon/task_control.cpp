#include "task_control.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "job_convert.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::seconds commit_time{10};
/// Also the time after which a start must not arrive any more (scheduler_settings::start_transit).
constexpr std::chrono::seconds worker_call_time{1};
/// A worker announces itself every 500 ms; four lost announcements make it lost.
constexpr std::chrono::seconds worker_patience{2};

placement::scheduler_settings scheduler_settings()
{
    placement::scheduler_settings result;
    // The replicated state books declared sizes, so the scheduler must not book corrected ones.
    result.correction_samples = std::numeric_limits<std::uint32_t>::max();
    return result;
}

placement::resources capacity_of(const platform::worker_announcement& message)
{
    return {message.millicores, message.memory,
            placement::accelerators{static_cast<std::int64_t>(message.accelerators)}};
}

} // namespace

task_control::task_control(const parts& connected)
    : m_log{*connected.log},
      m_workers_client{*connected.client}, m_loop{*connected.loop}, m_metrics{*connected.metrics}
{
}

void task_control::tick(base::time_point now)
{
    if (!m_log.is_leader()) {
        m_scheduler.reset();
        m_decided.clear();
        m_ending.clear();
        return;
    }
    if (!m_scheduler || m_generation != m_log.replica().current_term().value()) {
        if (!m_log.is_established_leader(now)) {
            return;
        }
        start(now);
    }
    look_for_lost_workers(now);
    step(now, placement::tick{});
    publish_metrics();
}

void task_control::start(base::time_point now)
{
    m_generation = m_log.replica().current_term().value();
    m_workers.clear();
    m_ending.clear();
    m_decided.clear();
    auto built = placement::scheduler_builder{}
                     .settings(scheduler_settings())
                     .recovered(recover())
                     .build(now);
    if (!built.ok()) {
        log_event{severity::error, "scheduler_not_started"}
            .with("detail", std::string{built.status().message()})
            .write();
        return;
    }
    m_scheduler.emplace(*std::move(built));
    log_event{severity::info, "scheduler_started"}.with("generation", m_generation).write();
}

placement::recovered_state task_control::recover() const
{
    placement::recovered_state result;
    result.generation = m_generation;
    const auto& cell = m_log.state();
    for (const auto& team : cell.teams()) {
        result.teams.emplace_back(team.id, to_team_settings(team.settings));
    }
    cell.for_each_job([&](const state::job& job) {
        if (job.ended) {
            return;
        }
        placement::recovered_job recovered;
        recovered.spec = to_placement(job.spec);
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
    std::ranges::move(out.placements, std::back_inserter(m_decided));
    for (const auto& command : out.commands) {
        carry_out(now, command);
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
    if (m_decided.empty()) {
        return;
    }
    auto decided = std::exchange(m_decided, {});
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
    m_log.propose(now, std::move(command), now + commit_time,
                  [this, decided = std::move(decided),
                   generation = m_generation](const absl::StatusOr<state::apply_result>& result) {
                      m_loop.post_completion(
                          [this, decided, generation, result](base::time_point when) {
                              if (generation == m_generation) {
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
        // The placements may still be committed. The scheduler's book keeps them until this host
        // leads anew and rebuilds it.
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

void task_control::carry_out(base::time_point now, const placement::worker_command& command)
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
        m_workers_client.cancel_task(worker->second.where, command.task, now + worker_call_time,
                                     [](const platform::worker_result&) {});
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
    platform::start_task_request request;
    request.task_id = command.task;
    request.job_id = command.job;
    request.lease = std::chrono::duration_cast<std::chrono::milliseconds>(command.lease);
    request.fence = m_generation;
    request.spec = {job->spec.name,
                    job->spec.command,
                    command.size.cpu,
                    command.size.memory,
                    static_cast<std::uint32_t>(command.size.devices.value()),
                    job->spec.run_time};
    m_workers_client.start_task(where, request, now + worker_call_time,
                                [this, task = command.task](const platform::worker_result& result) {
                                    m_loop.post_completion(
                                        [this, task, result](base::time_point when) {
                                            on_start_result(when, task, result);
                                        });
                                });
}

void task_control::on_start_result(base::time_point now, const base::task_id& task,
                                   const platform::worker_result& result)
{
    if (result.outcome == platform::worker_outcome::refused ||
        result.outcome == platform::worker_outcome::not_sent) {
        log_event{severity::warning, "task_not_started"}
            .with("task", task.str())
            .with("outcome", platform::name_of(result.outcome))
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
    const bool is_given_up = update.state == placement::job_state::refused ||
                             update.state == placement::job_state::failed;
    const state::job* const job = m_log.state().find_job(update.job);
    if (!is_given_up || job == nullptr || job->ended) {
        return;
    }
    state::command command;
    command.mutable_cancel_job()->set_job(update.job.str());
    command.mutable_cancel_job()->set_team(job->spec.team.str());
    m_log.propose(now, std::move(command), now + commit_time, [](const auto&) {});
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
    m_log.propose(now, std::move(command), now + commit_time, [](const auto&) {});
}

void task_control::on_applied(base::time_point now, const state::command& command,
                              const state::apply_result& result)
{
    if (!m_scheduler || !result.status.ok() || !result.changed) {
        return;
    }
    if (command.has_accept_job()) {
        if (const state::job* const job = m_log.state().find_job(result.job)) {
            step(now, placement::job_accepted{to_placement(job->spec)});
        }
    }
    else if (command.has_cancel_job()) {
        step(now, placement::cancel_job{base::job_id{command.cancel_job().job()}});
    }
    else if (command.has_change_configuration() || command.has_give_key()) {
        feed_teams(now);
    }
}

void task_control::feed_teams(base::time_point now)
{
    for (const auto& team : m_log.state().teams()) {
        step(now, placement::team_changed{team.id, to_team_settings(team.settings)});
    }
}

bool task_control::is_repeatable(const placement_ref& ref) const
{
    const state::job* const job = m_log.state().find_job(ref.job);
    return job != nullptr && job->spec.repeatable;
}

void task_control::report_end(base::time_point now, const base::task_id& task,
                              platform::task_state ended, const std::string& output)
{
    const auto ref = parse_worker_task_id(task);
    if (!ref) {
        return;
    }
    switch (ended) {
    case platform::task_state::succeeded:
        commit_end(now, task, proto::state::TASK_OUTCOME_SUCCEEDED, output,
                   placement::task_outcome::completed);
        return;
    case platform::task_state::checkpointed:
        commit_end(now, task, proto::state::TASK_OUTCOME_REQUEUED, "",
                   placement::task_outcome::checkpointed);
        return;
    case platform::task_state::stopped:
    case platform::task_state::lease_expired:
        commit_end(now, task, proto::state::TASK_OUTCOME_REQUEUED, "",
                   placement::task_outcome::stopped);
        return;
    default:
        // The scheduler tries work that may be repeated on other workers before it gives up.
        commit_end(now, task,
                   is_repeatable(*ref) ? proto::state::TASK_OUTCOME_REQUEUED
                                       : proto::state::TASK_OUTCOME_FAILED,
                   output, placement::task_outcome::failed);
        return;
    }
}

void task_control::commit_end(base::time_point now, const base::task_id& task,
                              proto::state::TaskOutcome outcome, const std::string& output,
                              placement::task_outcome report)
{
    const auto ref = parse_worker_task_id(task);
    const state::task* const known = ref ? m_log.state().find_task(state_task_id(*ref)) : nullptr;
    const bool is_open =
        known != nullptr && known->fence == ref->fence &&
        (known->state == state::task_state::placed || known->state == state::task_state::running);
    if (!is_open) {
        // The state has this end already; the scheduler may not, after a change of leader.
        step(now, placement::task_ended{task, report, std::nullopt, std::nullopt});
        return;
    }
    if (!m_ending.insert(task).second) {
        return;
    }
    state::command command;
    auto& body = *command.mutable_task_ended();
    body.set_task(state_task_id(*ref).str());
    body.set_fence(ref->fence);
    body.set_outcome(outcome);
    body.set_output(output);
    // The scheduler frees the capacity only once the state has, or the state would refuse the next
    // placement there.
    m_log.propose(
        now, std::move(command), now + commit_time,
        [this, task, report](const absl::StatusOr<state::apply_result>& result) {
            m_loop.post_completion(
                [this, task, report, is_done = result.ok()](base::time_point when) {
                    m_ending.erase(task);
                    if (is_done) {
                        step(when, placement::task_ended{task, report, std::nullopt, std::nullopt});
                    }
                });
        });
}

absl::StatusOr<std::string> task_control::on_announcement(base::time_point now,
                                                          const std::string& text)
{
    const auto message = platform::decode_worker_announcement(text);
    if (!message.ok()) {
        return message.status();
    }
    if (!m_scheduler) {
        return make_error(error_code::not_leader, "the scheduler hasn't started");
    }
    remember_worker(now, *message);
    platform::announcement_answer answer;
    for (const auto& task : message->tasks) {
        if (platform::is_ended(task.state)) {
            report_end(now, task.task_id, task.state, task.output);
        }
        else {
            answer.leases.push_back(
                {task.task_id, std::chrono::duration_cast<std::chrono::milliseconds>(
                                   placement::scheduler_settings{}.task_lease)});
        }
    }
    feed_worker(now, *message);
    return platform::encode(answer);
}

void task_control::remember_worker(base::time_point now,
                                   const platform::worker_announcement& message)
{
    m_workers[message.worker_id] = {message.where, now, false};
    state::worker record{message.worker_id,
                         message.where.address,
                         message.where.port,
                         message.failure_domain,
                         message.rack,
                         message.millicores,
                         message.memory,
                         static_cast<std::int64_t>(message.accelerators),
                         false};
    const state::worker* const known = m_log.state().find_worker(message.worker_id);
    if ((known != nullptr && *known == record) ||
        !m_worker_proposals.insert(message.worker_id).second) {
        return;
    }
    state::command command;
    *command.mutable_put_worker()->mutable_worker() = state::to_proto(record);
    m_log.propose(now, std::move(command), now + commit_time,
                  [this, id = message.worker_id](const auto&) { m_worker_proposals.erase(id); });
}

void task_control::feed_worker(base::time_point now, const platform::worker_announcement& message)
{
    // The state refuses placements on a worker that it doesn't know yet.
    if (m_log.state().find_worker(message.worker_id) == nullptr) {
        return;
    }
    placement::worker_seen seen;
    seen.worker = message.worker_id;
    seen.domain = message.failure_domain;
    seen.rack = placement::rack_id{message.rack};
    seen.capacity = capacity_of(message);
    for (const auto& task : message.tasks) {
        if (!platform::is_ended(task.state)) {
            seen.running.push_back({task.task_id, std::nullopt, std::nullopt});
        }
    }
    step(now, seen);
}

void task_control::look_for_lost_workers(base::time_point now)
{
    for (auto& [id, known] : m_workers) {
        if (!known.is_lost && now - known.seen > worker_patience) {
            known.is_lost = true;
            log_event{severity::warning, "worker_lost"}.with("worker", id.str()).write();
            step(now, placement::worker_lost{id});
        }
    }
}

absl::StatusOr<std::string> task_control::explain_job(const std::string& id) const
{
    const auto found = m_scheduler ? m_scheduler->explain(base::job_id{id}) : std::nullopt;
    if (!found) {
        return make_error(error_code::not_found, "the scheduler doesn't know job " + id);
    }
    boost::json::object out;
    out["job_id"] = id;
    out["state"] = std::string{placement::name_of(found->state)};
    out["reason"] = std::string{placement::name_of(found->why)};
    out["detail"] = found->detail;
    out["tasks_waiting"] = found->waiting;
    out["tasks_running"] = found->running;
    out["tasks_completed"] = found->completed;
    const auto now = std::chrono::steady_clock::now();
    boost::json::array history;
    for (const auto& entry : found->history) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.when);
        history.push_back(
            boost::json::object{{"ms_ago", age.count()},
                                {"reason", std::string{placement::name_of(entry.why)}},
                                {"worker", entry.worker.str()}});
    }
    out["history"] = std::move(history);
    return boost::json::serialize(out);
}

std::string task_control::list_team_use() const
{
    boost::json::array teams;
    if (m_scheduler) {
        for (const auto& team : m_scheduler->teams()) {
            teams.push_back(boost::json::object{{"team", team.team.str()},
                                                {"share", team.settings.share},
                                                {"booked_millicores", team.booked.cpu.value()},
                                                {"booked_memory_bytes", team.booked.memory.value()},
                                                {"dominant_share", team.dominant_share},
                                                {"tasks_waiting", team.waiting}});
        }
    }
    return boost::json::serialize(teams);
}

void task_control::publish_metrics()
{
    if (!m_scheduler) {
        return;
    }
    const auto fleet = m_scheduler->fleet();
    m_metrics.gauge_named("lovagebeam_workers").set(fleet.workers);
    m_metrics.gauge_named("lovagebeam_tasks{state=\"running\"}").set(fleet.running);
    m_metrics.gauge_named("lovagebeam_tasks{state=\"waiting\"}").set(fleet.waiting);
    const auto capacity = static_cast<double>(fleet.capacity.cpu.value());
    m_metrics.gauge_named("lovagebeam_booked_ratio")
        .set(capacity == 0 ? 0 : static_cast<double>(fleet.booked.cpu.value()) / capacity);
}

} // namespace lovagebeam::daemon
