#include "lovagebeam/standin/worker.h"

#include "lovagebeam/targets/protocol.h"
#include "lovagebeam/telemetry/log.h"

#include <boost/json.hpp>

#include <utility>

namespace lovagebeam::standin {
namespace {

using callers::error_response;
using callers::http_request;
using callers::reply;
using telemetry::log_event;
using telemetry::severity;
using workers::task_state;

constexpr std::string_view tasks_path = "/lovagebeam/v1/tasks";
/// Ended tasks are reported for this long, so that their reports survive lost announcements.
constexpr std::chrono::seconds report_retention{60};

callers::http_response json_response(std::string body)
{
    callers::http_response response;
    response.body = std::move(body);
    return response;
}

} // namespace

worker::worker(worker_settings settings) : m_settings{std::move(settings)} {}

void worker::handle(const http_request& request, const reply& reply)
{
    const std::string_view path = request.path();
    if (path == tasks_path && request.method == "POST") {
        start(request, reply);
    }
    else if (path.starts_with(tasks_path) && request.method == "DELETE") {
        cancel(path.substr(tasks_path.size() + 1), reply);
    }
    else if (path == "/standin/report") {
        report(reply);
    }
    else {
        reply.send(error_response(404, base::error_code::not_found, "no such path"));
    }
}

void worker::start(const http_request& request, const reply& reply)
{
    const auto message = workers::decode_start_task_request(request.body);
    if (!message.ok()) {
        reply.send(error_response(400, base::error_code::invalid_request,
                                  std::string{message.status().message()}));
        return;
    }
    const std::lock_guard lock{m_mutex};
    if (message->fence < m_fence) {
        reply.send(error_response(409, base::error_code::stale_epoch, "a newer fence is known"));
        return;
    }
    m_fence = message->fence;
    if (m_tasks.contains(message->task_id)) {
        reply.send(json_response("{}"));
        return;
    }
    if (!has_capacity_for(message->spec)) {
        record_violation("task " + message->task_id.str() + " exceeds the capacity");
        reply.send(error_response(503, base::error_code::queue_full, "no capacity"));
        return;
    }
    add_task(*message);
    reply.send(json_response("{}"));
}

void worker::add_task(const workers::start_task_request& message)
{
    const auto now = std::chrono::steady_clock::now();
    const base::task_id id = message.task_id;
    task started;
    started.spec = message.spec;
    started.report = {id, task_state::running, ""};
    started.lease_end = now + message.lease;
    ++m_started;
    m_tasks.emplace(id, std::move(started));
    m_timers.run_at(now + message.lease, [this, id] { check_lease(id); });
    if (message.spec.run_time.count() == 0 && !m_settings.failing) {
        return;
    }
    const auto run_time = m_settings.failing ? std::chrono::milliseconds{0} : message.spec.run_time;
    m_timers.run_at(now + run_time, [this, id] {
        const std::lock_guard lock{m_mutex};
        const auto found = m_tasks.find(id);
        if (found != m_tasks.end()) {
            end_task(found->second,
                     m_settings.failing ? task_state::failed : task_state::succeeded);
        }
    });
}

void worker::cancel(std::string_view id, const reply& reply)
{
    const base::task_id task_id{targets::percent_decode(id).value_or(std::string{id})};
    const std::lock_guard lock{m_mutex};
    const auto found = m_tasks.find(task_id);
    if (found == m_tasks.end()) {
        // A start request that arrives after this answer must not start the task.
        record_stopped_task(task_id);
    }
    else {
        end_task(found->second, task_state::stopped);
    }
    reply.send(json_response("{}"));
}

void worker::record_stopped_task(const base::task_id& id)
{
    task stopped;
    stopped.report = {id, task_state::stopped, ""};
    stopped.ended_at = std::chrono::steady_clock::now();
    m_tasks.emplace(id, std::move(stopped));
}

void worker::end_task(task& ended, task_state state)
{
    if (workers::is_ended(ended.report.state)) {
        return;
    }
    ended.report.state = state;
    ended.ended_at = std::chrono::steady_clock::now();
    if (state == task_state::succeeded) {
        ended.report.output = ended.spec.name + " done on " + m_settings.id.str();
    }
}

void worker::check_lease(const base::task_id& id)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end() || workers::is_ended(found->second.report.state)) {
        return;
    }
    if (found->second.lease_end > std::chrono::steady_clock::now()) {
        m_timers.run_at(found->second.lease_end, [this, id] { check_lease(id); });
        return;
    }
    end_task(found->second, task_state::lease_expired);
}

bool worker::has_capacity_for(const workers::task_spec& spec) const
{
    auto cores = spec.millicores;
    auto memory = spec.memory;
    auto accelerators = spec.accelerators;
    for (const auto& [id, entry] : m_tasks) {
        if (!workers::is_ended(entry.report.state)) {
            cores += entry.spec.millicores;
            memory += entry.spec.memory;
            accelerators += entry.spec.accelerators;
        }
    }
    return cores <= m_settings.millicores && memory <= m_settings.memory &&
           accelerators <= m_settings.accelerators;
}

std::string worker::announcement(const targets::endpoint& endpoint)
{
    const std::lock_guard lock{m_mutex};
    workers::worker_announcement message;
    message.worker_id = m_settings.id;
    message.where = endpoint;
    message.failure_domain = base::failure_domain{m_settings.failure_domain};
    message.rack = m_settings.rack;
    message.millicores = m_settings.millicores;
    message.memory = m_settings.memory;
    message.accelerators = m_settings.accelerators;
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_tasks, [now](const auto& entry) {
        return workers::is_ended(entry.second.report.state) &&
               entry.second.ended_at + report_retention < now;
    });
    for (const auto& [id, entry] : m_tasks) {
        message.tasks.push_back(entry.report);
    }
    return workers::encode(message);
}

void worker::renew_leases(const std::string& answer, base::time_point sent_at)
{
    const auto message = workers::decode_announcement_answer(answer);
    if (!message.ok()) {
        log_event{severity::warning, "announcement_answer_malformed"}
            .with("detail", std::string{message.status().message()})
            .write();
        return;
    }
    const std::lock_guard lock{m_mutex};
    for (const auto& renewal : message->leases) {
        const auto found = m_tasks.find(renewal.task_id);
        if (found != m_tasks.end()) {
            found->second.lease_end = std::max(found->second.lease_end, sent_at + renewal.lease);
        }
    }
}

void worker::report(const reply& reply)
{
    const std::lock_guard lock{m_mutex};
    boost::json::object out;
    out["started"] = m_started;
    boost::json::array violations;
    for (const auto& text : m_violations) {
        violations.emplace_back(text);
    }
    out["violations"] = std::move(violations);
    reply.send(json_response(boost::json::serialize(out)));
}

void worker::record_violation(const std::string& text)
{
    m_violations.push_back(text);
    log_event{severity::error, "violation"}.with("detail", text).write();
}

} // namespace lovagebeam::standin
