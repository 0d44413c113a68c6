#include "request_path.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "api_errors.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::seconds intent_commit_timeout{10};
constexpr std::chrono::seconds target_commit_timeout{5};

std::vector<routing::running_attempt> to_routing(const std::vector<targets::running_attempt>& from)
{
    std::vector<routing::running_attempt> result;
    result.reserve(from.size());
    for (const auto& attempt : from) {
        result.push_back(
            {attempt.attempt_id, attempt.team, attempt.idempotency_key, attempt.work_key});
    }
    return result;
}

routing::attempt_result result_of(const targets::http_result& result)
{
    using targets::http_outcome;
    switch (targets::classify_run(result)) {
    case targets::run_outcome::completed:
        return routing::attempt_result::answered;
    case targets::run_outcome::not_run:
        return result.answered() ? routing::attempt_result::refused
                                 : routing::attempt_result::connect_failed;
    case targets::run_outcome::unknown:
        break;
    }
    switch (result.outcome) {
    case http_outcome::timed_out:
        return routing::attempt_result::timed_out;
    case http_outcome::answered:
    case http_outcome::truncated:
    case http_outcome::answer_too_large:
        return routing::attempt_result::truncated;
    default:
        return routing::attempt_result::reset;
    }
}

routing::attempt_state state_of(const absl::StatusOr<targets::attempt_answer>& answer)
{
    if (!answer.ok()) {
        return routing::attempt_state::unreachable;
    }
    switch (answer->state) {
    case targets::attempt_state::running:
        return routing::attempt_state::running;
    case targets::attempt_state::ended:
        return routing::attempt_state::ended;
    case targets::attempt_state::never_seen:
        break;
    }
    return routing::attempt_state::never_seen;
}

bool is_stale_epoch(const targets::http_result& result)
{
    return result.answered() && result.status == 409 &&
           result.body.find(base::name_of(error_code::stale_epoch)) != std::string::npos;
}

routing::fence_answered fence_event(const routing::fence_target& sent,
                                    const targets::http_result& result)
{
    routing::fence_answered event;
    event.target = sent.target;
    event.number = sent.number;
    if (!result.answered()) {
        return event;
    }
    if (result.status == 409) {
        event.result = routing::fence_result::stale;
        return event;
    }
    const auto answer = targets::decode_fence_answer(result.body);
    if (result.status == 200 && answer.ok()) {
        event.result = routing::fence_result::fenced;
        event.running = to_routing(answer->running);
    }
    return event;
}

routing::router build_router(const request_path::dependencies& deps,
                             const routing::limits_source& limits)
{
    return routing::router_builder{deps.self}.with_limits(limits).with_seed(deps.run).build();
}

} // namespace

request_path::request_path(const dependencies& deps)
    : m_self{deps.self}, m_log{*deps.log}, m_sender{*deps.sender}, m_client{*deps.client},
      m_loop{*deps.loop}, m_metrics{*deps.metrics}, m_limits{deps.log->state()},
      m_router{build_router(deps, m_limits)}
{
}

void request_path::step(base::time_point now, routing::event event)
{
    auto effects = m_router.step(now, std::move(event));
    for (auto& effect : effects) {
        std::visit([&](auto& what) { execute(now, what); }, effect);
    }
}

void request_path::submit(base::time_point now, routing::caller_request request,
                          callers::reply reply)
{
    request.caller = routing::caller_id{++m_last_caller};
    m_callers.emplace(request.caller, waiting_caller{std::move(reply), request.priority, now});
    step(now, std::move(request));
}

void request_path::query(base::time_point now, const base::team_id& team,
                         const base::idempotency_key& key, callers::reply reply)
{
    const routing::caller_id caller{++m_last_caller};
    m_callers.emplace(caller,
                      waiting_caller{std::move(reply), routing::work_class::interactive, now});
    step(now, routing::result_query{caller, team, key});
}

void request_path::on_announcement(base::time_point now,
                                   const targets::target_announcement& message)
{
    routing::target_announced event;
    event.info = {message.target_id,      message.where.address, message.where.port,
                  message.failure_domain, message.slots,         message.connections};
    event.leaving = message.leaving;
    event.running = to_routing(message.running);
    step(now, std::move(event));

    state::target record{message.target_id,      message.where.address, message.where.port,
                         message.failure_domain, message.rack,          message.slots,
                         message.connections,    message.leaving};
    const auto* const known = m_log.state().find_target(message.target_id);
    if ((known != nullptr && *known == record) ||
        !m_target_proposals.insert(message.target_id).second) {
        return;
    }
    state::command command;
    *command.mutable_put_target()->mutable_target() = state::to_proto(record);
    m_log.propose(now, std::move(command), now + target_commit_timeout,
                  [this, id = message.target_id](const auto&) { m_target_proposals.erase(id); });
}

