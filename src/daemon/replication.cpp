#include "replication.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

/// An unanswered proposal or read is sent again after this time. Longer than a normal commit and
/// shorter than an election.
constexpr std::chrono::milliseconds resend_interval{400};

absl::Status status_from(const std::string& code, const std::string& message)
{
    return make_error(base::error_code_from_name(code).value_or(error_code::internal_error),
                      message);
}

} // namespace

replication::replication(dependencies initial)
    : m_self{std::move(initial.self)}, m_replica{std::move(initial.replica)}, m_state{std::move(
                                                                                  initial.state)},
      m_applied{initial.snapshot.index}, m_applied_term{initial.snapshot.term},
      m_snapshot{std::move(initial.snapshot)}, m_snapshot_bytes{std::move(initial.snapshot_bytes)},
      m_sender{*initial.sender}, m_writer{*initial.writer}, m_listener{*initial.listener}
{
}

bool replication::is_leader() const
{
    return m_replica->role() == consensus::replica_role::leader;
}

bool replication::is_established_leader(base::time_point now) const
{
    return is_leader() && m_applied_term == m_replica->current_term() &&
           m_contact.lease_valid_until && now < *m_contact.lease_valid_until;
}

bool replication::has_undecided_proposals() const
{
    return m_undecided_term == m_replica->current_term() && m_applied < m_undecided_up_to;
}

consensus::request_tag replication::next_tag()
{
    return consensus::request_tag{++m_last_tag};
}

void replication::tick(base::time_point now)
{
    step(now, consensus::tick{});
    expire(now);
    resend_unanswered(now);
    save_snapshot_if_due(now);
}

void replication::flush(base::time_point now)
{
    if (!m_local_proposals.empty()) {
        step(now, consensus::propose{std::exchange(m_local_proposals, {})});
    }
    if (!m_local_reads.empty()) {
        step(now, consensus::read{std::exchange(m_local_reads, {})});
    }
}

void replication::on_consensus(base::time_point now, consensus::proto::ConsensusMessage message)
{
    step(now, consensus::message_received{std::move(message)});
}

void replication::step(base::time_point now, consensus::event event)
{
    apply_effects(now, m_replica->step(now, std::move(event)));
}

void replication::apply_effects(base::time_point now, consensus::effects effects)
{
    for (auto& outgoing : effects.messages) {
        proto::ClusterMessage message;
        const bool is_snapshot = outgoing.message.has_snapshot_chunk();
        *message.mutable_consensus() = std::move(outgoing.message);
        send(outgoing.to, message,
             is_snapshot ? peers::channel::snapshot : peers::channel::consensus);
    }
    m_contact = effects.contact;
    if (effects.persist) {
        const auto sequence = effects.persist->sequence;
        m_writer.persist(*std::move(effects.persist), [this, sequence](base::time_point when) {
            step(when, consensus::storage_done{sequence});
        });
    }
    if (effects.role) {
        m_listener.on_role_changed(now, *effects.role);
    }
    for (const auto& result : effects.proposals) {
        handle_proposal_result(result);
    }
    for (const auto& entry : effects.committed) {
        apply_entry(now, entry);
    }
    for (const auto& result : effects.reads) {
        handle_read_result(result);
    }
    for (auto& effect : effects.snapshots) {
        on_snapshot_effect(now, std::move(effect));
    }
    if (effects.compact_to) {
        m_writer.compact_to(*effects.compact_to);
    }
    finish_reads();
}

void replication::send(const base::node_id& to, const proto::ClusterMessage& message,
                       peers::channel which)
{
    m_sender.send(to, which, message.SerializeAsString());
}

void replication::apply_entry(base::time_point now, const consensus::log_entry& entry)
{
    m_applied = entry.index;
    m_applied_term = entry.term;
    state::apply_result result;
    if (entry.kind == consensus::entry_kind::command) {
        result = m_state.apply(entry.index.value(), entry.payload);
        if (base::has_code(result.status, error_code::state_diverged)) {
            log_event{severity::error, "state_diverged"}
                .with("index", entry.index.value())
                .with("detail", std::string{result.status.message()})
                .write();
            telemetry::stop_logging();
            std::abort();
        }
        state::command command;
        if (command.ParseFromString(entry.payload)) {
            m_listener.on_applied(now, command, result);
        }
    }
    m_digests.record(entry.index.value(), m_state.digest());
    finish_accepted_proposal(entry, result);
}

