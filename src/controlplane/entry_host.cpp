#include "lovagebeam/controlplane/entry_host.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/targets/http_client.h"
#include "lovagebeam/telemetry/log.h"

#include "decision_loop.h"
#include "internal_calls.h"
#include "leader_link.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <future>
#include <thread>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// Used when a caller sends no deadline header.
constexpr std::chrono::milliseconds default_timeout{3'000};
/// Sent in Retry-After when no leader was found.
constexpr std::chrono::milliseconds leaderless_retry_delay{1'000};
/// The load balancer detects a process that isn't ready within two of its probes, a second apart.
constexpr std::chrono::milliseconds unready_period{2'300};
/// Part of the grace period that remains when the connections are closed.
constexpr std::chrono::milliseconds stop_margin{700};
constexpr std::size_t max_caller_body_bytes = std::size_t{256} << 10U;
constexpr std::size_t max_probe_body_bytes = std::size_t{4} << 10U;
constexpr std::size_t max_probe_connections = 256;
constexpr std::size_t max_probe_memory_bytes = std::size_t{4} << 20U;

std::chrono::milliseconds timeout_of(const callers::http_request& request,
                                     const std::string& header)
{
    std::int64_t value = default_timeout.count();
    if (const auto text = request.header(header)) {
        std::int64_t parsed = 0;
        const auto end = text->data() + text->size();
        if (std::from_chars(text->data(), end, parsed).ptr == end && parsed > 0) {
            value = std::min<std::int64_t>(parsed, 60'000);
        }
    }
    return std::chrono::milliseconds{value};
}

// The load balancer's probes have no body.
callers::http_server_limits probe_limits()
{
    callers::http_server_limits limits;
    limits.max_body_bytes = max_probe_body_bytes;
    limits.max_connections = max_probe_connections;
    limits.max_request_memory_bytes = max_probe_memory_bytes;
    return limits;
}

std::string host_of(const callers::http_request& request)
{
    const auto header = request.header("Host").value_or("");
    return std::string{header.substr(0, header.find(':'))};
}

/// What the log says of a request.
struct request_line {
    std::string method;
    std::string path;
};

class entry_host_implementation final : public entry_host {
public:
    explicit entry_host_implementation(dependencies deps)
        : m_settings{std::move(deps.settings)}, m_advice{*deps.advice},
          m_headers{std::move(deps.headers)}, m_loop{&base::boot_time}, m_link{m_settings, m_client,
                                                                               m_loop}
    {
    }

    ~entry_host_implementation() override { stop_threads(); }

    absl::Status start() override;
    void stop() override;

private:
    absl::Status listen(const settings::endpoint& at, const callers::http_server_limits& limits,
                        callers::request_handler handler,
                        std::unique_ptr<callers::http_server>& server);
    void on_caller(callers::http_request request, const callers::reply& reply);
    void on_readiness(const callers::http_request& request, const callers::reply& reply);
    void on_internal(const callers::http_request& request, const callers::reply& reply);
    static void answer(const leader_link::outcome& outcome, const callers::reply& reply);
    void log_answer(const leader_link::outcome& outcome, const request_line& line,
                    base::duration took) const;
    void stop_threads();

    settings::process_settings m_settings;
    advice_port& m_advice;
    caller_headers m_headers;
    daemon::decision_loop m_loop;
    targets::http_client m_client;
    leader_link m_link;
    std::unique_ptr<callers::http_server> m_callers;
    std::unique_ptr<callers::http_server> m_readiness;
    std::unique_ptr<callers::http_server> m_internal;
    std::thread m_decisions;
    std::atomic<bool> m_is_connected = false;
    std::atomic<bool> m_is_stopping = false;
};

absl::Status entry_host_implementation::listen(const settings::endpoint& at,
                                               const callers::http_server_limits& limits,
                                               callers::request_handler handler,
                                               std::unique_ptr<callers::http_server>& server)
{
    auto built = callers::http_server_builder{}
                     .listen(at.address, at.port)
                     .limits(limits)
                     .handler(std::move(handler))
                     .build();
    if (!built.ok()) {
        return built.status();
    }
    server = *std::move(built);
    return server->start();
}

absl::Status entry_host_implementation::start()
{
    if (!m_settings.callers || !m_settings.readiness) {
        return make_error(error_code::invalid_settings,
                          "an entry process needs the settings callers and readiness");
    }
    m_client.start();
    m_decisions = std::thread{[this] {
        m_loop.run({[this](base::time_point now) {
                        m_link.tick(now);
                        m_is_connected = m_link.is_connected(now);
                    },
                    [](base::time_point) {}});
    }};
    callers::http_server_limits limits;
    limits.max_body_bytes = max_caller_body_bytes;
    const settings::endpoint internal{m_settings.address, entry_port(m_settings)};
    auto status = listen(
        internal, limits,
        [this](const callers::http_request& request, const callers::reply& reply) {
            on_internal(request, reply);
        },
        m_internal);
    limits.max_connections = m_settings.max_connections;
    limits.max_request_memory_bytes = m_settings.max_request_memory_bytes;
    if (status.ok()) {
        status = listen(
            *m_settings.callers, limits,
            [this](callers::http_request request, const callers::reply& reply) {
                on_caller(std::move(request), reply);
            },
            m_callers);
    }
    if (status.ok()) {
        status = listen(
            *m_settings.readiness, probe_limits(),
            [this](const callers::http_request& request, const callers::reply& reply) {
                on_readiness(request, reply);
            },
            m_readiness);
    }
    return status;
}

void entry_host_implementation::stop()
{
    if (m_is_stopping.exchange(true)) {
        return;
    }
    std::this_thread::sleep_for(unready_period);
    std::promise<bool> drained;
    m_callers->drain(m_settings.grace - unready_period - stop_margin,
                     [&drained](callers::drain_result result) {
                         log_event{severity::info, "drained"}
                             .with("complete", result.complete)
                             .with("cut", result.requests_aborted)
                             .write();
                         drained.set_value(result.complete);
                     });
    drained.get_future().get();
    stop_threads();
}

void entry_host_implementation::stop_threads()
{
    for (auto* server : {&m_callers, &m_readiness, &m_internal}) {
        if (*server) {
            (*server)->stop();
        }
    }
    m_client.stop();
    m_loop.stop();
    if (m_decisions.joinable()) {
        m_decisions.join();
    }
}

void entry_host_implementation::on_readiness(const callers::http_request& request,
                                             const callers::reply& reply)
{
    const bool is_ready = m_is_connected && !m_is_stopping;
    if (request.path() != m_headers.readiness_path) {
        reply(callers::error_response(404, error_code::not_found, "no such call"));
        return;
    }
    callers::http_response response;
    response.status = is_ready ? 200 : status_unavailable;
    response.body = "{}";
    reply(std::move(response));
}

void entry_host_implementation::on_internal(const callers::http_request& request,
                                            const callers::reply& reply)
{
    pb::AdviceRequest advice_request;
    if (request.path() != advice_path || !advice_request.ParseFromString(request.body)) {
        reply(callers::error_response(400, error_code::invalid_request, "malformed call"));
        return;
    }
    std::vector<base::worker_id> workers;
    for (const auto& worker : advice_request.workers()) {
        workers.emplace_back(worker);
    }
    m_advice.request_advice({jobs::job_number{advice_request.job()}, advice_request.occurrence(),
                             advice_request.step()},
                            workers, std::chrono::milliseconds{advice_request.timeout_ms()},
                            [reply](const advice_port::rows& rows) {
                                pb::AdviceAnswer answer;
                                answer.set_answered(rows.has_value());
                                if (rows) {
                                    for (const auto& row : *rows) {
                                        auto& out = *answer.add_rows();
                                        out.set_worker(row.worker.str());
                                        out.set_ticket(row.ticket);
                                    }
                                }
                                callers::http_response response;
                                response.content_type = "application/octet-stream";
                                response.body = answer.SerializeAsString();
                                reply(std::move(response));
                            });
}

void entry_host_implementation::on_caller(callers::http_request request,
                                          const callers::reply& reply)
{
    auto call = std::make_shared<pb::CallerCall>();
    call->set_method(request.method);
    call->set_host(host_of(request));
    call->set_path(std::string{request.path()});
    call->set_entry(m_settings.address);
    const auto authorization = request.header("Authorization").value_or("");
    if (authorization.starts_with(m_headers.key_prefix)) {
        call->set_key(std::string{authorization.substr(m_headers.key_prefix.size())});
    }
    const auto timeout = timeout_of(request, m_headers.deadline);
    call->set_body(std::move(request.body));
    const request_line line{request.method, std::string{request.path()}};
    const auto forward = [this, call, line, reply, timeout](base::time_point now) {
        m_link.forward(now, std::move(*call), now + timeout,
                       [this, reply, line, now](const leader_link::outcome& outcome) {
                           log_answer(outcome, line, base::boot_time() - now);
                           answer(outcome, reply);
                       });
    };
    if (!m_loop.try_post(forward)) {
        log_event{severity::warning, "request_refused"}
            .with("path", line.path)
            .with("why", "too many requests wait")
            .write();
        callers::http_response response;
        response.status = status_unavailable;
        response.headers.push_back({"Retry-After", "1"});
        reply(std::move(response));
    }
}

// With the duration of the request, log lines of hosts whose clocks differ can be put in order.
void entry_host_implementation::log_answer(const leader_link::outcome& outcome,
                                           const request_line& request, base::duration took) const
{
    using kind = leader_link::outcome::kind;
    const bool is_answered = outcome.how == kind::answered;
    log_event line{is_answered ? severity::info : severity::warning,
                   is_answered ? "request_answered" : "request_not_passed"};
    line.with("method", request.method)
        .with("path", request.path)
        .with("status", outcome.answer.status())
        .with("leader", m_link.leader())
        .with("took_us", std::chrono::duration_cast<std::chrono::microseconds>(took).count())
        .with("outcome", is_answered                    ? "answered"
                         : outcome.how == kind::unknown ? "unknown"
                                                        : "not_run");
    if (!is_answered) {
        line.with("why", outcome.why);
    }
    line.write();
}

void entry_host_implementation::answer(const leader_link::outcome& outcome,
                                       const callers::reply& reply)
{
    callers::http_response response;
    std::int64_t retry_after_ms = 0;
    if (outcome.how == leader_link::outcome::kind::answered) {
        response.status = outcome.answer.status();
        response.body = outcome.answer.body();
        retry_after_ms = outcome.answer.retry_after_ms();
    }
    else {
        const bool is_unknown = outcome.how == leader_link::outcome::kind::unknown;
        response.status = is_unknown ? status_gateway_timeout : status_unavailable;
        response.body = "{}";
        retry_after_ms = is_unknown ? 0 : leaderless_retry_delay.count();
    }
    if (retry_after_ms > 0) {
        const auto seconds = (retry_after_ms + 999) / 1'000;
        response.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    reply(std::move(response));
}

} // namespace

absl::StatusOr<std::unique_ptr<entry_host>> entry_host::create(dependencies deps)
{
    return std::unique_ptr<entry_host>{
        std::make_unique<entry_host_implementation>(std::move(deps))};
}

} // namespace lovagebeam::controlplane