void request_path::on_peer(base::time_point now, const base::node_id& from, std::string bytes)
{
    step(now, routing::peer_message{from, std::move(bytes)});
}

void request_path::on_peer_lost(base::time_point now, const base::node_id& peer)
{
    step(now, routing::peer_lost{peer});
}

void request_path::on_epoch(base::time_point now, bool is_self_joined)
{
    routing::epoch_installed event;
    event.number = m_log.state().epoch();
    for (const auto& member : m_log.state().members()) {
        event.members.push_back(member.node);
    }
    event.is_self_joined = is_self_joined;
    m_log.state().for_each_intent([&event](const state::intent& known) {
        event.intents.push_back(
            {known.epoch, known.team, known.key, known.work, known.attempt, known.target});
    });
    step(now, std::move(event));
}

void request_path::on_configuration(base::time_point now)
{
    step(now, routing::limits_changed{});
}

void request_path::on_confirmed(base::time_point now, base::time_point request_sent_at)
{
    step(now, routing::leader_contact{request_sent_at});
}

void request_path::tick(base::time_point now)
{
    step(now, routing::tick{});
}

void request_path::shut_down(base::time_point now, std::function<void()> drained)
{
    m_on_drained = std::move(drained);
    step(now, routing::shutdown_requested{});
}

void request_path::record_metrics(base::time_point now, const waiting_caller& caller,
                                  routing::outcome outcome)
{
    const std::string labels = "{class=\"" + std::string{routing::name_of(caller.priority)} + "\"}";
    m_metrics.histogram_named("lovagebeam_request_seconds" + labels)
        .record(std::chrono::duration<double>(now - caller.arrived_at).count());
    m_metrics
        .counter_named("lovagebeam_requests_total{outcome=\"" +
                       std::string{routing::name_of(outcome)} + "\"}")
        .add(1);
}

void request_path::execute(base::time_point now, routing::answer_caller& effect)
{
    const auto found = m_callers.find(effect.caller);
    if (found == m_callers.end()) {
        return;
    }
    record_metrics(now, found->second, effect.result);
    callers::http_response response;
    if (effect.result == routing::outcome::completed) {
        response = json_answer(std::move(effect.body), effect.status);
    }
    else {
        const auto code = effect.code.value_or(error_code::internal_error);
        response = error_answer(make_error(code, "the request ended as " +
                                                     std::string{routing::name_of(effect.result)}),
                                routing::name_of(effect.result));
    }
    response.headers.push_back(
        {"Lovagebeam-Outcome", std::string{routing::name_of(effect.result)}});
    found->second.reply.send(std::move(response));
    m_callers.erase(found);
}

void request_path::execute(base::time_point, routing::answer_query& effect)
{
    const auto found = m_callers.find(effect.caller);
    if (found == m_callers.end()) {
        return;
    }
    callers::http_response response;
    if (!effect.state) {
        response = error_answer(make_error(effect.code.value_or(error_code::internal_error),
                                           "the owner of the team can't be reached"),
                                "unknown");
    }
    else if (*effect.state == routing::result_state::completed) {
        response = json_answer(std::move(effect.body), effect.status);
        response.headers.push_back({"Lovagebeam-Outcome", "completed"});
    }
    else if (*effect.state == routing::result_state::not_found) {
        response = error_answer(
            make_error(error_code::not_found, "no request with this key is known"), "unknown");
    }
    else {
        const boost::json::object body{{"state", std::string{routing::name_of(*effect.state)}}};
        response = json_answer(boost::json::serialize(body), 202);
    }
    found->second.reply.send(std::move(response));
    m_callers.erase(found);
}

void request_path::execute(base::time_point, routing::send_peer& effect)
{
    m_sender.send(effect.to, peers::channel::routing, std::move(effect.bytes));
}

