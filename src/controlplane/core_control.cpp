#include "lovagebeam/telemetry/log.h"

#include "core_host_implementation.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

using telemetry::log_event;
using telemetry::severity;

/// Longer than the leader's heartbeat interval, shorter than an election.
constexpr std::chrono::milliseconds max_leader_contact_age{300};

control_answer done_answer(std::string body = {})
{
    return {control_outcome::done, {}, std::move(body)};
}

} // namespace

control_answer core_host_implementation::make_not_leader_answer(base::time_point now) const
{
    control_answer answer;
    answer.outcome = control_outcome::not_leader;
    answer.leader_address = m_group.leader(now);
    if (answer.leader_address == m_settings.address) {
        answer.leader_address.clear();
    }
    return answer;
}

void core_host_implementation::report_worker(worker_report report, control_done done)
{
    auto shared = std::make_shared<worker_report>(std::move(report));
    if (!m_loop.try_post(
            [this, shared, done](base::time_point now) { handle_report(now, *shared, done); })) {
        done({});
    }
}

// A follower in contact with the leader may acknowledge what the replicated state already contains.
// That a worker is cold isn't replicated, so the leader has to hear of it.
bool core_host_implementation::is_already_replicated(base::time_point now,
                                                     const worker_report& report) const
{
    const auto& last_contact = m_log.contact().last_leader_contact;
    const auto found = records().workers().find(report.info.id);
    return report.cold_remaining == std::chrono::milliseconds{0} && last_contact &&
           now - *last_contact < max_leader_contact_age && found != records().workers().end() &&
           found->second == report.info;
}

void core_host_implementation::handle_report(base::time_point now, const worker_report& report,
                                             const control_done& done)
{
    if (!m_coordinator || !m_log.is_established_leader(now)) {
        done(is_already_replicated(now, report) ? done_answer() : make_not_leader_answer(now));
        return;
    }
    const auto& known = records().workers();
    const auto found = known.find(report.info.id);
    auto& sequence = m_last_sequences[{report.info.id, report.info.started_at}];
    const bool is_known =
        found != known.end() && found->second.started_at == report.info.started_at;
    // The last report in the records may have reached an earlier leader.
    const auto last_recorded = is_known ? records().last_report(report.info.id) : 0;
    const bool is_old = report.sequence < std::max(sequence, last_recorded) ||
                        (found != known.end() && report.info.started_at < found->second.started_at);
    if (is_old || records().has_departed(report.info.id, report.info.started_at)) {
        done(done_answer());
        return;
    }
    sequence = report.sequence;
    auto info = report.info;
    // An instance that is draining stays so.
    info.draining = info.draining || (is_known && found->second.draining);
    m_coordinator->on_clock(now, info.id, report.clock);
    m_coordinator->on_worker_cold(now, info.id, info.started_at, report.cold_remaining);
    if (is_known && found->second == info) {
        done(done_answer());
        return;
    }
    log_event{severity::info, is_known ? "worker_changed" : "worker_seen"}
        .with("worker", info.id.str())
        .with("address", info.address)
        .with("pool", info.pool)
        .with("draining", info.draining)
        .with("sequence", report.sequence)
        .write();
    proto::jobs::Operation operation;
    *operation.mutable_put_worker()->mutable_worker() = jobs::to_proto(info);
    operation.mutable_put_worker()->set_sequence(report.sequence);
    commit(now, std::move(operation),
           [this, done, id = info.id, clock = report.clock, at = now](commit_outcome outcome) {
               if (outcome == commit_outcome::committed) {
                   if (m_coordinator) {
                       m_coordinator->on_clock(at, id, clock);
                   }
                   done(done_answer());
               }
               else {
                   done({});
               }
           });
}

void core_host_implementation::remove_worker(base::worker_id id, base::wall_time started_at,
                                             control_done done)
{
    m_loop.post_completion([this, id = std::move(id), started_at, done](base::time_point now) {
        if (!m_coordinator || !m_log.is_established_leader(now)) {
            done(make_not_leader_answer(now));
            return;
        }
        log_event{severity::info, "worker_left"}
            .with("worker", id.str())
            .with("started_ms", started_at.time_since_epoch().count())
            .write();
        proto::jobs::Operation operation;
        operation.mutable_remove_worker()->set_id(id.str());
        operation.mutable_remove_worker()->set_born_ms(started_at.time_since_epoch().count());
        commit(now, std::move(operation), [done](commit_outcome outcome) {
            done(outcome == commit_outcome::committed ? done_answer() : control_answer{});
        });
    });
}

void core_host_implementation::put_catalog(std::string document, control_done done)
{
    auto shared = std::make_shared<std::string>(std::move(document));
    m_loop.post_completion(
        [this, shared, done](base::time_point now) { handle_catalog(now, *shared, done); });
}

void core_host_implementation::handle_catalog(base::time_point now, const std::string& document,
                                              const control_done& done)
{
    // Any process may refuse an invalid document, since it is invalid whoever leads and whatever
    // its version.
    const auto decoded = m_codec.decode_catalog(document);
    if (!decoded.ok()) {
        log_event{severity::info, "configuration_refused"}
            .with("why", std::string{decoded.status().message()})
            .write();
        done({control_outcome::invalid, {}, {}});
        return;
    }
    if (!m_coordinator || !m_log.is_established_leader(now)) {
        done(make_not_leader_answer(now));
        return;
    }
    if (decoded->version <= records().catalog_version()) {
        log_event{severity::info, "configuration_not_newer"}
            .with("version", decoded->version)
            .with("in_force", records().catalog_version())
            .write();
        done(done_answer());
        return;
    }
    log_event{severity::info, "configuration_accepted"}.with("version", decoded->version).write();
    proto::jobs::Operation operation;
    operation.mutable_put_catalog()->set_version(decoded->version);
    operation.mutable_put_catalog()->set_document(document);
    commit(now, std::move(operation), [done](commit_outcome outcome) {
        done(outcome == commit_outcome::committed ? done_answer() : control_answer{});
    });
}

void core_host_implementation::get_catalog(control_done done)
{
    m_loop.post_completion([this, done](base::time_point now) {
        if (!m_coordinator || !m_log.is_established_leader(now)) {
            done(make_not_leader_answer(now));
        }
        else if (records().catalog_version() == 0) {
            done({});
        }
        else {
            done(done_answer(records().catalog_document()));
        }
    });
}

} // namespace lovagebeam::controlplane
