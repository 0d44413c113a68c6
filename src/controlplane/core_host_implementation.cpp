#include "core_host_implementation.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "internal_calls.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

using telemetry::log_event;
using telemetry::severity;

/// Identifies the system in the peer handshake, so that systems that run side by side don't connect
/// to each other. It is no authentication: only the system's own hosts are on its network, and the
/// platform provides no shared secret.
constexpr std::string_view system_name = "lovagebeam-job-system-on-one-network";

/// Number of fencing tokens of a term; each instance of a worker that a coordinator sees takes one.
/// The tokens of 2^27 terms are exact in every JSON implementation.
constexpr std::uint64_t tokens_per_term = std::uint64_t{1} << 26U;
/// How long a planned stop waits for the next leader.
constexpr std::chrono::milliseconds handover_wait{400};
/// Orders and outcomes of one interval are sent in one message.
constexpr std::chrono::milliseconds relay_interval{3};
/// Interval at which the set of relays is updated with core processes that joined or left.
constexpr std::chrono::milliseconds relay_update_interval{100};
constexpr std::chrono::seconds metrics_interval{1};
/// Interval at which the leader compares the known core processes with the recorded ones.
constexpr std::chrono::seconds record_interval{1};
constexpr std::size_t max_internal_body_bytes = std::size_t{2} << 20U;

std::vector<std::string> initial_voters_of(const settings::daemon_settings& settings)
{
    std::vector<std::string> out;
    for (const auto& member : settings.members) {
        if (member.role == settings::member_role::voter) {
            out.push_back(member.node.str());
        }
    }
    return out;
}

jobs::coordinator_settings coordinator_settings_for(const settings::process_settings& settings)
{
    jobs::coordinator_settings out;
    out.workers.max_lease = settings.max_lease;
    return out;
}

} // namespace

core_host_implementation::core_host_implementation(dependencies deps,
                                                   const settings::daemon_settings& log_settings,
                                                   std::uint64_t run,
                                                   std::unique_ptr<storage::file_system> files,
                                                   daemon::opened_log log)
    : m_settings{std::move(deps.settings)}, m_codec{*deps.codec}, m_metrics{*deps.metrics},
      m_core_metrics{m_metrics}, m_files{std::move(files)}, m_loop{&base::boot_time},
      m_links{log_settings, std::string{system_name}, run, m_loop, m_metrics},
      m_writer{daemon::make_writer(std::move(log.store), m_loop)},
      m_log{{log_settings.node, std::move(log.replica), std::move(log.state),
             std::move(log.snapshot), std::move(log.snapshot_bytes), &m_links, m_writer.get(),
             this}},
      m_group{m_settings, initial_voters_of(log_settings), log.identity, m_log, m_links, m_client,
              m_loop},
      m_worker_port{*deps.workers, m_links, m_loop},
      m_callers{{&m_codec, [this]() -> const jobs::ledger& { return records(); },
                 [this](base::time_point now, proto::jobs::Operation operation, commit_done done) {
                     commit(now, std::move(operation), std::move(done));
                 },
                 [this](base::time_point now, const jobs::job_spec& spec) {
                     if (m_coordinator) {
                         m_coordinator->on_submission(wall(now), spec);
                     }
                 },
                 [this](base::time_point now) { return wall(now); },
                 [this](base::time_point now, const jobs::job_spec& spec) {
                     if (!m_coordinator) {
                         return scheduling::admission_forecast::verdict{};
                     }
                     auto verdict = m_coordinator->judge_admission(now, wall(now), spec);
                     m_core_metrics.on_judged(spec.queue, verdict.is_admitted);
                     return verdict;
                 }}}
{
    load_catalog();
}

core_host_implementation::~core_host_implementation()
{
    stop();
}

absl::Status core_host_implementation::start()
{
    callers::http_server_limits limits;
    limits.max_body_bytes = max_internal_body_bytes;
    auto server = callers::http_server_builder{}
                      .listen(m_settings.address, core_port(m_settings))
                      .limits(limits)
                      .handler([this](callers::http_request request, const callers::reply& reply) {
                          on_request(std::move(request), reply);
                      })
                      .build();
    if (!server.ok()) {
        return server.status();
    }
    m_server = *std::move(server);
    m_client.start();
    daemon::peer_links::receivers receivers;
    receivers.cluster = [this](auto now, const auto&, auto& message) {
        if (message.has_consensus()) {
            m_log.on_consensus(now, std::move(*message.mutable_consensus()));
        }
    };
    receivers.routing = [this](auto now, const auto& from, const auto& bytes) {
        m_worker_port.on_message(now, from, bytes);
    };
    receivers.lost = [](auto, const auto&) {};
    auto status = m_links.start(std::move(receivers));
    if (!status.ok()) {
        return status;
    }
    m_decisions = std::thread{[this] {
        m_loop.run({[this](auto now) { tick(now); }, [this](auto now) { after_batch(now); }});
    }};
    return m_server->start();
}

void core_host_implementation::stop()
{
    if (m_is_stopped.exchange(true) || !m_decisions.joinable()) {
        return;
    }
    m_loop.post_completion([this](base::time_point now) {
        stop_leading();
        m_log.transfer_leadership(now);
    });
    std::this_thread::sleep_for(handover_wait);
    m_loop.stop();
    m_decisions.join();
    m_server->stop();
    m_client.stop();
    m_links.stop();
}

