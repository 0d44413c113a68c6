// Handles the announcements of workers and the ended tasks that they report.
#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "task_control.h"

#include <utility>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::seconds commit_timeout{10};
/// A worker is lost after four missed announcements, which it sends every 500 ms.
constexpr std::chrono::seconds worker_timeout{2};

placement::resources capacity_of(const workers::worker_announcement& message)
{
    return {message.millicores, message.memory,
            placement::accelerators{static_cast<std::int64_t>(message.accelerators)}};
}

} // namespace

bool task_control::is_repeatable(const placement_ref& ref) const
{
    const state::job* const job = m_log.state().find_job(ref.job);
    return job != nullptr && job->spec.repeatable;
}

void task_control::handle_task_end(base::time_point now, const base::task_id& task,
                                   workers::task_state ended, const std::string& output)
{
    const auto ref = parse_worker_task_id(task);
    if (!ref) {
        return;
    }
    switch (ended) {
    case workers::task_state::succeeded:
        commit_end(now, task, proto::state::TASK_OUTCOME_SUCCEEDED, output,
                   placement::task_outcome::completed);
        return;
    case workers::task_state::checkpointed:
        commit_end(now, task, proto::state::TASK_OUTCOME_REQUEUED, "",
                   placement::task_outcome::checkpointed);
        return;
    case workers::task_state::stopped:
    case workers::task_state::lease_expired:
        commit_end(now, task, proto::state::TASK_OUTCOME_REQUEUED, "",
                   placement::task_outcome::stopped);
        return;
    default:
        // The scheduler retries repeatable work on other workers before the job fails.
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
        // The state already has this result, but the scheduler may not after a leader change.
        step(now, placement::task_ended{task, report, std::nullopt, std::nullopt});
        return;
    }
    if (!m_pending_ends.insert(task).second) {
        return;
    }
    state::command command;
    auto& body = *command.mutable_task_ended();
    body.set_task(state_task_id(*ref).str());
    body.set_fence(ref->fence);
    body.set_outcome(outcome);
    body.set_output(output);
    // The scheduler must free the capacity only after the state has, or the state would refuse the
    // next placement on this worker.
    m_log.propose(
        now, std::move(command), now + commit_timeout,
        [this, task, report](const absl::StatusOr<state::apply_result>& result) {
            m_loop.post_completion(
                [this, task, report, is_done = result.ok()](base::time_point when) {
                    m_pending_ends.erase(task);
                    if (is_done) {
                        step(when, placement::task_ended{task, report, std::nullopt, std::nullopt});
                    }
                });
        });
}

absl::StatusOr<std::string> task_control::on_announcement(base::time_point now,
                                                          const std::string& text)
{
    const auto message = workers::decode_worker_announcement(text);
    if (!message.ok()) {
        return message.status();
    }
    if (!m_scheduler) {
        return make_error(error_code::not_leader, "the scheduler hasn't started");
    }
    record_worker(now, *message);
    workers::announcement_answer answer;
    for (const auto& task : message->tasks) {
        if (workers::is_ended(task.state)) {
            handle_task_end(now, task.task_id, task.state, task.output);
        }
        else {
            answer.leases.push_back(
                {task.task_id, std::chrono::duration_cast<std::chrono::milliseconds>(
                                   placement::scheduler_settings{}.task_lease)});
        }
    }
    update_scheduler_worker(now, *message);
    return workers::encode(answer);
}

void task_control::record_worker(base::time_point now, const workers::worker_announcement& message)
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
    m_log.propose(now, std::move(command), now + commit_timeout,
                  [this, id = message.worker_id](const auto&) { m_worker_proposals.erase(id); });
}

void task_control::update_scheduler_worker(base::time_point now,
                                           const workers::worker_announcement& message)
{
    // The state refuses placements on a worker whose record isn't committed yet.
    if (m_log.state().find_worker(message.worker_id) == nullptr) {
        return;
    }
    placement::worker_seen seen;
    seen.worker = message.worker_id;
    seen.domain = message.failure_domain;
    seen.rack = placement::rack_id{message.rack};
    seen.capacity = capacity_of(message);
    for (const auto& task : message.tasks) {
        if (!workers::is_ended(task.state)) {
            seen.running.push_back({task.task_id, std::nullopt, std::nullopt});
        }
    }
    step(now, seen);
}

void task_control::detect_lost_workers(base::time_point now)
{
    for (auto& [id, known] : m_workers) {
        if (!known.is_lost && now - known.last_contact > worker_timeout) {
            known.is_lost = true;
            log_event{severity::warning, "worker_lost"}.with("worker", id.str()).write();
            step(now, placement::worker_lost{id});
        }
    }
}

} // namespace lovagebeam::daemon
