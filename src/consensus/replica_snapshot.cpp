#include "replica_impl.h"
#include "wire.h"

#include <algorithm>
#include <limits>

namespace lovagebeam::consensus {

namespace {

/// The receiver hasn't reported yet how much of the snapshot it has.
constexpr std::uint64_t unknown_offset = std::numeric_limits<std::uint64_t>::max();
/// A transfer without progress for this many heartbeat intervals is resumed by a new offer.
constexpr int stalled_heartbeats = 5;

} // namespace

std::optional<snapshot_meta> replica_impl::describe_snapshot(log_index applied) const
{
    if (applied <= m_snapshot.index || applied > m_applied_index) {
        return std::nullopt;
    }
    snapshot_meta meta;
    meta.index = applied;
    meta.term = m_log.term_at(applied).value_or(term{});
    meta.config = m_log.config_at(applied);
    // A new learner doesn't know the configuration before the first change that it received.
    if (meta.config.voters.empty()) {
        return std::nullopt;
    }
    return meta;
}

void replica_impl::handle(const snapshot_saved& input)
{
    if (input.meta.index <= m_snapshot.index || input.meta.index > m_applied_index) {
        return;
    }
    m_snapshot = input.meta;
    m_durable_index = std::max(m_durable_index, m_snapshot.index);
    const std::uint64_t retained = m_timing.retained_entries;
    if (m_snapshot.index.value() > retained) {
        m_log.discard_through(log_index{m_snapshot.index.value() - retained});
    }
    m_effects.compact_to = m_snapshot.index;
}

void replica_impl::begin_snapshot(progress& peer)
{
    peer.mode = progress_mode::snapshot;
    peer.inflight.clear();
    offer_snapshot(peer);
}

void replica_impl::offer_snapshot(progress& peer)
{
    peer.snapshot = m_snapshot;
    peer.snapshot_offset = unknown_offset;
    peer.snapshot_activity = m_now;
    proto::ConsensusMessage message = make_message(peer.member);
    auto& chunk = *message.mutable_snapshot_chunk();
    wire::to_proto(peer.snapshot, *chunk.mutable_meta());
    chunk.set_round(m_round);
    send(std::move(message));
}

void replica_impl::resume_snapshot(progress& peer)
{
    if (m_now - peer.snapshot_activity >= stalled_heartbeats * m_timing.heartbeat_interval) {
        offer_snapshot(peer);
    }
}

void replica_impl::request_chunk_read(progress& peer)
{
    m_effects.snapshots.emplace_back(read_snapshot_chunk{
        peer.member.id, peer.snapshot, peer.snapshot_offset, m_timing.snapshot_chunk_bytes});
}

void replica_impl::handle(snapshot_chunk_read& input)
{
    const auto it = m_progress.find(input.to);
    if (m_role != replica_role::leader || it == m_progress.end()) {
        return;
    }
    progress& peer = it->second;
    if (peer.mode != progress_mode::snapshot || peer.snapshot.index != input.index ||
        peer.snapshot_offset != input.offset) {
        return;
    }
    if (input.data.empty()) {
        if (peer.snapshot != m_snapshot) {
            offer_snapshot(peer);
        }
        return;
    }
    proto::ConsensusMessage message = make_message(peer.member);
    auto& chunk = *message.mutable_snapshot_chunk();
    wire::to_proto(peer.snapshot, *chunk.mutable_meta());
    chunk.set_offset(input.offset);
    chunk.set_data(std::move(input.data));
    chunk.set_round(m_round);
    send(std::move(message));
}

void replica_impl::on_snapshot_response(const proto::ConsensusMessage& message)
{
    const proto::SnapshotChunkResponse& response = message.snapshot_chunk_response();
    progress* peer =
        record_response(message, response.round(), response.response(), response.durable());
    if (peer == nullptr) {
        return;
    }
    serve_confirmed_reads();
    const log_index index{response.index()};
    if (response.installed()) {
        on_accepted(*peer, index);
        return;
    }
    if (peer->mode != progress_mode::snapshot || peer->snapshot.index != index) {
        return;
    }
    if (response.installing()) {
        peer->snapshot_activity = m_now;
        return;
    }
    // A chunk is sent only on progress, so that duplicated responses don't multiply chunks.
    const bool progressed =
        peer->snapshot_offset == unknown_offset || response.next_offset() > peer->snapshot_offset;
    if (progressed && response.next_offset() != unknown_offset) {
        peer->snapshot_offset = response.next_offset();
        peer->snapshot_activity = m_now;
        request_chunk_read(*peer);
    }
}

void replica_impl::on_snapshot_chunk(const proto::ConsensusMessage& message)
{
    if (m_role == replica_role::leader) {
        return;
    }
    const proto::SnapshotChunk& chunk = message.snapshot_chunk();
    record_leader_contact(message);
    m_leader_round = std::max(m_leader_round, chunk.round());
    const log_index index{chunk.meta().index()};
    // The log already matches the snapshot up to its index: replacing it would drop acknowledged
    // entries.
    if (index <= m_commit_index || m_log.term_at(index) == term{chunk.meta().term()}) {
        m_verified_index = std::max(m_verified_index, index);
        m_commit_index = std::max(m_commit_index, index);
        send_snapshot_response(std::min(index, m_durable_index), 0, true, false);
        return;
    }
    store_chunk(chunk);
}

void replica_impl::store_chunk(const proto::SnapshotChunk& chunk)
{
    auto meta = wire::from_proto(chunk.meta());
    if (!meta) {
        return;
    }
    if (m_incoming_snapshot && m_incoming_snapshot->installing) {
        send_snapshot_response(meta->index, m_incoming_snapshot->next_offset, false, true);
        return;
    }
    if (!m_incoming_snapshot || m_incoming_snapshot->meta != *meta) {
        m_incoming_snapshot = incoming_snapshot{std::move(*meta)};
    }
    incoming_snapshot& incoming = *m_incoming_snapshot;
    const auto size = static_cast<std::uint64_t>(incoming.meta.size.value());
    const bool fits =
        chunk.offset() == incoming.next_offset && chunk.offset() + chunk.data().size() <= size;
    const bool useful = fits && (!chunk.data().empty() || size == 0);
    if (!useful || incoming.storing) {
        if (!incoming.storing) {
            send_snapshot_response(incoming.meta.index, incoming.next_offset, false, false);
        }
        return;
    }
    const bool last = chunk.offset() + chunk.data().size() == size;
    incoming.storing = true;
    incoming.installing = last;
    m_effects.snapshots.emplace_back(
        store_snapshot_chunk{incoming.meta, chunk.offset(), chunk.data(), last});
}

void replica_impl::handle(const snapshot_chunk_stored& input)
{
    if (!m_incoming_snapshot || m_incoming_snapshot->meta.index != input.index ||
        m_incoming_snapshot->installing) {
        return;
    }
    m_incoming_snapshot->storing = false;
    m_incoming_snapshot->next_offset = input.next_offset;
    send_snapshot_response(input.index, input.next_offset, false, false);
}

void replica_impl::handle(const snapshot_installed& input)
{
    if (!m_incoming_snapshot || m_incoming_snapshot->meta != input.meta) {
        return;
    }
    m_incoming_snapshot.reset();
    m_snapshot = input.meta;
    m_log.reset(input.meta.index, input.meta.term, input.meta.config);
    m_commit_index = m_applied_index = m_durable_index = input.meta.index;
    m_verified_index = input.meta.index;
    for (pending_write& write : m_pending_writes) {
        write.durable_index = input.meta.index;
    }
    refresh_members();
    send_snapshot_response(input.meta.index, 0, true, false);
}

void replica_impl::handle(const snapshot_install_failed& input)
{
    if (m_incoming_snapshot && m_incoming_snapshot->meta.index == input.index) {
        m_incoming_snapshot.reset();
    }
}

void replica_impl::send_snapshot_response(log_index index, std::uint64_t next_offset,
                                          bool installed, bool installing)
{
    if (m_leader.id.empty()) {
        return;
    }
    proto::ConsensusMessage answer = make_message(m_leader);
    auto& response = *answer.mutable_snapshot_chunk_response();
    response.set_index(index.value());
    response.set_next_offset(next_offset);
    response.set_installed(installed);
    response.set_installing(installing);
    response.set_round(m_leader_round);
    response.set_response(next_response_number());
    response.set_durable(m_durable);
    send(std::move(answer));
}

} // namespace lovagebeam::consensus