void core_host_implementation::on_applied(base::time_point now, const state::command& command,
                                          const state::apply_result& result)
{
    if (!command.has_job_batch() || !result.status.ok()) {
        return;
    }
    load_catalog();
    proto::jobs::Batch batch;
    if (m_coordinator && batch.ParseFromString(command.job_batch())) {
        m_core_metrics.on_applied(records(), batch, wall(now));
        m_coordinator->on_applied(now, batch);
        m_callers.on_applied(batch);
    }
}

void core_host_implementation::on_state_replaced(base::time_point)
{
    load_catalog();
}

void core_host_implementation::on_role_changed(base::time_point,
                                               const consensus::role_change& change)
{
    log_event{severity::info, "role_changed"}
        .with("role", consensus::name_of(change.role))
        .with("term", change.term.value())
        .with("leader", change.leader.str())
        .write();
    if (change.role != consensus::replica_role::leader || change.term != m_term) {
        stop_leading();
        m_term = change.term;
    }
}

void core_host_implementation::load_catalog()
{
    const auto version = records().catalog_version();
    if (version == 0 || (m_catalog && m_catalog->version == version)) {
        return;
    }
    auto decoded = m_codec.decode_catalog(records().catalog_document());
    if (!decoded.ok()) {
        // It was validated before the commit, but maybe by another version of the program.
        log_event{severity::error, "configuration_unreadable"}
            .with("version", version)
            .with("detail", std::string{decoded.status().message()})
            .write();
        return;
    }
    m_catalog = std::make_shared<const jobs::catalog>(*std::move(decoded));
    log_event{severity::info, "configuration_applied"}
        .with("version", version)
        .with("queues", m_catalog->queues.size())
        .with("accounts", m_catalog->accounts.size())
        .write();
    if (m_coordinator) {
        m_coordinator->on_catalog(m_catalog);
    }
}

void core_host_implementation::tick(base::time_point now)
{
    m_log.tick(now);
    m_group.tick(now);
    if (now - m_last_relay_update >= relay_update_interval) {
        m_last_relay_update = now;
        m_group.set_recorded_addresses(records().core_addresses());
        update_relays();
    }
    m_worker_port.tick(now);
    // A coordinator that was replaced may have decisions that aren't committed yet. Until they are,
    // the next one doesn't know what is booked.
    const bool may_lead = m_coordinator || !m_log.has_undecided_proposals();
    if (m_log.is_established_leader(now) && may_lead && !m_is_stopped) {
        start_leading(now);
        m_callers.tick(now);
        record_cores(now);
    }
    else {
        m_callers.stop_leading();
    }
    if (m_coordinator) {
        m_coordinator->tick(now, wall(now));
    }
    if (now - m_last_metrics_update >= metrics_interval) {
        m_last_metrics_update = now;
        m_core_metrics.update(records(), m_coordinator.get(), now);
    }
    if (m_load.is_due(now)) {
        write_load_report(now);
    }
}

void core_host_implementation::write_load_report(base::time_point now)
{
    load_report::levels current;
    current.waiting_steps = m_coordinator ? m_coordinator->ready_step_count() : 0;
    current.relayed_orders = m_worker_port.pending_count();
    current.suspended_relays = m_worker_port.suspended_count();
    current.server = m_server->counters();
    m_load.write(now, m_coordinator != nullptr, current);
}

base::wall_time core_host_implementation::wall(base::time_point now)
{
    return m_clock.wall(now, base::wall_now());
}

void core_host_implementation::update_relays()
{
    m_worker_port.set_cores(m_group.relays(base::boot_time()));
    m_worker_port.set_worker_count(records().workers().size());
}

void core_host_implementation::record_cores(base::time_point now)
{
    if (now - m_last_cores_record < record_interval) {
        return;
    }
    m_last_cores_record = now;
    const auto& recorded = records().core_addresses();
    const auto wanted = m_group.addresses_to_record(now, recorded);
    if (wanted == recorded) {
        return;
    }
    log_event{severity::info, "core_addresses_changed"}
        .with("before", absl::StrJoin(recorded, ","))
        .with("now", absl::StrJoin(wanted, ","))
        .write();
    proto::jobs::Operation operation;
    for (const auto& address : wanted) {
        operation.mutable_put_cores()->add_addresses(address);
    }
    commit(now, std::move(operation), [](commit_outcome) {});
}

void core_host_implementation::start_leading(base::time_point now)
{
    if (m_coordinator) {
        return;
    }
    ++m_generation;
    const jobs::fencing_token first_of_term{m_log.replica().current_term().value() *
                                            tokens_per_term};
    const auto token = std::max(first_of_term, m_last_token);
    m_coordinator = std::make_unique<jobs::coordinator>(coordinator_settings_for(m_settings),
                                                        records(), token, now, wall(now));
    if (m_catalog) {
        m_coordinator->on_catalog(m_catalog);
    }
    update_relays();
    log_event{severity::info, "leading"}
        .with("token", token.value())
        .with("workers", records().workers().size())
        .with("open_jobs", records().open_jobs().size())
        .write();
}

void core_host_implementation::stop_leading()
{
    if (m_coordinator) {
        log_event{severity::info, "stopped_leading"}.write();
        m_last_token = m_coordinator->workers().last_token();
        m_coordinator.reset();
        m_callers.stop_leading();
    }
}

void core_host_implementation::after_batch(base::time_point now)
{
    // Without a valid lease another leader may already be giving orders.
    if (m_coordinator && m_log.is_established_leader(now)) {
        execute_decisions(now);
        m_load.on_decisions(base::boot_time() - now);
    }
    m_load.on_batch(now);
    m_log.flush(now);
    if (now - m_last_relay_flush >= relay_interval) {
        m_last_relay_flush = now;
        m_worker_port.flush();
    }
}

} // namespace lovagebeam::controlplane