void replication::finish_accepted_proposal(const consensus::log_entry& entry,
                                           const state::apply_result& result)
{
    const auto found = m_accepted_proposals.find(entry.index);
    if (found == m_accepted_proposals.end()) {
        return;
    }
    const accepted_proposal accepted = found->second;
    m_accepted_proposals.erase(found);
    // A different term at this index means that the proposal was overwritten; it is sent again
    // unless it is bound to its term.
    if (accepted.term == entry.term) {
        finish_proposal(accepted.tag, result);
    }
    else if (const auto pending = m_proposals.find(accepted.tag);
             pending != m_proposals.end() && pending->second.is_term_bound) {
        finish_proposal(accepted.tag,
                        make_error(error_code::not_leader,
                                   "another leader's entry took the place of this proposal"));
    }
}

void replication::finish_proposal(consensus::request_tag tag,
                                  absl::StatusOr<state::apply_result> result)
{
    const auto found = m_proposals.find(tag);
    if (found == m_proposals.end()) {
        return;
    }
    const propose_done done = std::move(found->second.done);
    m_proposals.erase(found);
    done(std::move(result));
}

void replication::handle_proposal_result(const consensus::proposal_result& result)
{
    if (const auto* accepted = std::get_if<consensus::proposal_accepted>(&result)) {
        m_accepted_proposals[accepted->index] = {accepted->tag, accepted->term};
        return;
    }
    const auto& rejected = std::get<consensus::proposal_rejected>(result);
    const auto found = m_proposals.find(rejected.tag);
    // A local proposal stays pending and is sent to the next leader. A remote one fails here
    // because its sender does the same.
    if (found != m_proposals.end() &&
        (found->second.is_remote || found->second.is_term_bound ||
         base::has_code(rejected.reason, error_code::invalid_request))) {
        finish_proposal(rejected.tag, rejected.reason);
    }
}

void replication::propose(base::time_point now, state::command body, base::time_point deadline,
                          propose_done done)
{
    const auto tag = next_tag();
    auto [entry, inserted] = m_proposals.emplace(
        tag, pending_proposal{state::encode_command(std::move(body), base::wall_now()), deadline,
                              now, std::move(done)});
    submit(now, tag, entry->second);
}

void replication::propose_as_leader(base::time_point now, state::command body,
                                    base::time_point deadline, propose_done done)
{
    if (!is_leader()) {
        done(make_error(error_code::not_leader, "this host isn't the leader"));
        return;
    }
    const auto tag = next_tag();
    pending_proposal pending{state::encode_command(std::move(body), base::wall_now()), deadline,
                             now, std::move(done)};
    pending.is_term_bound = true;
    m_local_proposals.push_back({tag, std::exchange(pending.command, {})});
    m_proposals.emplace(tag, std::move(pending));
}

void replication::submit(base::time_point now, consensus::request_tag tag,
                         pending_proposal& pending)
{
    pending.last_sent = now;
    if (is_leader()) {
        m_local_proposals.push_back({tag, pending.command});
        return;
    }
    const base::node_id leader = m_replica->leader();
    if (leader.empty() || pending.is_remote) {
        return;
    }
    proto::ClusterMessage message;
    message.mutable_propose()->set_tag(tag.value());
    message.mutable_propose()->set_command(pending.command);
    send(leader, message);
}

void replication::on_propose(base::time_point now, const base::node_id& from,
                             const proto::Propose& message)
{
    const auto remote_tag = message.tag();
    const propose_done answer = [this, from, remote_tag](const auto& result) {
        proto::ClusterMessage out;
        auto& body = *out.mutable_propose_result();
        body.set_tag(remote_tag);
        if (result.ok()) {
            body.set_index(result->index);
            body.set_result(state::encode_result(*result));
        }
        else {
            const auto code = base::code_of(result.status()).value_or(error_code::internal_error);
            body.set_error_code(std::string{base::name_of(code)});
            body.set_message(std::string{result.status().message()});
        }
        send(from, out);
    };
    if (!is_leader()) {
        answer(make_error(error_code::not_leader, m_self.str() + " isn't the leader"));
        return;
    }
    const auto tag = next_tag();
    // The sender repeats the proposal until its own deadline, so this record can expire early.
    auto [entry, inserted] = m_proposals.emplace(
        tag, pending_proposal{message.command(), now + std::chrono::seconds{5}, now, answer, true});
    submit(now, tag, entry->second);
}

