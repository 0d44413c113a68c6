#include "lovagebeam/standin/runner.h"

#include "lovagebeam/telemetry/log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace lovagebeam::standin {
namespace {

using callers::error_response;
using callers::http_request;
using callers::reply;
using telemetry::log_event;
using telemetry::severity;

struct mode_entry {
    runner_mode mode;
    std::string_view name;
};

constexpr std::array mode_table{
    mode_entry{runner_mode::normal, "normal"},     mode_entry{runner_mode::failing, "failing"},
    mode_entry{runner_mode::refusing, "refusing"}, mode_entry{runner_mode::silent, "silent"},
    mode_entry{runner_mode::slow, "slow"},         mode_entry{runner_mode::leaving, "leaving"},
};

constexpr int slow_factor = 10;
constexpr std::string_view attempts_path = "/lovagebeam/v1/attempts/";

callers::http_response json_response(std::string body)
{
    callers::http_response response;
    response.body = std::move(body);
    return response;
}

} // namespace

std::string_view name_of(runner_mode mode)
{
    return std::ranges::find(mode_table, mode, &mode_entry::mode)->name;
}

runner::runner(runner_settings settings) : m_settings{std::move(settings)}
{
    if (!m_settings.journal.empty()) {
        m_journal.open(m_settings.journal, std::ios::app);
    }
}

void runner::handle(http_request request, const reply& reply)
{
    const std::string path{request.path()};
    if (path == "/lovagebeam/v1/run") {
        run(std::move(request), reply);
    }
    else if (path == "/lovagebeam/v1/fence") {
        fence(request, reply);
    }
    else if (path.starts_with(attempts_path)) {
        query(std::string_view{path}.substr(attempts_path.size()), reply);
    }
    else if (path == "/standin/mode") {
        set_mode(request.body, reply);
    }
    else if (path == "/standin/report") {
        report(reply);
    }
    else {
        reply.send(error_response(404, base::error_code::not_found, "no such path"));
    }
}

void runner::fence(const http_request& request, const reply& reply)
{
    const auto message = targets::decode_fence_request(request.body);
    if (!message.ok()) {
        reply.send(error_response(400, base::error_code::invalid_request,
                                  std::string{message.status().message()}));
        return;
    }
    const std::lock_guard lock{m_mutex};
    if (message->epoch < m_epoch) {
        reply.send(error_response(409, base::error_code::stale_epoch, "a newer epoch is known"));
        return;
    }
    m_epoch = message->epoch;
    reply.send(json_response(targets::encode(targets::fence_answer{running()})));
}

void runner::run(http_request request, const reply& reply)
{
    auto message = targets::decode_run_request(
        [&request](std::string_view name) { return request.header(name); },
        std::move(request.body));
    if (!message.ok()) {
        reply.send(error_response(400, base::error_code::invalid_request,
                                  std::string{message.status().message()}));
        return;
    }
    const std::lock_guard lock{m_mutex};
    // A runner that received no fence since it started can't tell a stale epoch from a current one.
    if (m_epoch == base::epoch{} || message->epoch < m_epoch) {
        reply.send(error_response(409, base::error_code::stale_epoch, "another epoch is known"));
        return;
    }
    if (m_mode == runner_mode::refusing) {
        reply.send(
            error_response(409, base::error_code::target_refused, "refused in the mode refusing"));
        return;
    }
    if (m_attempts.contains(message->attempt_id)) {
        record_violation("attempt " + message->attempt_id.str() + " was sent twice");
        reply.send(error_response(409, base::error_code::already_exists, "attempt is known"));
        return;
    }
    if (m_running >= m_settings.slots) {
        record_violation("all slots are in use");
        reply.send(error_response(503, base::error_code::queue_full, "all slots are in use"));
        return;
    }
    start(*message, reply);
}

