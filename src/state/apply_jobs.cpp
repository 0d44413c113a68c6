// Jobs and the ends of their tasks.
#include "checks.h"
#include "handlers.h"

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

constexpr std::string_view queue_prefix = "queue:";

// P3: work is accepted only for the team whose key came with it, or on a queue open to all. The
// check is repeated here because the key may have been withdrawn since the entry host's check.
absl::Status check_authority(const cell_data& data, const pb::AcceptJob& message)
{
    const std::string& team = message.spec().team();
    if (message.key_id().empty() && team.starts_with(queue_prefix)) {
        if (data.settings_for_team(base::team_id{team}).open) {
            return absl::OkStatus();
        }
        return make_error(error_code::unauthenticated, team + " is not open");
    }
    const team_key* const key = data.keys.find(base::key_id{message.key_id()});
    if (key == nullptr || key->team.str() != team) {
        return make_error(error_code::unauthenticated, "no valid key of team " + team);
    }
    return absl::OkStatus();
}

void add_job(cell_data& data, const job_spec& spec, base::wall_time now)
{
    job added;
    added.spec = spec;
    added.accepted = now;
    added.tasks_open = spec.tasks;
    data.put_job(std::move(added));
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        task one;
        one.id = make_task_id(spec.id, i);
        one.job = spec.id;
        data.put_task(std::move(one));
    }
}

absl::Status unknown_task_error(const std::string& id)
{
    return make_error(error_code::not_found, "there is no task " + id.substr(0, max_id_bytes));
}

absl::Status stale_fence_error(const task& value, std::uint64_t fence)
{
    return make_error(error_code::stale_fence, "task " + value.id.str() + " is " +
                                                   std::string{name_of(value.state)} +
                                                   " under fence " + std::to_string(value.fence) +
                                                   ", not " + std::to_string(fence));
}

absl::Status check_output(const cell_data& data, const pb::TaskEnded& message)
{
    if (message.output().size() > data.limits.max_output_bytes) {
        return make_error(error_code::message_too_large,
                          "output of " + std::to_string(message.output().size()) +
                              " bytes, at most " + std::to_string(data.limits.max_output_bytes));
    }
    return absl::OkStatus();
}

/// Puts a task that lost its placement back in the queue, or ends it if it must not run again.
void requeue_task(cell_data& data, task value, base::wall_time now)
{
    const job& owner = *data.jobs.find(value.job);
    if (!owner.spec.repeatable) {
        end_task(data, std::move(value), task_outcome::unknown, now);
    }
    else if (owner.cancel_requested) {
        end_task(data, std::move(value), task_outcome::cancelled, now);
    }
    else {
        value.state = task_state::pending;
        data.put_task(std::move(value));
    }
}

/// A report for a task that has ended already: a repeat, a late answer in place of `unknown`, or
/// a contradiction.
absl::Status apply_report_after_end(cell_data& data, const task& known, task_outcome outcome,
                                    const std::string& output, apply_context& context)
{
    if (known.outcome == outcome) {
        return absl::OkStatus();
    }
    const bool is_definite = outcome != task_outcome::requeued && outcome != task_outcome::unknown;
    if (known.outcome != task_outcome::unknown || !is_definite) {
        return make_error(error_code::already_exists, "task " + known.id.str() + " has ended as " +
                                                          std::string{name_of(known.outcome)});
    }
    task value = known;
    value.outcome = outcome;
    value.output = output;
    data.put_task(std::move(value));
    context.result.changed = true;
    return absl::OkStatus();
}

} // namespace

absl::Status check_spec(const job_spec& spec, const state_limits& limits)
{
    auto status = first_error(check_id("job", spec.id.str()), check_id("team", spec.team.str()),
                              check_id("idempotency_key", spec.key.str()),
                              check_optional_id("work_key", spec.work.str()),
                              check_text("name", spec.name), check_text("command", spec.command));
    if (status.ok()) {
        status = first_error(check_amount("millicores", spec.cores.value(), 0),
                             check_amount("memory_bytes", spec.memory.value(), 0),
                             check_amount("accelerators", spec.accelerators, 0),
                             check_amount("run_time_ms", spec.run_time.count(), 0),
                             check_amount("deadline_ms", spec.deadline.count(), 0));
    }
    if (status.ok() && (spec.tasks == 0 || spec.tasks > limits.max_tasks_per_job)) {
        status = make_error(error_code::invalid_request,
                            "a job has 1 to " + std::to_string(limits.max_tasks_per_job) +
                                " tasks, not " + std::to_string(spec.tasks));
    }
    return status;
}

