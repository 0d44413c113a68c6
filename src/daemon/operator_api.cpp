#include "operator_api.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/state/keys.h"
#include "lovagebeam/targets/protocol.h"

#include "api_errors.h"
#include "operator_views.h"
#include "work_request.h"

#include <boost/json.hpp>
#include <sodium.h>

#include <charconv>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using callers::http_request;
using callers::reply;

constexpr std::string_view keys_path = "/v1/keys";
constexpr std::string_view explain_job_path = "/v1/explain/jobs/";
constexpr std::size_t audit_page_size = 200;
constexpr std::chrono::seconds change_timeout{10};
constexpr std::chrono::seconds read_timeout{2};

bool is_operator_path(std::string_view path)
{
    static constexpr std::string_view exact[] = {
        "/v1/config",  "/v1/keys",  "/v1/audit",    "/v1/hosts",         "/v1/targets",
        "/v1/workers", "/v1/teams", "/v1/all-jobs", "/v1/explain/teams",
    };
    for (const auto candidate : exact) {
        if (path == candidate) {
            return true;
        }
    }
    return path.starts_with("/v1/keys/") || path.starts_with(explain_job_path);
}

// Returns the number in `name=<number>` of a query string, or `default_value` if there is none.
std::uint64_t query_number(std::string_view query, std::string_view name,
                           std::uint64_t default_value)
{
    const auto at = query.find(std::string{name} + "=");
    if (at == std::string_view::npos) {
        return default_value;
    }
    const std::string_view text = query.substr(at + name.size() + 1);
    std::uint64_t value = default_value;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void set_operator_call(state::command& command, const operators::change_call& call)
{
    auto& out = *command.mutable_operator_call();
    out.set_operation_id(call.operation.str());
    out.set_who(call.who);
    out.set_why(call.why);
    out.set_expected_version(call.expected.value());
}

} // namespace

operator_api::operator_api(dependencies deps) : m_dependencies{std::move(deps)} {}

bool operator_api::is_authorised(const http_request& request) const
{
    const std::string_view token = bearer_token(request);
    return token.size() == m_dependencies.credential.size() &&
           sodium_memcmp(token.data(), m_dependencies.credential.data(), token.size()) == 0;
}

bool operator_api::handle(base::time_point now, const http_request& request, const reply& reply)
{
    if (!is_operator_path(request.path())) {
        return false;
    }
    if (!is_authorised(request)) {
        reply.send(error_answer(
            make_error(error_code::unauthenticated, "operators' calls need the credential")));
    }
    else if (request.method == "GET") {
        handle_read(now, request, reply);
    }
    else {
        handle_change(now, request, reply);
    }
    return true;
}

void operator_api::handle_change(base::time_point now, const http_request& request,
                                 const reply& reply)
{
    const std::string_view path = request.path();
    if (path == "/v1/config" && request.method == "PUT") {
        change_config(now, request, reply);
    }
    else if (path == keys_path && request.method == "POST") {
        give_key(now, request, reply);
    }
    else if (path.starts_with("/v1/keys/") && request.method == "DELETE") {
        withdraw_key(now, request, reply);
    }
    else {
        reply.send(error_answer(make_error(error_code::not_found, "no such call")));
    }
}

void operator_api::handle_read(base::time_point now, const http_request& request,
                               const reply& reply)
{
    const std::string path{request.path()};
    if (path == "/v1/explain/teams") {
        call_leader(now, proto::LIST_TEAM_USE, "", reply);
        return;
    }
    if (path.starts_with(explain_job_path)) {
        call_leader(now, proto::EXPLAIN_JOB, path.substr(explain_job_path.size()), reply);
        return;
    }
    const std::uint64_t from = query_number(request.query(), "from", 0);
    read(now, reply, [path, from](const state::cell_state& cell) -> std::string {
        if (path == "/v1/config") {
            return operators::render_configuration(cell.config(), cell.version());
        }
        if (path == "/v1/keys") {
            return render_keys(cell);
        }
        if (path == "/v1/audit") {
            return render_audit(cell, from, audit_page_size);
        }
        if (path == "/v1/hosts") {
            return render_hosts(cell);
        }
        if (path == "/v1/targets") {
            return render_targets(cell);
        }
        if (path == "/v1/workers") {
            return render_workers(cell);
        }
        return path == "/v1/teams" ? render_teams(cell) : render_jobs(cell);
    });
}

