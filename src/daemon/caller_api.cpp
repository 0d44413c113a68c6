#include "caller_api.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/targets/protocol.h"

#include "api_errors.h"
#include "job_convert.h"
#include "work_request.h"

#include <boost/json.hpp>

#include <utility>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using callers::http_request;
using callers::reply;

constexpr std::string_view work_path = "/v1/work";
constexpr std::string_view jobs_path = "/v1/jobs";
constexpr std::string_view result_suffix = "/result";
constexpr std::string_view queue_prefix = "queue:";
constexpr std::chrono::seconds job_commit_timeout{5};
constexpr std::chrono::seconds job_read_timeout{2};

// Returns the part of `path` after "<prefix>/", percent-decoded, or nothing if it is malformed.
std::optional<std::string> decode_path_suffix(std::string_view path, std::string_view prefix)
{
    if (path.size() <= prefix.size() + 1) {
        return std::nullopt;
    }
    return targets::percent_decode(path.substr(prefix.size() + 1));
}

// A command that wasn't committed in time may still take effect.
std::string_view outcome_of(const absl::Status& status)
{
    return base::has_code(status, error_code::timed_out) ? "unknown" : "not_run";
}

} // namespace

caller_api::caller_api(dependencies deps) : m_dependencies{std::move(deps)} {}

bool caller_api::handle(base::time_point now, http_request& request, const reply& reply)
{
    const std::string path{request.path()};
    if (path == work_path && request.method == "POST") {
        handle_work(now, request, reply);
    }
    else if (path.starts_with("/v1/work/") && request.method == "GET") {
        handle_work_query(now, request, reply);
    }
    else if (path == jobs_path || path.starts_with("/v1/jobs/")) {
        handle_job(now, request, reply);
    }
    else if (path == "/v1/targets/announce" && request.method == "POST") {
        handle_target(now, request, reply);
    }
    else if (path == "/v1/workers/announce" && request.method == "POST") {
        handle_worker(now, request, reply);
    }
    else {
        return false;
    }
    return true;
}

absl::StatusOr<caller_api::caller_identity> caller_api::authenticate(base::time_point now,
                                                                     const http_request& request,
                                                                     bool allow_open_queue) const
{
    const std::string queue{request.header("Lovagebeam-Queue").value_or("default")};
    if (allow_open_queue && m_dependencies.log->state().is_queue_open(queue)) {
        return caller_identity{base::team_id{std::string{queue_prefix} + queue}, {}};
    }
    const std::string_view token = bearer_token(request);
    const auto team = m_dependencies.keys->verify(now, token);
    if (!team.ok()) {
        return team.status();
    }
    const auto claimed_team = request.header("Lovagebeam-Team");
    if (claimed_team && *claimed_team != team->str()) {
        return make_error(error_code::unauthenticated,
                          "the key doesn't belong to team " + std::string{*claimed_team});
    }
    return caller_identity{*team, state::key_verifier::id_of(token).value_or(base::key_id{})};
}

void caller_api::handle_work(base::time_point now, http_request& request, const reply& reply)
{
    const auto identity = authenticate(now, request, true);
    if (!identity.ok()) {
        reply.send(error_answer(identity.status()));
        return;
    }
    auto work = decode_work(request);
    if (!work.ok()) {
        reply.send(error_answer(work.status()));
        return;
    }
    work->team = identity->team;
    m_dependencies.path->submit(now, *std::move(work), reply);
}

void caller_api::handle_work_query(base::time_point now, const http_request& request,
                                   const reply& reply)
{
    const auto identity = authenticate(now, request, true);
    if (!identity.ok()) {
        reply.send(error_answer(identity.status()));
        return;
    }
    const std::string_view rest = request.path().substr(work_path.size() + 1);
    const auto slash = rest.find('/');
    const auto team = targets::percent_decode(rest.substr(0, slash));
    const auto key = slash == std::string_view::npos
                         ? std::nullopt
                         : targets::percent_decode(rest.substr(slash + 1));
    if (!team || !key || !is_valid_key(*key) || *team != identity->team.str()) {
        reply.send(error_answer(
            make_error(error_code::not_found, "expected /v1/work/{own team}/{idempotency key}"),
            "unknown"));
        return;
    }
    m_dependencies.path->query(now, identity->team, base::idempotency_key{*key}, reply);
}

