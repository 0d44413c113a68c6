#include "lovagebeam/jobs/ledger.h"

namespace lovagebeam::jobs {
namespace {

namespace pb = proto::jobs;

base::wall_time from_ms(std::int64_t ms)
{
    return base::wall_time{milliseconds{ms}};
}

std::int64_t to_ms(base::wall_time when)
{
    return when.time_since_epoch().count();
}

pb::Size to_proto(const size& value)
{
    pb::Size out;
    out.set_millicores(value.millicores);
    out.set_memory_mb(value.memory_mb);
    out.set_accelerators(value.accelerators);
    return out;
}

size from_proto(const pb::Size& message)
{
    return {message.millicores(), message.memory_mb(), message.accelerators()};
}

pb::StepSpec to_proto(const step_spec& step)
{
    pb::StepSpec out;
    out.set_tasks(step.tasks);
    *out.mutable_size() = to_proto(step.size);
    out.set_estimate_ms(step.estimate.count());
    out.mutable_depends_on()->Add(step.depends_on.begin(), step.depends_on.end());
    out.set_checkpoints(step.checkpoints);
    out.set_gang(step.gang);
    out.set_rack_sensitive(step.rack_sensitive);
    out.set_required_label(step.required_label);
    out.set_preferred_rack(step.preferred_rack);
    out.set_max_per_worker(step.max_per_worker);
    out.set_speculative(step.speculative);
    out.set_long_running(step.long_running);
    out.set_fills(step.fills);
    out.set_image(step.image);
    out.set_tail_target_ms(step.tail_target.count());
    out.set_max_unavailable(step.max_unavailable);
    return out;
}

step_spec from_proto(const pb::StepSpec& message)
{
    step_spec out;
    out.tasks = message.tasks();
    out.size = from_proto(message.size());
    out.estimate = milliseconds{message.estimate_ms()};
    out.depends_on.assign(message.depends_on().begin(), message.depends_on().end());
    out.checkpoints = message.checkpoints();
    out.gang = message.gang();
    out.rack_sensitive = message.rack_sensitive();
    out.required_label = message.required_label();
    out.preferred_rack = message.preferred_rack();
    out.max_per_worker = message.max_per_worker();
    out.speculative = message.speculative();
    out.long_running = message.long_running();
    out.fills = message.fills();
    out.image = message.image();
    out.tail_target = milliseconds{message.tail_target_ms()};
    out.max_unavailable = message.max_unavailable();
    return out;
}

} // namespace

pb::JobSpec to_proto(const job_spec& spec)
{
    pb::JobSpec out;
    out.set_id(spec.id.value());
    out.set_queue(spec.queue);
    out.set_account(spec.account);
    out.set_pool(spec.pool);
    out.set_payload(spec.payload);
    for (const auto& step : spec.steps) {
        *out.add_steps() = to_proto(step);
    }
    out.set_occurrences(spec.occurrences);
    out.set_start_ms(to_ms(spec.start));
    out.set_interval_ms(spec.interval.count());
    out.set_priority(spec.priority);
    out.set_max_attempts(spec.max_attempts);
    out.set_slack_factor(spec.slack_factor);
    out.set_target_latency_ms(spec.target_latency.count());
    if (spec.advice) {
        auto& advice = *out.mutable_advice();
        advice.set_decision_ms(spec.advice->decision.count());
        advice.set_per_worker_us(spec.advice->per_worker.count());
        advice.set_ticket_validity_ms(spec.advice->ticket_validity.count());
    }
    return out;
}

job_spec from_proto(const pb::JobSpec& message)
{
    job_spec out;
    out.id = job_number{message.id()};
    out.queue = message.queue();
    out.account = message.account();
    out.pool = message.pool();
    out.payload = message.payload();
    for (const auto& step : message.steps()) {
        out.steps.push_back(from_proto(step));
    }
    out.occurrences = message.occurrences();
    out.start = from_ms(message.start_ms());
    out.interval = milliseconds{message.interval_ms()};
    out.priority = message.priority();
    out.max_attempts = message.max_attempts();
    out.slack_factor = message.slack_factor();
    out.target_latency = milliseconds{message.target_latency_ms()};
    if (message.has_advice()) {
        const auto& advice = message.advice();
        out.advice = advice_policy{milliseconds{advice.decision_ms()},
                                   std::chrono::microseconds{advice.per_worker_us()},
                                   milliseconds{advice.ticket_validity_ms()}};
    }
    return out;
}

pb::WorkerInfo to_proto(const worker_info& info)
{
    pb::WorkerInfo out;
    out.set_id(info.id.str());
    out.set_address(info.address);
    out.set_port(info.port);
    out.set_pool(info.pool);
    out.set_domain(info.domain.str());
    for (const auto& label : info.labels) {
        out.add_labels(label);
    }
    *out.mutable_capacity() = to_proto(info.capacity);
    out.set_born_ms(to_ms(info.started_at));
    out.set_draining(info.draining);
    out.set_rack(info.rack);
    return out;
}

worker_info from_proto(const pb::WorkerInfo& message)
{
    worker_info out;
    out.id = base::worker_id{message.id()};
    out.address = message.address();
    out.port = static_cast<std::uint16_t>(message.port());
    out.pool = message.pool();
    out.domain = base::failure_domain{message.domain()};
    out.labels.assign(message.labels().begin(), message.labels().end());
    out.capacity = from_proto(message.capacity());
    out.started_at = from_ms(message.born_ms());
    out.draining = message.draining();
    out.rack = message.rack();
    return out;
}

pb::TaskRef to_proto(const run_key& run)
{
    pb::TaskRef out;
    out.set_job(run.task.job.value());
    out.set_occurrence(run.task.occurrence);
    out.set_step(run.task.step);
    out.set_index(run.task.index);
    out.set_attempt(run.attempt);
    return out;
}

run_key from_proto(const pb::TaskRef& message)
{
    return {{job_number{message.job()}, message.occurrence(), message.step(), message.index()},
            message.attempt()};
}

} // namespace lovagebeam::jobs