void replication::on_propose_result(const proto::ProposeResult& message)
{
    const consensus::request_tag tag{message.tag()};
    if (!message.error_code().empty()) {
        const absl::Status status = status_from(message.error_code(), message.message());
        if (base::has_code(status, error_code::invalid_request)) {
            finish_proposal(tag, status);
        }
        return;
    }
    auto result = state::decode_result(message.result());
    if (result.ok()) {
        result->index = message.index();
    }
    finish_proposal(tag, std::move(result));
}

void replication::read(base::time_point now, base::time_point deadline, read_done done)
{
    const auto tag = next_tag();
    auto [entry, inserted] =
        m_reads.emplace(tag, pending_read{deadline, now, std::nullopt, std::move(done)});
    submit_read(now, tag, entry->second);
}

void replication::submit_read(base::time_point now, consensus::request_tag tag,
                              pending_read& pending)
{
    pending.last_sent = now;
    if (is_leader()) {
        m_local_reads.push_back(tag);
        return;
    }
    const base::node_id leader = m_replica->leader();
    if (!leader.empty()) {
        proto::ClusterMessage message;
        message.mutable_read_index()->set_tag(tag.value());
        send(leader, message);
    }
}

void replication::on_read_index(const base::node_id& from, const proto::ReadIndex& message)
{
    const auto remote_tag = message.tag();
    const auto tag = next_tag();
    // Only the leader answers; the sender repeats the request.
    if (!is_leader()) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    m_reads.emplace(tag, pending_read{now + std::chrono::seconds{2}, now, std::nullopt,
                                      [this, from, remote_tag](const absl::Status& status) {
                                          if (!status.ok()) {
                                              return;
                                          }
                                          proto::ClusterMessage out;
                                          auto& body = *out.mutable_read_index_result();
                                          body.set_tag(remote_tag);
                                          body.set_index(m_applied.value());
                                          send(from, out);
                                      }});
    m_local_reads.push_back(tag);
}

void replication::on_read_index_result(const proto::ReadIndexResult& message)
{
    const auto found = m_reads.find(consensus::request_tag{message.tag()});
    if (found != m_reads.end()) {
        found->second.index = message.index();
        finish_reads();
    }
}

void replication::handle_read_result(const consensus::read_result& result)
{
    if (const auto* ready = std::get_if<consensus::read_ready>(&result)) {
        const auto found = m_reads.find(ready->tag);
        if (found != m_reads.end()) {
            found->second.index = ready->index.value();
        }
    }
}

void replication::finish_reads()
{
    std::vector<read_done> ready;
    for (auto entry = m_reads.begin(); entry != m_reads.end();) {
        if (entry->second.index && *entry->second.index <= m_applied.value()) {
            ready.push_back(std::move(entry->second.done));
            entry = m_reads.erase(entry);
        }
        else {
            ++entry;
        }
    }
    for (const auto& done : ready) {
        done(absl::OkStatus());
    }
}

void replication::resend_unanswered(base::time_point now)
{
    for (auto& [tag, pending] : m_proposals) {
        if (!pending.is_remote && !pending.is_term_bound &&
            now - pending.last_sent >= resend_interval) {
            submit(now, tag, pending);
        }
    }
    for (auto& [tag, pending] : m_reads) {
        if (!pending.index && now - pending.last_sent >= resend_interval) {
            submit_read(now, tag, pending);
        }
    }
}

void replication::expire(base::time_point now)
{
    std::vector<consensus::request_tag> expired;
    for (const auto& [tag, pending] : m_proposals) {
        if (pending.deadline <= now) {
            expired.push_back(tag);
        }
    }
    if (!expired.empty()) {
        m_undecided_up_to = m_replica->last_index();
        m_undecided_term = m_replica->current_term();
    }
    for (const auto tag : expired) {
        finish_proposal(tag,
                        make_error(error_code::timed_out, "the command wasn't committed in time"));
    }
    std::vector<read_done> expired_reads;
    std::erase_if(m_reads, [&](auto& entry) {
        if (entry.second.deadline > now) {
            return false;
        }
        expired_reads.push_back(std::move(entry.second.done));
        return true;
    });
    for (const auto& done : expired_reads) {
        done(make_error(error_code::no_quorum, "the leader didn't confirm the read in time"));
    }
}

void replication::change_membership(base::time_point now, consensus::membership_change change)
{
    step(now, consensus::change_membership{next_tag(), std::move(change)});
}

void replication::transfer_leadership(base::time_point now)
{
    if (is_leader()) {
        step(now, consensus::transfer_leadership{});
    }
}

} // namespace lovagebeam::daemon