void caller_api::handle_job(base::time_point now, const http_request& request, const reply& reply)
{
    if (request.method == "POST" && request.path() == jobs_path) {
        submit_job(now, request, reply);
        return;
    }
    const auto identity = authenticate(now, request, true);
    if (!identity.ok()) {
        reply.send(error_answer(identity.status()));
        return;
    }
    const auto id = decode_path_suffix(request.path(), jobs_path);
    if (request.method == "GET" && id) {
        read_job(now, request, *identity, reply);
    }
    else if (request.method == "DELETE" && id) {
        cancel_job(now, base::job_id{*id}, identity->team, reply);
    }
    else {
        reply.send(error_answer(make_error(error_code::not_found, "no such call")));
    }
}

void caller_api::submit_job(base::time_point now, const http_request& request, const reply& reply)
{
    const auto identity = authenticate(now, request, true);
    if (!identity.ok()) {
        reply.send(error_answer(identity.status()));
        return;
    }
    auto spec = decode_job(request.body);
    if (!spec.ok()) {
        reply.send(error_answer(spec.status()));
        return;
    }
    spec->team = identity->team;
    spec->id = base::job_id{m_dependencies.job_prefix + std::to_string(++m_last_job)};
    const bool is_repeat = m_dependencies.log->state().find_job(spec->team, spec->key) != nullptr;
    const absl::Status can_run =
        is_repeat ? absl::OkStatus() : check_job_can_run(m_dependencies.log->state(), *spec);
    if (!can_run.ok()) {
        reply.send(error_answer(can_run));
        return;
    }
    state::command command;
    *command.mutable_accept_job()->mutable_spec() = state::to_proto(*spec);
    command.mutable_accept_job()->set_key_id(identity->key.str());
    m_dependencies.log->propose(now, std::move(command), now + job_commit_timeout,
                                [reply](const absl::StatusOr<state::apply_result>& result) {
                                    const absl::Status status =
                                        result.ok() ? result->status : result.status();
                                    if (!status.ok()) {
                                        reply.send(error_answer(status, outcome_of(status)));
                                        return;
                                    }
                                    const boost::json::object body{{"job_id", result->job.str()}};
                                    reply.send(json_answer(boost::json::serialize(body), 202));
                                });
}

void caller_api::read_job(base::time_point now, const http_request& request,
                          const caller_identity& identity, const reply& reply)
{
    std::string id = *decode_path_suffix(request.path(), jobs_path);
    const bool wants_result = id.ends_with(result_suffix);
    if (wants_result) {
        id.resize(id.size() - result_suffix.size());
    }
    m_dependencies.log->read(now, now + job_read_timeout,
                             [this, job = base::job_id{id}, team = identity.team, wants_result,
                              reply](const absl::Status& status) {
                                 if (!status.ok()) {
                                     reply.send(error_answer(status));
                                     return;
                                 }
                                 answer_job(job, team, wants_result, reply);
                             });
}

void caller_api::answer_job(const base::job_id& id, const base::team_id& team, bool wants_result,
                            const reply& reply) const
{
    const auto& cell = m_dependencies.log->state();
    const state::job* const job = cell.find_job(id);
    if (job == nullptr || job->spec.team != team) {
        reply.send(error_answer(
            make_error(error_code::not_found, "team " + team.str() + " has no job " + id.str()),
            "unknown"));
        return;
    }
    if (!wants_result) {
        reply.send(json_answer(render_job(cell, *job)));
        return;
    }
    reply.send(json_answer(render_job_result(cell, *job), job->ended ? 200 : 202));
}

void caller_api::cancel_job(base::time_point now, const base::job_id& id, const base::team_id& team,
                            const reply& reply)
{
    state::command command;
    command.mutable_cancel_job()->set_job(id.str());
    command.mutable_cancel_job()->set_team(team.str());
    m_dependencies.log->propose(
        now, std::move(command), now + job_commit_timeout,
        [this, id, team, reply](const absl::StatusOr<state::apply_result>& result) {
            const absl::Status status = result.ok() ? result->status : result.status();
            if (!status.ok()) {
                reply.send(error_answer(status, outcome_of(status)));
                return;
            }
            answer_job(id, team, false, reply);
        });
}

void caller_api::handle_target(base::time_point now, const http_request& request,
                               const reply& reply)
{
    const auto message = targets::decode_target_announcement(request.body);
    if (!message.ok()) {
        reply.send(error_answer(message.status()));
        return;
    }
    m_dependencies.path->on_announcement(now, *message);
    reply.send(json_answer("{}"));
}

void caller_api::handle_worker(base::time_point now, const http_request& request,
                               const reply& reply)
{
    m_dependencies.leader->call(now, proto::WORKER_ANNOUNCEMENT, request.body,
                                [reply](const leader_calls::answer& answer) {
                                    if (answer.ok()) {
                                        reply.send(json_answer(*answer));
                                    }
                                    else {
                                        reply.send(error_answer(answer.status()));
                                    }
                                });
}

} // namespace lovagebeam::daemon
