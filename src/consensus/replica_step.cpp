#include "replica_impl.h"
#include "wire.h"

#include <algorithm>
#include <variant>

namespace lovagebeam::consensus {

replica_impl::replica_impl(replica_initial_state start)
    : m_self{std::move(start.self)}, m_durable{start.durable}, m_timing{start.timing},
      m_random{start.random}, m_hard_state{std::move(start.state)},
      m_snapshot{std::move(start.snapshot)}, m_now{start.now}, m_commit_index{m_snapshot.index},
      m_applied_index{m_snapshot.index}, m_no_vote_until{start.now +
                                                         start.timing.election_timeout_min},
      m_verified_index{m_snapshot.index}
{
    m_log.reset(m_snapshot.index, m_snapshot.term, m_snapshot.config);
    for (log_entry& entry : start.entries) {
        m_log.append(std::move(entry));
    }
    m_durable_index = m_log.last_index();
    // Starting at a random number keeps a number sent before a restart from confirming a response
    // sent after it.
    m_last_response_number = m_random.next() >> 2U;
    m_role = non_leader_role();
    m_reported_role.role = m_role;
    m_reported_role.term = m_hard_state.term;
    reset_election_deadline();
}

effects replica_impl::step(base::time_point now, event input)
{
    m_now = std::max(m_now, now);
    m_effects = effects{};
    check_quorum();
    std::visit([this](auto& value) { handle(value); }, input);
    finish_step();
    return std::move(m_effects);
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
    if (check_addressee(input.message) && update_term(input.message)) {
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
    complete_writes(std::min(input.sequence, m_last_sequence));
}

void replica_impl::complete_writes(storage_sequence sequence)
{
    if (sequence <= m_durable_sequence) {
        return;
    }
    m_durable_sequence = sequence;
    while (!m_pending_writes.empty() && m_pending_writes.front().sequence <= sequence) {
        m_durable_index = m_pending_writes.front().durable_index;
        m_pending_writes.pop_front();
    }
    while (!m_deferred_messages.empty() && m_deferred_messages.front().sequence <= sequence) {
        m_effects.messages.push_back({base::node_id{m_deferred_messages.front().message.to().id()},
                                      std::move(m_deferred_messages.front().message)});
        m_deferred_messages.pop_front();
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

void replica_impl::finish_step()
{
    if (m_role == replica_role::leader && !is_voter(m_self) && is_config_committed()) {
        become_follower(m_hard_state.term, member{});
    }
    emit_persist();
    emit_committed();
    const bool role_changed = m_reported_role.role != m_role ||
                              m_reported_role.term != m_hard_state.term ||
                              m_reported_role.leader != m_leader.id;
    if (role_changed) {
        m_reported_role = role_change{m_role, m_hard_state.term, m_leader.id};
        m_effects.role = m_reported_role;
    }
    emit_contact();
}

void replica_impl::emit_persist()
{
    if (!m_hard_state_changed && !m_append_from && !m_truncate_from) {
        return;
    }
    m_last_sequence = m_last_sequence.next();
    m_pending_writes.push_back({m_last_sequence, m_log.last_index()});
    persist_request request;
    request.sequence = m_last_sequence;
    request.truncate_from = std::exchange(m_truncate_from, std::nullopt);
    const auto first = std::exchange(m_append_from, std::nullopt);
    if (std::exchange(m_hard_state_changed, false)) {
        request.hard_state = m_hard_state;
    }
    if (!m_durable) {
        complete_writes(m_last_sequence);
        return;
    }
    if (first) {
        for (log_index i = *first; i <= m_log.last_index(); i = i.next()) {
            request.entries.push_back(m_log.at(i));
        }
    }
    m_effects.persist = std::move(request);
}

void replica_impl::emit_committed()
{
    while (m_applied_index < m_commit_index) {
        m_applied_index = m_applied_index.next();
        m_effects.committed.push_back(m_log.at(m_applied_index));
    }
}

void replica_impl::emit_contact()
{
    contact_times& contact = m_effects.contact;
    if (m_role == replica_role::leader) {
        contact.last_quorum_contact = m_last_quorum_contact;
        if (holds_lease()) {
            contact.lease_valid_until = *m_last_quorum_contact + lease_duration();
        }
        contact.confirmed_contact = std::max(m_confirmed_contact, m_last_quorum_contact);
        return;
    }
    contact.last_leader_contact = m_last_leader_contact;
    contact.confirmed_contact = m_confirmed_contact;
}

proto::ConsensusMessage replica_impl::make_message(const member& to) const
{
    proto::ConsensusMessage message;
    message.set_group(m_hard_state.group.value());
    wire::to_proto(m_self, *message.mutable_from());
    wire::to_proto(to, *message.mutable_to());
    message.set_term(m_hard_state.term.value());
    return message;
}

void replica_impl::send(proto::ConsensusMessage message)
{
    // Messages wait until the term and the vote are durable: after a restart, the replica could
    // otherwise have forgotten them and vote a second time in the term.
    if (m_hard_state_sequence > m_durable_sequence) {
        m_deferred_messages.push_back({m_hard_state_sequence, std::move(message)});
        return;
    }
    base::node_id to{message.to().id()};
    m_effects.messages.push_back({std::move(to), std::move(message)});
}

void replica_impl::mark_hard_state_changed()
{
    m_hard_state_changed = true;
    m_hard_state_sequence = m_last_sequence.next();
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