void request_path::execute(base::time_point now, routing::start_attempt& effect)
{
    const auto lease =
        std::chrono::duration_cast<std::chrono::milliseconds>(effect.lease_until - now);
    if (lease.count() <= 0) {
        m_loop.post_completion([this, id = effect.attempt](base::time_point when) {
            routing::attempt_ended ended;
            ended.attempt = id;
            ended.result = routing::attempt_result::connect_failed;
            step(when, std::move(ended));
        });
        return;
    }
    targets::run_request request;
    request.attempt_id = effect.attempt;
    request.epoch = effect.number;
    request.team = effect.team;
    request.idempotency_key = effect.key;
    request.work_key = effect.work_key;
    request.lease = lease;
    request.body = std::move(effect.body);
    auto call = targets::make_run_call({effect.address, effect.port}, std::move(request),
                                       effect.lease_until);
    m_client.send(std::move(call), [this, id = effect.attempt](targets::http_result result) {
        m_loop.post_completion(
            [this, id, result = std::move(result)](base::time_point when) mutable {
                routing::attempt_ended ended;
                ended.attempt = id;
                ended.result = result_of(result);
                ended.is_stale_epoch = is_stale_epoch(result);
                ended.status = result.status;
                ended.body = std::move(result.body);
                step(when, std::move(ended));
            });
    });
}

void request_path::execute(base::time_point now, routing::fence_target& effect)
{
    const targets::endpoint where{effect.address, effect.port};
    auto call = targets::make_fence_call(where, {effect.number, m_self}, now + effect.timeout);
    m_client.send(std::move(call), [this, effect](const targets::http_result& result) {
        m_loop.post_completion(
            [this, event = fence_event(effect, result)](base::time_point when) mutable {
                step(when, std::move(event));
            });
    });
}

void request_path::execute(base::time_point now, routing::query_attempt& effect)
{
    auto call = targets::make_attempt_query_call({effect.address, effect.port}, effect.attempt,
                                                 now + effect.timeout);
    m_client.send(std::move(call), [this, effect](const targets::http_result& result) {
        auto answer = result.answered() && result.status == 200
                          ? targets::decode_attempt_answer(result.body)
                          : absl::StatusOr<targets::attempt_answer>{
                                make_error(error_code::not_connected, result.detail)};
        m_loop.post_completion([this, effect, answer = std::move(answer)](base::time_point when) {
            routing::query_answered event;
            event.attempt = effect.attempt;
            event.target = effect.target;
            event.state = state_of(answer);
            event.body = answer.ok() ? answer->answer.value_or("") : "";
            step(when, std::move(event));
        });
    });
}

// Nothing to do: the deadline of the call is the attempt's lease.
void request_path::execute(base::time_point, routing::cancel_attempt&) {}

void request_path::execute(base::time_point now, routing::commit_intent& effect)
{
    state::command command;
    auto& body = *command.mutable_commit_intent();
    body.set_team(effect.record.team.str());
    body.set_idempotency_key(effect.record.key.str());
    body.set_attempt(effect.record.attempt.str());
    body.set_target(effect.record.target.str());
    body.set_epoch(effect.record.number.value());
    body.set_work_key(effect.record.work_key.str());
    m_log.propose(
        now, std::move(command), now + intent_commit_timeout,
        [this, attempt = effect.record.attempt](const absl::StatusOr<state::apply_result>& result) {
            // Without a result the intent may still be committed, so the router gets no event.
            if (!result.ok()) {
                return;
            }
            const bool is_committed = result->status.ok() && result->attempt == attempt;
            m_loop.post_completion([this, attempt, is_committed](base::time_point when) {
                step(when, routing::intent_committed{attempt, is_committed});
            });
        });
}

void request_path::execute(base::time_point now, routing::end_intent& effect)
{
    const auto open = m_log.state().open_intents();
    const auto found = std::ranges::find(open, effect.attempt, &state::intent::attempt);
    if (found == open.end()) {
        return;
    }
    state::command command;
    auto& body = *command.mutable_resolve_intent();
    body.set_team(found->team.str());
    body.set_idempotency_key(found->key.str());
    body.set_attempt(found->attempt.str());
    body.set_outcome(
        effect.result == routing::outcome::completed ? proto::state::WORK_OUTCOME_COMPLETED
        : effect.result == routing::outcome::not_run ? proto::state::WORK_OUTCOME_NOT_RUN
                                                     : proto::state::WORK_OUTCOME_UNKNOWN);
    m_log.propose(now, std::move(command), now + intent_commit_timeout, [](const auto&) {});
}

void request_path::execute(base::time_point, routing::drained&)
{
    log_event{severity::info, "request_path_drained"}.write();
    if (m_on_drained) {
        std::exchange(m_on_drained, nullptr)();
    }
}

} // namespace lovagebeam::daemon
