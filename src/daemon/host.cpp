#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "api_errors.h"
#include "host_implementation.h"

#include <sodium.h>

#include <utility>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

/// The timeouts of a shutdown add up to less than the 10 s that `host::stop` may take.
constexpr std::chrono::seconds drain_timeout{7};
constexpr std::chrono::milliseconds handover_timeout{1'500};
constexpr std::chrono::milliseconds handover_poll_interval{20};
constexpr std::chrono::milliseconds publish_interval{200};

std::string hex(std::uint64_t number)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (int shift = 28; shift >= 0; shift -= 4) {
        out += digits[(number >> static_cast<unsigned>(shift)) & 0xfU];
    }
    return out;
}

std::uint64_t generate_run_id()
{
    std::uint64_t run = 0;
    do {
        randombytes_buf(&run, sizeof run);
    } while (run == 0);
    return run;
}

} // namespace

host::host(std::unique_ptr<implementation> owned) : m_implementation{std::move(owned)} {}
host::~host() = default;

absl::StatusOr<std::unique_ptr<host>> host::create(settings::daemon_settings settings)
{
    if (sodium_init() < 0) {
        return make_error(error_code::internal_error, "libsodium can't be initialised");
    }
    auto cluster = settings::load_secret(settings.cluster_secret_file);
    auto credential = settings::load_secret(settings.operator_credential_file);
    if (!cluster.ok() || !credential.ok()) {
        return cluster.ok() ? credential.status() : cluster.status();
    }
    const std::uint64_t run = generate_run_id();
    auto files = storage::make_posix_file_system();
    auto log = open_log(settings, *files, run);
    if (!log.ok()) {
        return log.status();
    }
    implementation::secrets loaded_secrets{*std::move(cluster), *std::move(credential)};
    return std::unique_ptr<host>{new host{std::make_unique<implementation>(
        std::move(settings), std::move(loaded_secrets), run, std::move(files), *std::move(log))}};
}

absl::Status init_group(const settings::daemon_settings& settings)
{
    const auto files = storage::make_posix_file_system();
    return init_group(settings, *files);
}

absl::Status host::start()
{
    return m_implementation->start();
}

absl::Status host::stop()
{
    return m_implementation->stop();
}

host::implementation::implementation(settings::daemon_settings settings, secrets loaded_secrets,
                                     std::uint64_t run, std::unique_ptr<storage::file_system> files,
                                     opened_log log)
    : m_settings{std::move(settings)}, m_run{run}, m_files{std::move(files)},
      m_links{m_settings, loaded_secrets.cluster, run, m_loop, m_metrics}, m_writer{make_writer(
                                                                               std::move(log.store),
                                                                               m_loop)},
      m_log{{m_settings.node, std::move(log.replica), std::move(log.state), std::move(log.snapshot),
             std::move(log.snapshot_bytes), &m_links, m_writer.get(), this}},
      m_keys{m_log.state()}, m_path{{m_settings.node, run, &m_log, &m_links, &m_client, &m_loop,
                                     &m_metrics}},
      m_tasks{{&m_log, &m_client, &m_loop, &m_metrics}},
      m_leader{
          m_settings.node, m_links, m_log,
          [this](base::time_point now, proto::LeaderMethod method, const base::node_id&,
                 const std::string& argument) { return serve_leader_call(now, method, argument); }},
      m_membership{m_settings,
                   log.identity,
                   run,
                   m_links,
                   m_log,
                   [this](base::time_point now, base::time_point request_sent_at) {
                       m_keys.confirm(request_sent_at);
                       m_path.on_confirmed(now, request_sent_at);
                   }},
      m_housekeeping{m_log}, m_caller_api{{m_settings.node, &m_log, &m_path, &m_leader, &m_keys,
                                           m_settings.node.str() + "-" + hex(run) + "-"}},
      m_operator_api{{&m_log, &m_leader, std::move(loaded_secrets.operator_credential),
                      std::move(loaded_secrets.cluster)}}
{
}

host::implementation::~implementation()
{
    m_loop.stop();
    if (m_decisions.joinable()) {
        m_decisions.join();
    }
    if (m_server) {
        m_server->stop();
    }
    m_client.stop();
    m_links.stop();
}

