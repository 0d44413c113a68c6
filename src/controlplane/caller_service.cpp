#include "caller_service.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using telemetry::log_event;
using telemetry::severity;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_gone = 410;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;

/// Hexadecimal digits of a job's id.
constexpr std::size_t job_id_digits = 16;
/// A call that was queued for longer shows that the process is overloaded. Several times the
/// longest ordinary pause.
constexpr std::chrono::milliseconds overload_threshold{400};
/// A burst that overloads the process has mostly ended by then.
constexpr std::chrono::milliseconds overload_retry_delay{2'000};
/// The first configuration may have arrived by then.
constexpr std::chrono::milliseconds unconfigured_retry_delay{500};
/// Bounds the memory for unconfirmed submissions. More than a minute without commits leaves.
constexpr std::size_t max_unconfirmed = 50'000;

pb::CallerAnswer answer_with(unsigned status, std::string body = "{}")
{
    pb::CallerAnswer out;
    out.set_status(status);
    out.set_body(std::move(body));
    return out;
}

std::optional<jobs::job_number> parse_id(std::string_view text)
{
    const bool is_hex = text.size() == job_id_digits &&
                        text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    std::uint64_t value = 0;
    if (!is_hex) {
        return std::nullopt;
    }
    std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return jobs::job_number{value};
}

// A job keeps the settings that its queue had when it was accepted.
void copy_settings(const jobs::queue_settings& queue, jobs::job_spec& spec)
{
    spec.queue = queue.name;
    spec.pool = queue.pool;
    spec.priority = queue.priority;
    spec.max_attempts = queue.max_attempts;
    spec.slack_factor = queue.slack_factor;
    spec.target_latency = queue.target_latency;
    spec.advice = queue.advice;
}

pb::CallerAnswer answer_of(caller_service::commit_outcome outcome)
{
    pb::CallerAnswer out;
    if (outcome == caller_service::commit_outcome::committed) {
        out = answer_with(status_ok);
    }
    out.set_not_leader(outcome == caller_service::commit_outcome::refused);
    out.set_in_doubt(outcome == caller_service::commit_outcome::unconfirmed);
    return out;
}

std::string_view name_of(caller_service::commit_outcome outcome)
{
    switch (outcome) {
    case caller_service::commit_outcome::committed:
        return "committed";
    case caller_service::commit_outcome::refused:
        return "refused";
    case caller_service::commit_outcome::unconfirmed:
        return "in_doubt";
    }
    return "unknown";
}

void log_refusal(const pb::CallerCall& call, unsigned status, std::string_view why)
{
    log_event{severity::info, "request_refused"}
        .with("path", call.path())
        .with("method", call.method())
        .with("entry", call.entry())
        .with("status", status)
        .with("why", why)
        .write();
}

} // namespace

void caller_service::handle(base::time_point now, base::duration waited,
                            const jobs::catalog* catalog, const pb::CallerCall& call, done reply)
{
    const auto refuse = [&](unsigned status, std::string_view why) {
        log_refusal(call, status, why);
        reply(answer_with(status));
    };
    if (catalog == nullptr) {
        auto unavailable = answer_with(status_unavailable);
        unavailable.set_retry_after_ms(unconfigured_retry_delay.count());
        log_refusal(call, status_unavailable, "no configuration yet");
        reply(std::move(unavailable));
        return;
    }
    resolved_call resolved;
    resolved.queue = catalog->find_queue(call.host(), call.path());
    if (resolved.queue == nullptr) {
        refuse(status_not_found, "no such queue");
        return;
    }
    const auto account = catalog->account_by_key.find(call.key());
    if (account != catalog->account_by_key.end()) {
        resolved.account = account->second;
    }
    else if (!resolved.queue->open) {
        refuse(status_unauthorized, "unknown key");
        return;
    }
    const auto rest = std::string_view{call.path()}.substr(resolved.queue->path_prefix.size());
    const auto id = parse_id(rest);
    if (!rest.empty() && !id) {
        refuse(call.method() == "POST" ? status_bad_request : status_not_found, "malformed id");
        return;
    }
    resolved.has_job = id.has_value();
    resolved.job = id.value_or(jobs::job_number{});
    if (call.method() == "POST" && resolved.has_job) {
        submit(now, waited, resolved, call.body(), std::move(reply));
    }
    else if (call.method() == "GET") {
        answer_query(now, resolved, reply);
    }
    else if (call.method() == "DELETE" && resolved.has_job) {
        cancel(now, resolved, std::move(reply));
    }
    else {
        refuse(status_method_not_allowed, "method");
    }
}

