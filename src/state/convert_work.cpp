// Conversion of jobs, tasks, intents and results.
#include "lovagebeam/base/errors.h"

#include "convert.h"

namespace lovagebeam::state {
namespace {

// The enumerations of state.proto reserve 0 for "unspecified"; `offset` is the difference between
// a message's number and that of the model.
template <class Model, class Message>
std::optional<Model> enum_from(Message message, int offset, Model last)
{
    const int number = static_cast<int>(message) - offset;
    if (number < 0 || number > static_cast<int>(last)) {
        return std::nullopt;
    }
    return static_cast<Model>(number);
}

template <class Message, class Model>
Message enum_to(Model model, int offset)
{
    return static_cast<Message>(static_cast<int>(model) + offset);
}

std::optional<base::wall_time> optional_time(std::int64_t time)
{
    return time == 0 ? std::nullopt : std::optional{from_ms(time)};
}

std::int64_t optional_ms(const std::optional<base::wall_time>& time)
{
    return time ? to_ms(*time) : 0;
}

absl::Status status_from(const std::string& name, const std::string& message)
{
    if (name.empty()) {
        return absl::OkStatus();
    }
    return base::make_error(
        base::error_code_from_name(name).value_or(base::error_code::internal_error), message);
}

template <class Message>
void put_status(Message& message, const absl::Status& status)
{
    if (!status.ok()) {
        const auto code = base::code_of(status).value_or(base::error_code::internal_error);
        message.set_error_code(std::string{base::name_of(code)});
        message.set_message(std::string{status.message()});
    }
}

} // namespace

std::optional<job_kind> from_proto(pb::JobKind kind)
{
    return enum_from(kind, 1, job_kind::urgent);
}

std::optional<work_outcome> from_proto(pb::WorkOutcome outcome)
{
    return enum_from(outcome, 0, work_outcome::unknown);
}

std::optional<task_outcome> from_proto(pb::TaskOutcome outcome)
{
    return enum_from(outcome, 0, task_outcome::unknown);
}

pb::JobSpec to_proto(const job_spec& value)
{
    pb::JobSpec message;
    message.set_job(value.id.str());
    message.set_team(value.team.str());
    message.set_idempotency_key(value.key.str());
    message.set_name(value.name);
    message.set_command(value.command);
    message.set_kind(enum_to<pb::JobKind>(value.kind, 1));
    message.set_tasks(value.tasks);
    message.set_millicores(value.cores.value());
    message.set_memory_bytes(value.memory.value());
    message.set_accelerators(value.accelerators);
    message.set_run_time_ms(value.run_time.count());
    message.set_deadline_ms(value.deadline.count());
    message.set_repeatable(value.repeatable);
    message.set_work_key(value.work.str());
    return message;
}

std::optional<job_spec> from_proto(const pb::JobSpec& message)
{
    const auto kind = from_proto(message.kind());
    if (!kind) {
        return std::nullopt;
    }
    job_spec value;
    value.id = base::job_id{message.job()};
    value.team = base::team_id{message.team()};
    value.key = base::idempotency_key{message.idempotency_key()};
    value.name = message.name();
    value.command = message.command();
    value.kind = *kind;
    value.tasks = message.tasks();
    value.cores = base::millicores{message.millicores()};
    value.memory = base::bytes{message.memory_bytes()};
    value.accelerators = message.accelerators();
    value.run_time = milliseconds{message.run_time_ms()};
    value.deadline = milliseconds{message.deadline_ms()};
    value.repeatable = message.repeatable();
    value.work = base::work_key{message.work_key()};
    return value;
}

pb::JobRecord to_proto(const job& value)
{
    pb::JobRecord message;
    *message.mutable_spec() = to_proto(value.spec);
    message.set_accepted_ms(to_ms(value.accepted));
    message.set_cancel_requested(value.cancel_requested);
    message.set_tasks_open(value.tasks_open);
    message.set_ended_ms(optional_ms(value.ended));
    message.set_expires_ms(optional_ms(value.expiry));
    return message;
}

std::optional<job> from_proto(const pb::JobRecord& message)
{
    auto spec = from_proto(message.spec());
    if (!spec) {
        return std::nullopt;
    }
    job value;
    value.spec = std::move(*spec);
    value.accepted = from_ms(message.accepted_ms());
    value.cancel_requested = message.cancel_requested();
    value.tasks_open = message.tasks_open();
    value.ended = optional_time(message.ended_ms());
    value.expiry = optional_time(message.expires_ms());
    return value;
}

pb::TaskRecord to_proto(const task& value)
{
    pb::TaskRecord message;
    message.set_task(value.id.str());
    message.set_job(value.job.str());
    message.set_state(enum_to<pb::TaskState>(value.state, 1));
    message.set_worker(value.worker.str());
    message.set_lease_ms(value.lease.count());
    message.set_fence(value.fence);
    message.set_placed_ms(to_ms(value.placed));
    message.set_started_ms(to_ms(value.started));
    message.set_ended_ms(to_ms(value.ended));
    message.set_outcome(enum_to<pb::TaskOutcome>(value.outcome, 0));
    message.set_output(value.output);
    message.set_attempts(value.attempts);
    return message;
}

std::optional<task> from_proto(const pb::TaskRecord& message)
{
    const auto state = enum_from(message.state(), 1, task_state::ended);
    const auto outcome = from_proto(message.outcome());
    if (!state || !outcome) {
        return std::nullopt;
    }
    task value;
    value.id = base::task_id{message.task()};
    value.job = base::job_id{message.job()};
    value.state = *state;
    value.worker = base::worker_id{message.worker()};
    value.lease = milliseconds{message.lease_ms()};
    value.fence = message.fence();
    value.placed = from_ms(message.placed_ms());
    value.started = from_ms(message.started_ms());
    value.ended = from_ms(message.ended_ms());
    value.outcome = *outcome;
    value.output = message.output();
    value.attempts = message.attempts();
    return value;
}

pb::IntentRecord to_proto(const intent& value)
{
    pb::IntentRecord message;
    message.set_team(value.team.str());
    message.set_idempotency_key(value.key.str());
    message.set_attempt(value.attempt.str());
    message.set_target(value.target.str());
    message.set_epoch(value.epoch.value());
    message.set_outcome(enum_to<pb::WorkOutcome>(value.outcome, 0));
    message.set_committed_ms(to_ms(value.committed));
    message.set_expires_ms(optional_ms(value.expiry));
    message.set_work_key(value.work.str());
    return message;
}

std::optional<intent> from_proto(const pb::IntentRecord& message)
{
    const auto outcome = from_proto(message.outcome());
    if (!outcome) {
        return std::nullopt;
    }
    return intent{
        base::team_id{message.team()},       base::idempotency_key{message.idempotency_key()},
        base::attempt_id{message.attempt()}, base::target_id{message.target()},
        base::epoch{message.epoch()},        *outcome,
        from_ms(message.committed_ms()),     optional_time(message.expires_ms()),
        base::work_key{message.work_key()}};
}

pb::ResultRecord to_proto(const result_record& value)
{
    pb::ResultRecord message;
    message.set_team(value.team.str());
    message.set_idempotency_key(value.key.str());
    message.set_attempt(value.attempt.str());
    message.set_outcome(enum_to<pb::WorkOutcome>(value.outcome, 0));
    message.set_answer_hash(value.answer_hash);
    message.set_expires_ms(to_ms(value.expiry));
    return message;
}

std::optional<result_record> from_proto(const pb::ResultRecord& message)
{
    const auto outcome = from_proto(message.outcome());
    if (!outcome) {
        return std::nullopt;
    }
    return result_record{base::team_id{message.team()},
                         base::idempotency_key{message.idempotency_key()},
                         base::attempt_id{message.attempt()},
                         *outcome,
                         message.answer_hash(),
                         from_ms(message.expires_ms())};
}

pb::Result to_proto(const apply_result& value)
{
    pb::Result message;
    put_status(message, value.status);
    message.set_version(value.version.value());
    message.set_epoch(value.epoch.value());
    message.set_changed(value.changed);
    message.set_job(value.job.str());
    message.set_attempt(value.attempt.str());
    message.set_outcome(enum_to<pb::WorkOutcome>(value.outcome, 0));
    message.set_key_id(value.key.str());
    message.set_sealed_key(value.sealed_key);
    for (const absl::Status& item : value.items) {
        put_status(*message.add_items(), item);
    }
    message.set_expired(value.expired);
    message.set_more(value.more);
    return message;
}

std::optional<apply_result> from_proto(const pb::Result& message)
{
    const auto outcome = from_proto(message.outcome());
    if (!outcome) {
        return std::nullopt;
    }
    apply_result value;
    value.status = status_from(message.error_code(), message.message());
    value.version = base::config_version{message.version()};
    value.epoch = base::epoch{message.epoch()};
    value.changed = message.changed();
    value.job = base::job_id{message.job()};
    value.attempt = base::attempt_id{message.attempt()};
    value.outcome = *outcome;
    value.key = base::key_id{message.key_id()};
    value.sealed_key = message.sealed_key();
    for (const pb::ItemResult& item : message.items()) {
        value.items.push_back(status_from(item.error_code(), item.message()));
    }
    value.expired = message.expired();
    value.more = message.more();
    return value;
}

pb::OperationRecord to_proto(const operation_record& value)
{
    pb::OperationRecord message;
    message.set_operation_id(value.id.str());
    message.set_fingerprint(value.fingerprint);
    *message.mutable_result() = to_proto(value.result);
    message.set_expires_ms(to_ms(value.expiry));
    return message;
}

std::optional<operation_record> from_proto(const pb::OperationRecord& message)
{
    auto result = from_proto(message.result());
    if (!result) {
        return std::nullopt;
    }
    return operation_record{base::operation_id{message.operation_id()}, message.fingerprint(),
                            std::move(*result), from_ms(message.expires_ms())};
}

} // namespace lovagebeam::state