absl::Status host::implementation::start()
{
    const auto& own = m_settings.self();
    auto server = callers::http_server_builder{}
                      .listen(own.callers.address, own.callers.port)
                      .handler([this](callers::http_request request, const callers::reply& reply) {
                          on_request(std::move(request), reply);
                      })
                      .build();
    if (!server.ok()) {
        return server.status();
    }
    m_server = *std::move(server);
    m_client.start();
    auto status = m_links.start(
        {[this](auto now, const auto& from, auto& message) { on_cluster(now, from, message); },
         [this](auto now, const auto& from, auto bytes) {
             m_path.on_peer(now, from, std::move(bytes));
         },
         [this](auto now, const auto& peer) { m_path.on_peer_lost(now, peer); }});
    if (!status.ok()) {
        return status;
    }
    m_decisions = std::thread{[this] {
        if (m_log.state().epoch().value() > 0) {
            install_epoch(std::chrono::steady_clock::now());
        }
        m_loop.run({[this](auto now) { tick(now); }, [this](auto now) { after_batch(now); }});
    }};
    status = m_server->start();
    if (status.ok()) {
        log_event{severity::info, "started"}
            .with("address", own.callers.address)
            .with("port", m_server->port())
            .with("run", m_run)
            .write();
    }
    return status;
}

absl::Status host::implementation::stop()
{
    log_event{severity::info, "stopping"}.write();
    m_is_stopping = true;
    std::promise<void> path_drained;
    std::promise<bool> server_drained;
    m_loop.post_completion(
        [this, &path_drained](base::time_point now) { start_shutdown(now, path_drained); });
    m_server->drain(drain_timeout, [&server_drained](callers::drain_result result) {
        server_drained.set_value(result.complete);
    });
    const bool is_complete = server_drained.get_future().get();
    path_drained.get_future().wait_for(handover_timeout);
    // Wait until an epoch without this host is committed. Otherwise its teams are unavailable until
    // its member lease expires.
    const auto deadline = std::chrono::steady_clock::now() + handover_timeout;
    std::atomic<bool> is_member = true;
    while (is_member && std::chrono::steady_clock::now() < deadline) {
        m_loop.post_completion(
            [this, &is_member](base::time_point) { is_member = m_membership.is_joined(); });
        std::this_thread::sleep_for(handover_poll_interval);
    }
    m_loop.stop();
    m_decisions.join();
    m_server->stop();
    m_client.stop();
    m_links.stop();
    log_event{severity::info, "stopped"}.with("complete", is_complete).write();
    return is_complete ? absl::OkStatus()
                       : make_error(error_code::timed_out, "requests in flight were aborted");
}

void host::implementation::start_shutdown(base::time_point now, std::promise<void>& drained)
{
    m_membership.leave();
    m_log.transfer_leadership(now);
    m_path.shut_down(now, [&drained] { drained.set_value(); });
}

void host::implementation::tick(base::time_point now)
{
    m_log.tick(now);
    m_membership.tick(now);
    m_path.tick(now);
    m_tasks.tick(now);
    m_leader.tick(now);
    m_housekeeping.tick(now);
    if (now - m_last_publish >= publish_interval) {
        m_last_publish = now;
        publish_metrics(now);
    }
}

void host::implementation::after_batch(base::time_point now)
{
    m_tasks.flush(now);
    m_log.flush(now);
}

void host::implementation::on_applied(base::time_point now, const state::command& command,
                                      const state::apply_result& result)
{
    if (result.status.ok() && result.changed) {
        if (command.has_install_epoch()) {
            install_epoch(now);
        }
        if (command.has_change_configuration()) {
            log_event{severity::info, "configuration_applied"}
                .with("version", result.version.value())
                .write();
            m_path.on_configuration(now);
        }
    }
    m_tasks.on_applied(now, command, result);
}

void host::implementation::install_epoch(base::time_point now)
{
    const bool is_joined = m_membership.is_joined();
    log_event{severity::info, "epoch_installed"}
        .with("epoch", m_log.state().epoch().value())
        .with("members", m_log.state().members().size())
        .with("joined", is_joined)
        .write();
    m_membership.on_epoch_installed(now);
    m_path.on_epoch(now, is_joined);
}

void host::implementation::on_state_replaced(base::time_point now)
{
    log_event{severity::info, "snapshot_installed"}
        .with("index", m_log.state().applied_index())
        .write();
    m_path.on_configuration(now);
    if (m_log.state().epoch().value() > 0) {
        install_epoch(now);
    }
}

void host::implementation::on_role_changed(base::time_point now,
                                           const consensus::role_change& change)
{
    m_membership.on_role_changed(now, change);
}

void host::implementation::on_cluster(base::time_point now, const base::node_id& from,
                                      proto::ClusterMessage& message)
{
    using body = proto::ClusterMessage::BodyCase;
    switch (message.body_case()) {
    case body::kConsensus:
        // The transport authenticates the sender. Ignore messages that claim to be from another
        // host.
        if (message.consensus().from().id() == from.str()) {
            m_log.on_consensus(now, std::move(*message.mutable_consensus()));
        }
        return;
    case body::kPropose:
        m_log.on_propose(now, from, message.propose());
        return;
    case body::kProposeResult:
        m_log.on_propose_result(message.propose_result());
        return;
    case body::kReadIndex:
        m_log.on_read_index(from, message.read_index());
        return;
    case body::kReadIndexResult:
        m_log.on_read_index_result(message.read_index_result());
        return;
    case body::kHello:
        m_membership.on_hello(now, from, message.hello());
        return;
    case body::kHelloAnswer:
        m_membership.on_hello_answer(now, message.hello_answer());
        return;
    case body::kLeaderCall:
        m_leader.on_call(now, from, message.leader_call());
        return;
    case body::kLeaderAnswer:
        m_leader.on_answer(message.leader_answer());
        return;
    case body::BODY_NOT_SET:
        return;
    }
}