void end_task(cell_data& data, task value, task_outcome outcome, base::wall_time now)
{
    job owner = *data.jobs.find(value.job);
    value.state = task_state::ended;
    value.outcome = outcome;
    value.ended = now;
    data.put_task(std::move(value));
    --owner.tasks_open;
    if (owner.tasks_open == 0) {
        owner.ended = now;
        owner.expiry = now + data.settings_for_team(owner.spec.team).result_retention;
    }
    data.put_job(std::move(owner));
}

absl::Status apply(cell_data& data, const pb::AcceptJob& message, apply_context& context)
{
    const auto spec = from_proto(message.spec());
    if (!spec) {
        return make_error(error_code::invalid_request, "unknown kind of job");
    }
    if (auto status = check_spec(*spec, data.limits); !status.ok()) {
        return status;
    }
    if (auto status = check_authority(data, message); !status.ok()) {
        return status;
    }
    const auto first = data.job_by_request.find({spec->team, spec->key});
    if (first != data.job_by_request.end()) {
        context.result.job = first->second;
        job_spec known = data.jobs.find(first->second)->spec;
        known.id = spec->id;
        return known == *spec
                   ? absl::OkStatus()
                   : make_error(error_code::already_exists,
                                "idempotency key " + spec->key.str() + " belongs to job " +
                                    first->second.str() + ", which is different");
    }
    if (data.jobs.find(spec->id) != nullptr) {
        return make_error(error_code::already_exists, "job " + spec->id.str() + " exists");
    }
    add_job(data, *spec, context.now);
    context.result.job = spec->id;
    context.result.changed = true;
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::TaskStarted& message, apply_context& context)
{
    const task* const known = data.tasks.find(base::task_id{message.task()});
    if (known == nullptr) {
        return unknown_task_error(message.task());
    }
    if (known->state == task_state::pending || known->fence != message.fence()) {
        return stale_fence_error(*known, message.fence());
    }
    if (known->state == task_state::placed) {
        task value = *known;
        value.state = task_state::running;
        value.started = context.now;
        data.put_task(std::move(value));
        context.result.changed = true;
    }
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::TaskEnded& message, apply_context& context)
{
    const auto outcome = from_proto(message.outcome());
    if (!outcome || *outcome == task_outcome::none) {
        return make_error(error_code::invalid_request, "unknown outcome of a task");
    }
    if (auto status = check_output(data, message); !status.ok()) {
        return status;
    }
    const task* const known = data.tasks.find(base::task_id{message.task()});
    if (known == nullptr) {
        return unknown_task_error(message.task());
    }
    if (known->state == task_state::pending || known->fence != message.fence()) {
        return stale_fence_error(*known, message.fence());
    }
    if (known->state == task_state::ended) {
        return apply_report_after_end(data, *known, *outcome, message.output(), context);
    }
    task value = *known;
    context.result.changed = true;
    if (*outcome == task_outcome::requeued) {
        requeue_task(data, std::move(value), context.now);
    }
    else {
        value.output = message.output();
        end_task(data, std::move(value), *outcome, context.now);
    }
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::LeaseExpired& message, apply_context& context)
{
    const task* const known = data.tasks.find(base::task_id{message.task()});
    if (known == nullptr) {
        return unknown_task_error(message.task());
    }
    if (known->fence != message.fence()) {
        return stale_fence_error(*known, message.fence());
    }
    if (is_placement(*known)) {
        requeue_task(data, task{*known}, context.now);
        context.result.changed = true;
    }
    return absl::OkStatus();
}

// Tasks with a placement go on until the worker reports their end or the lease expires, because
// their capacity is in use until then.
absl::Status apply(cell_data& data, const pb::CancelJob& message, apply_context& context)
{
    const job* const known = data.jobs.find(base::job_id{message.job()});
    if (known == nullptr || (!message.team().empty() && known->spec.team.str() != message.team())) {
        return make_error(error_code::not_found, "the team has no such job");
    }
    context.result.job = known->spec.id;
    if (known->cancel_requested || known->tasks_open == 0) {
        return absl::OkStatus();
    }
    job value = *known;
    value.cancel_requested = true;
    const job_spec spec = value.spec;
    data.put_job(std::move(value));
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        const task* const one = data.tasks.find(make_task_id(spec.id, i));
        if (one != nullptr && one->state == task_state::pending) {
            end_task(data, task{*one}, task_outcome::cancelled, context.now);
        }
    }
    context.result.changed = true;
    return absl::OkStatus();
}

} // namespace lovagebeam::state