void caller_service::submit(base::time_point now, base::duration waited,
                            const resolved_call& resolved, std::string_view body, done reply)
{
    if (m_dependencies.records().find(resolved.job) != nullptr) {
        reply(answer_with(status_ok));
        return;
    }
    if (const auto pending = m_submissions.find(resolved.job); pending != m_submissions.end()) {
        pending->second.push_back(std::move(reply));
        return;
    }
    if (waited >= overload_threshold) {
        auto refusal = answer_with(status_unavailable);
        refusal.set_retry_after_ms(overload_retry_delay.count());
        log_event{severity::info, "job_refused"}
            .with("job", jobs::format_job_id(resolved.job))
            .with("why", "overload")
            .with("waited_us",
                  std::chrono::duration_cast<std::chrono::microseconds>(waited).count())
            .write();
        reply(std::move(refusal));
        return;
    }
    auto spec = m_dependencies.codec->decode_job(body);
    if (!spec.ok()) {
        log_event{severity::info, "job_refused"}
            .with("job", jobs::format_job_id(resolved.job))
            .with("why", std::string{spec.status().message()})
            .write();
        reply(answer_with(status_bad_request));
        return;
    }
    spec->id = resolved.job;
    spec->account = resolved.account;
    copy_settings(*resolved.queue, *spec);
    if (refuse_by_forecast(now, *spec, reply)) {
        return;
    }
    m_dependencies.submitted(now, *spec);
    proto::jobs::Operation operation;
    *operation.mutable_accept()->mutable_spec() = jobs::to_proto(*spec);
    operation.mutable_accept()->set_accepted_ms(
        m_dependencies.wall(now).time_since_epoch().count());
    m_submissions[resolved.job].push_back(std::move(reply));
    std::uint32_t tasks = 0;
    for (const auto& step : spec->steps) {
        tasks += step.tasks;
    }
    log_event line{severity::info, "job_submitted"};
    line.with("job", jobs::format_job_id(resolved.job))
        .with("queue", spec->queue)
        .with("account", spec->account)
        .with("steps", spec->steps.size())
        .with("tasks", tasks);
    m_dependencies.commit(now, std::move(operation),
                          [this, id = resolved.job, line](commit_outcome outcome) {
                              auto ended = line;
                              ended.with("outcome", name_of(outcome)).write();
                              finish_submission(id, outcome);
                          });
}

bool caller_service::refuse_by_forecast(base::time_point now, const jobs::job_spec& spec,
                                        const done& reply)
{
    const auto verdict = m_dependencies.judge(now, spec);
    if (verdict.is_admitted || m_unconfirmed.contains(spec.id)) {
        return false;
    }
    auto refusal = answer_with(status_too_many_requests);
    refusal.set_retry_after_ms(verdict.retry_after.count());
    // Core-seconds are the unit in which operators know the work of jobs.
    constexpr std::int64_t millicore_ms_per_core_second = 1'000'000;
    log_event{severity::info, "job_refused"}
        .with("job", jobs::format_job_id(spec.id))
        .with("why", "forecast")
        .with("queue", spec.queue)
        .with("account", spec.account)
        .with("priority", spec.priority)
        .with("expected_end_ms", verdict.expected_end.count())
        .with("objective_ms", verdict.objective.count())
        .with("retry_after_ms", verdict.retry_after.count())
        .with("core_seconds_ahead", verdict.work_ahead / millicore_ms_per_core_second)
        .with("millicores_freed", verdict.rate)
        .write();
    reply(std::move(refusal));
    return true;
}

void caller_service::finish_submission(jobs::job_number id, commit_outcome outcome)
{
    const auto found = m_submissions.find(id);
    if (found == m_submissions.end()) {
        return;
    }
    if (outcome == commit_outcome::unconfirmed && m_unconfirmed.size() < max_unconfirmed) {
        m_unconfirmed.insert(id);
    }
    else if (outcome == commit_outcome::committed) {
        m_unconfirmed.erase(id);
    }
    const auto waiting = std::move(found->second);
    m_submissions.erase(found);
    for (const auto& reply : waiting) {
        reply(answer_of(outcome));
    }
}

void caller_service::answer_query(base::time_point now, const resolved_call& resolved,
                                  const done& reply)
{
    if (!resolved.has_job) {
        reply(answer_with(status_ok, m_dependencies.codec->encode_pending(
                                         m_dependencies.records().pending(resolved.queue->name))));
        return;
    }
    const auto* const job = m_dependencies.records().find(resolved.job);
    const bool waits =
        job != nullptr && state_watch::is_ending(*job) &&
        m_watch.wait(now, resolved.job, [this, id = resolved.job, reply](state_watch::reason why) {
            if (why != state_watch::reason::not_leading) {
                answer_state(id, reply);
                return;
            }
            pb::CallerAnswer elsewhere;
            elsewhere.set_not_leader(true);
            reply(std::move(elsewhere));
        });
    if (!waits) {
        answer_state(resolved.job, reply);
    }
}

void caller_service::answer_state(jobs::job_number id, const done& reply) const
{
    const auto* const job = m_dependencies.records().find(id);
    if (job == nullptr) {
        reply(answer_with(status_gone));
        return;
    }
    reply(answer_with(status_ok, m_dependencies.codec->encode_state(job->state)));
}

void caller_service::on_applied(const proto::jobs::Batch& batch)
{
    const auto wake_if_ended = [this](jobs::job_number id) {
        const auto* const job = m_dependencies.records().find(id);
        if (job != nullptr && is_final(job->state)) {
            m_watch.on_ended(id);
        }
    };
    for (const auto& operation : batch.operations()) {
        if (operation.has_end()) {
            wake_if_ended(jobs::job_number{operation.end().task().job()});
        }
        else if (operation.has_cancel()) {
            wake_if_ended(jobs::job_number{operation.cancel().job()});
        }
    }
}

void caller_service::cancel(base::time_point now, const resolved_call& resolved, done reply)
{
    const auto* const job = m_dependencies.records().find(resolved.job);
    if (job == nullptr || is_final(job->state)) {
        reply(answer_with(job == nullptr ? status_gone : status_ok));
        return;
    }
    proto::jobs::Operation operation;
    operation.mutable_cancel()->set_job(resolved.job.value());
    m_dependencies.commit(
        now, std::move(operation),
        [reply = std::move(reply)](commit_outcome outcome) { reply(answer_of(outcome)); });
}

} // namespace lovagebeam::controlplane
