#include "replica_impl.h"
#include "wire.h"

#include <algorithm>
#include <variant>

namespace lovagebeam::consensus {

replica_impl::replica_impl(replica_start start)
    : m_self{std::move(start.self)}, m_durable{start.durable}, m_timing{start.timing},
      m_random{start.random}, m_hard{std::move(start.state)}, m_snapshot{std::move(start.snapshot)},
      m_now{start.now}, m_commit{m_snapshot.index}, m_applied{m_snapshot.index},
      m_no_vote_until{start.now + start.timing.election_timeout_min}, m_verified{m_snapshot.index}
{
    m_log.reset(m_snapshot.index, m_snapshot.term, m_snapshot.config);
    for (log_entry& entry : start.entries) {
        m_log.append(std::move(entry));
    }
    m_durable_index = m_log.last_index();
    // A random start keeps a number that an earlier life of this process sent from confirming a
    // response of this one.
    m_response_number = m_random.next() >> 2U;
    m_role = idle_role();
    m_reported.role = m_role;
    m_reported.term = m_hard.term;
    reset_election_deadline();
}

effects replica_impl::step(base::time_point now, event input)
{
    m_now = std::max(m_now, now);
    m_out = effects{};
    check_quorum();
    std::visit([this](auto& chosen) { handle(chosen); }, input);
    finish();
    return std::move(m_out);
}

void replica_impl::handle(const tick& /*input*/)
{
    if (m_role == replica_role::leader) {
        expire_transfer();
        if (m_now >= m_next_heartbeat) {
            broadcast_heartbeat(false);
            m_next_heartbeat = m_now + m_timing.heartbeat_interval;
        }
        return;
    }
    if (m_role != replica_role::learner && m_now >= m_election_deadline) {
        start_pre_vote();
    }
}

void replica_impl::handle(const message_received& input)
{
    if (accept_address(input.message) && adopt_term(input.message)) {
        dispatch(input.message);
    }
}

void replica_impl::dispatch(const proto::ConsensusMessage& message)
{
    switch (message.body_case()) {
    case proto::ConsensusMessage::kVoteRequest:
        return on_vote_request(message);
    case proto::ConsensusMessage::kVoteResponse:
        return on_vote_response(message);
    case proto::ConsensusMessage::kAppendRequest:
        return on_append_request(message);
    case proto::ConsensusMessage::kAppendResponse:
        return on_append_response(message);
    case proto::ConsensusMessage::kSnapshotChunk:
        return on_snapshot_chunk(message);
    case proto::ConsensusMessage::kSnapshotChunkResponse:
        return on_snapshot_response(message);
    case proto::ConsensusMessage::kTimeoutNow:
        return on_timeout_now(message);
    case proto::ConsensusMessage::BODY_NOT_SET:
        return;
    }
}

void replica_impl::handle(const storage_done& input)
{
    complete_writes(std::min(input.sequence, m_sequence));
}

void replica_impl::complete_writes(storage_sequence sequence)
{
    if (sequence <= m_done) {
        return;
    }
    m_done = sequence;
    while (!m_pending_writes.empty() && m_pending_writes.front().sequence <= sequence) {
        m_durable_index = m_pending_writes.front().durable_index;
        m_pending_writes.pop_front();
    }
    while (!m_deferred.empty() && m_deferred.front().sequence <= sequence) {
        m_out.messages.push_back({base::node_id{m_deferred.front().message.to().id()},
                                  std::move(m_deferred.front().message)});
        m_deferred.pop_front();
    }
    if (m_role == replica_role::candidate) {
        count_votes();
    }
    else if (m_role == replica_role::leader) {
        advance_commit();
        continue_transfer();
    }
    else if (m_acknowledgement_due && !m_leader.id.empty()) {
        acknowledge();
    }
}

void replica_impl::finish()
{
    if (m_role == replica_role::leader && !is_voter(m_self) && is_config_committed()) {
        become_follower(m_hard.term, member{});
    }
    emit_persist();
    emit_committed();
    const bool role_changed = m_reported.role != m_role || m_reported.term != m_hard.term ||
                              m_reported.leader != m_leader.id;
    if (role_changed) {
        m_reported = role_change{m_role, m_hard.term, m_leader.id};
        m_out.role = m_reported;
    }
    emit_contact();
}

void replica_impl::emit_persist()
{
    if (!m_hard_changed && !m_append_from && !m_truncate_from) {
        return;
    }
    m_sequence = m_sequence.next();
    m_pending_writes.push_back({m_sequence, m_log.last_index()});
    persist_request request;
    request.sequence = m_sequence;
    request.truncate_from = std::exchange(m_truncate_from, std::nullopt);
    const auto first = std::exchange(m_append_from, std::nullopt);
    if (std::exchange(m_hard_changed, false)) {
        request.hard_state = m_hard;
    }
    if (!m_durable) {
        complete_writes(m_sequence);
        return;
    }
    if (first) {
        for (log_index i = *first; i <= m_log.last_index(); i = i.next()) {
            request.entries.push_back(m_log.at(i));
        }
    }
    m_out.persist = std::move(request);
}

void replica_impl::emit_committed()
{
    while (m_applied < m_commit) {
        m_applied = m_applied.next();
        m_out.committed.push_back(m_log.at(m_applied));
    }
}

void replica_impl::emit_contact()
{
    contact_times& contact = m_out.contact;
    if (m_role == replica_role::leader) {
        contact.last_quorum_contact = m_quorum_heard;
        if (holds_lease()) {
            contact.lease_valid_until = *m_quorum_heard + lease_span();
        }
        contact.confirmed_contact = std::max(m_confirmed_contact, m_quorum_heard);
        return;
    }
    contact.last_leader_contact = m_leader_heard;
    contact.confirmed_contact = m_confirmed_contact;
}

proto::ConsensusMessage replica_impl::make_message(const member& to) const
{
    proto::ConsensusMessage message;
    message.set_group(m_hard.group.value());
    wire::put(m_self, *message.mutable_from());
    wire::put(to, *message.mutable_to());
    message.set_term(m_hard.term.value());
    return message;
}

void replica_impl::send(proto::ConsensusMessage message)
{
    // Nothing is said in a term, and no vote is given, before both are durable: a restart could
    // otherwise forget them and vote a second time.
    if (m_hard_sequence > m_done) {
        m_deferred.push_back({m_hard_sequence, std::move(message)});
        return;
    }
    base::node_id to{message.to().id()};
    m_out.messages.push_back({std::move(to), std::move(message)});
}

void replica_impl::mark_hard_state_changed()
{
    m_hard_changed = true;
    m_hard_sequence = m_sequence.next();
}

void replica_impl::append_to_log(log_entry entry)
{
    if (!m_append_from) {
        m_append_from = entry.index;
    }
    const bool is_membership = entry.kind == entry_kind::membership;
    m_log.append(std::move(entry));
    if (is_membership) {
        refresh_members();
    }
}

void replica_impl::truncate_log(log_index from)
{
    m_log.truncate_from(from);
    m_truncate_from = std::min(m_truncate_from.value_or(from), from);
    if (m_append_from && *m_append_from >= from) {
        m_append_from.reset();
    }
    m_durable_index = std::min(m_durable_index, before(from));
    for (pending_write& write : m_pending_writes) {
        write.durable_index = std::min(write.durable_index, before(from));
    }
    refresh_members();
}

} // namespace lovagebeam::consensus