void runner::start(const targets::run_request& request, const reply& reply)
{
    const base::attempt_id id = request.attempt_id;
    attempt started;
    started.identity = {id, request.team, request.idempotency_key, request.work_key};
    started.answer = answer_body(request);
    ++m_running;
    ++m_started;
    write_journal("start", started.identity);
    m_attempts.emplace(id, std::move(started));
    if (m_mode == runner_mode::silent) {
        m_unanswered.push_back(reply);
        return;
    }
    auto service_time = m_settings.service_time;
    if (m_mode == runner_mode::slow) {
        service_time *= slow_factor;
    }
    if (m_mode == runner_mode::failing) {
        service_time = {};
    }
    // The target enforces the lease of an attempt: the work ends when the lease expires.
    const auto end_time = std::chrono::steady_clock::now() + std::min(service_time, request.lease);
    m_timers.run_at(end_time, [this, id, reply] { finish(id, reply); });
}

void runner::finish(const base::attempt_id& id, const reply& reply)
{
    const std::lock_guard lock{m_mutex};
    attempt& ended = m_attempts.at(id);
    ended.state = targets::attempt_state::ended;
    --m_running;
    write_journal("end", ended.identity);
    if (m_mode == runner_mode::failing) {
        reply.send(error_response(500, base::error_code::internal_error,
                                  "failed in the mode failing", "unknown"));
        return;
    }
    reply.send(json_response(ended.answer));
}

void runner::query(std::string_view id, const reply& reply)
{
    const std::lock_guard lock{m_mutex};
    const auto decoded = targets::percent_decode(id);
    targets::attempt_answer answer;
    const auto found = m_attempts.find(base::attempt_id{decoded.value_or("")});
    if (found != m_attempts.end()) {
        answer.state = found->second.state;
        if (answer.state == targets::attempt_state::ended) {
            answer.answer = found->second.answer;
        }
    }
    reply.send(json_response(targets::encode(answer)));
}

void runner::set_mode(const std::string& name, const reply& reply)
{
    const auto* const found =
        std::ranges::find(mode_table, std::string_view{name}, &mode_entry::name);
    if (found == mode_table.end()) {
        reply.send(error_response(400, base::error_code::invalid_request, "no such mode"));
        return;
    }
    const std::lock_guard lock{m_mutex};
    m_mode = found->mode;
    reply.send(json_response("{}"));
}

void runner::report(const reply& reply)
{
    const std::lock_guard lock{m_mutex};
    boost::json::object out;
    out["started"] = m_started;
    out["running"] = m_running;
    out["mode"] = std::string{name_of(m_mode)};
    boost::json::array violations;
    for (const auto& text : m_violations) {
        violations.emplace_back(text);
    }
    out["violations"] = std::move(violations);
    reply.send(json_response(boost::json::serialize(out)));
}

void runner::check_connections(std::uint64_t open)
{
    const std::lock_guard lock{m_mutex};
    if (open > m_settings.connections) {
        record_violation(std::to_string(open) + " connections are open");
    }
}

std::string runner::announcement(const targets::endpoint& endpoint)
{
    const std::lock_guard lock{m_mutex};
    targets::target_announcement message;
    message.target_id = m_settings.id;
    message.where = endpoint;
    message.failure_domain = base::failure_domain{m_settings.failure_domain};
    message.rack = m_settings.rack;
    message.slots = m_settings.slots;
    message.connections = m_settings.connections;
    message.leaving = m_mode == runner_mode::leaving;
    message.running = running();
    return targets::encode(message);
}

std::vector<targets::running_attempt> runner::running() const
{
    std::vector<targets::running_attempt> result;
    for (const auto& [id, entry] : m_attempts) {
        if (entry.state == targets::attempt_state::running) {
            result.push_back(entry.identity);
        }
    }
    return result;
}

std::string runner::answer_body(const targets::run_request& request) const
{
    boost::json::object out;
    out["runner"] = m_settings.id.str();
    out["idempotency_key"] = request.idempotency_key.str();
    out["echo"] = request.body;
    return boost::json::serialize(out);
}

void runner::record_violation(const std::string& text)
{
    m_violations.push_back(text);
    log_event{severity::error, "violation"}.with("detail", text).write();
}

void runner::write_journal(std::string_view event, const targets::running_attempt& identity)
{
    if (!m_journal.is_open()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    m_journal << std::chrono::duration_cast<std::chrono::microseconds>(now).count() << ' ' << event
              << ' ' << identity.attempt_id << ' ' << identity.team << ' '
              << identity.idempotency_key << ' '
              << (identity.work_key.empty() ? "-" : identity.work_key.str()) << std::endl;
}

} // namespace lovagebeam::standin