leader_calls::answer host::implementation::serve_leader_call(base::time_point now,
                                                             proto::LeaderMethod method,
                                                             const std::string& argument)
{
    switch (method) {
    case proto::WORKER_ANNOUNCEMENT:
        return m_tasks.on_announcement(now, argument);
    case proto::EXPLAIN_JOB:
        return m_tasks.explain_job(argument);
    case proto::LIST_TEAM_USE:
        return m_tasks.list_team_use();
    default:
        return make_error(error_code::invalid_request, "unknown leader call method");
    }
}

void host::implementation::on_request(callers::http_request request, const callers::reply& reply)
{
    decision_loop::task work = [this, request = std::move(request), reply](
                                   base::time_point now) mutable { handle(now, request, reply); };
    if (!m_loop.try_post(std::move(work))) {
        reply.send(error_answer(make_error(error_code::queue_full, "this host is overloaded")));
    }
}

void host::implementation::handle(base::time_point now, callers::http_request& request,
                                  const callers::reply& reply)
{
    const std::string_view path = request.path();
    if (path == "/healthz" || path == "/readyz" || path == "/metrics") {
        handle_health(now, request, reply);
        return;
    }
    if (!m_caller_api.handle(now, request, reply) && !m_operator_api.handle(now, request, reply)) {
        reply.send(error_answer(make_error(error_code::not_found, "no such path")));
    }
}

void host::implementation::handle_health(base::time_point now, const callers::http_request& request,
                                         const callers::reply& reply)
{
    if (request.path() == "/metrics") {
        auto response = json_answer(m_metrics.render());
        response.content_type = "text/plain; version=0.0.4";
        reply.send(std::move(response));
        return;
    }
    const std::string problem = request.path() == "/readyz" ? readiness_problem(now) : "";
    if (problem.empty()) {
        reply.send(json_answer(R"({"state":"ok"})"));
    }
    else {
        reply.send(error_answer(make_error(error_code::epoch_not_ready, problem)));
    }
}

std::string host::implementation::readiness_problem(base::time_point) const
{
    if (m_is_stopping) {
        return "the host is stopping";
    }
    if (!m_membership.is_joined()) {
        return "the host isn't a member of the current epoch";
    }
    const auto stats = m_path.stats();
    if (!stats.is_lease_valid) {
        return "the member lease has expired: no contact with the leader";
    }
    return stats.is_ready ? "" : "not all reports of the current epoch have arrived";
}

void host::implementation::publish_metrics(base::time_point now)
{
    const auto stats = m_path.stats();
    const auto set = [this](const char* name, double value) {
        m_metrics.gauge_named(name).set(value);
    };
    set("lovagebeam_is_leader", m_log.is_established_leader(now) ? 1 : 0);
    set("lovagebeam_is_voter", m_membership.is_voter() ? 1 : 0);
    set("lovagebeam_is_ready", readiness_problem(now).empty() ? 1 : 0);
    set("lovagebeam_epoch", static_cast<double>(stats.number.value()));
    set("lovagebeam_config_version", static_cast<double>(m_log.state().version().value()));
    set("lovagebeam_applied_index", static_cast<double>(m_log.applied_index()));
    const auto counters = m_links.counters();
    set("lovagebeam_peer_bytes{direction=\"in\"}", static_cast<double>(counters.wire_bytes_in));
    set("lovagebeam_peer_bytes{direction=\"out\"}", static_cast<double>(counters.wire_bytes_out));
    set("lovagebeam_callers_waiting", static_cast<double>(stats.callers_waiting));
    set("lovagebeam_owner_requests{state=\"waiting\"}", static_cast<double>(stats.owner_waiting));
    set("lovagebeam_owner_requests{state=\"running\"}", static_cast<double>(stats.owner_running));
    set("lovagebeam_home_attempts{state=\"waiting\"}", static_cast<double>(stats.home_waiting));
    set("lovagebeam_home_attempts{state=\"running\"}", static_cast<double>(stats.home_running));
    set("lovagebeam_home_targets", static_cast<double>(stats.home_targets));
    set("lovagebeam_home_targets_ejected", static_cast<double>(stats.home_ejected));
}

} // namespace lovagebeam::daemon