void operator_api::read(base::time_point now, const reply& reply, renderer render)
{
    m_dependencies.log->read(now, now + read_timeout,
                             [this, reply, render = std::move(render)](const absl::Status& status) {
                                 if (status.ok()) {
                                     reply.send(json_answer(render(m_dependencies.log->state())));
                                 }
                                 else {
                                     reply.send(error_answer(status));
                                 }
                             });
}

void operator_api::call_leader(base::time_point now, proto::LeaderMethod method,
                               std::string argument, const reply& reply)
{
    m_dependencies.leader->call(now, method, std::move(argument),
                                [reply](const leader_calls::answer& answer) {
                                    if (answer.ok()) {
                                        reply.send(json_answer(*answer));
                                    }
                                    else {
                                        reply.send(error_answer(answer.status()));
                                    }
                                });
}

void operator_api::change_config(base::time_point now, const http_request& request,
                                 const reply& reply)
{
    const auto change = operators::decode_config_change(request.body);
    if (!change.ok()) {
        reply.send(error_answer(change.status()));
        return;
    }
    state::command command;
    *command.mutable_change_configuration()->mutable_configuration() =
        state::to_proto(change->document);
    propose(now, std::move(command), change->call, reply);
}

void operator_api::give_key(base::time_point now, const http_request& request, const reply& reply)
{
    const auto grant = operators::decode_key_grant(request.body);
    if (!grant.ok()) {
        reply.send(error_answer(grant.status()));
        return;
    }
    const state::new_key key = state::generate_key();
    state::command command;
    auto& body = *command.mutable_give_key();
    body.set_team(grant->team.str());
    body.set_key_id(key.id.str());
    body.set_salt(key.salt);
    body.set_hash(key.hash);
    body.set_sealed_key(state::seal_key(m_dependencies.cluster_secret, key.text));
    propose(now, std::move(command), grant->call, reply);
}

void operator_api::withdraw_key(base::time_point now, const http_request& request,
                                const reply& reply)
{
    const auto call = operators::decode_change_call(request.body);
    if (!call.ok()) {
        reply.send(error_answer(call.status()));
        return;
    }
    state::command command;
    const auto id = targets::percent_decode(request.path().substr(keys_path.size() + 1));
    command.mutable_withdraw_key()->set_key_id(id.value_or(""));
    propose(now, std::move(command), *call, reply);
}

void operator_api::propose(base::time_point now, state::command command,
                           const operators::change_call& call, const reply& reply)
{
    set_operator_call(command, call);
    m_dependencies.log->propose(now, std::move(command), now + change_timeout,
                                [this, reply](const absl::StatusOr<state::apply_result>& result) {
                                    answer_change(result, reply);
                                });
}

void operator_api::answer_change(const absl::StatusOr<state::apply_result>& result,
                                 const reply& reply) const
{
    if (!result.ok()) {
        const bool may_apply = base::has_code(result.status(), error_code::timed_out);
        reply.send(error_answer(result.status(), may_apply ? "unknown" : "not_run"));
        return;
    }
    if (!result->status.ok()) {
        auto response = error_answer(result->status);
        response.headers.push_back({"Lovagebeam-Version", std::to_string(result->version.value())});
        reply.send(std::move(response));
        return;
    }
    boost::json::object body{{"version", result->version.value()}};
    if (!result->sealed_key.empty()) {
        const auto text = state::open_key(m_dependencies.cluster_secret, result->sealed_key);
        body["key_id"] = result->key.str();
        body["key"] = text.ok() ? *text : "";
    }
    reply.send(json_answer(boost::json::serialize(body)));
}

} // namespace lovagebeam::daemon
