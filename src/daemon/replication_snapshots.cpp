#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "replication.h"

#include <xxhash.h>

#include <chrono>
#include <utility>

namespace lovagebeam::daemon {
namespace {

using telemetry::log_event;
using telemetry::severity;

/// Number of entries between snapshots: one snapshot in about two minutes at 100 commands per
/// second. A restart replays at most this many entries, and as many again that arrived while a
/// snapshot was being saved.
constexpr std::uint64_t entries_per_snapshot = 10'000;
/// A snapshot that was abandoned, for example because the disk is full, is tried again after this
/// time. Encoding it takes the time of the decisions thread.
constexpr std::chrono::seconds abandoned_retry_delay{2};

} // namespace

void replication::save_snapshot_if_due(base::time_point now)
{
    if (m_snapshot_in_progress || now < m_next_snapshot ||
        m_applied.value() < m_snapshot.index.value() + entries_per_snapshot) {
        return;
    }
    auto meta = m_replica->describe_snapshot(m_applied);
    if (!meta) {
        return;
    }
    auto bytes = std::make_shared<const std::string>(m_state.encode_snapshot());
    meta->size = base::bytes{static_cast<std::int64_t>(bytes->size())};
    meta->checksum = XXH3_64bits(bytes->data(), bytes->size());
    m_snapshot_in_progress = true;
    const auto when_durable = [this, meta, bytes](base::time_point when) {
        m_snapshot_in_progress = false;
        if (m_snapshot.index < meta->index) {
            m_snapshot = *meta;
            m_snapshot_bytes = bytes;
            step(when, consensus::snapshot_saved{*meta});
        }
    };
    m_writer.save_snapshot(*meta, bytes, when_durable, [this](base::time_point when) {
        m_snapshot_in_progress = false;
        m_next_snapshot = when + abandoned_retry_delay;
    });
}

void replication::on_snapshot_effect(base::time_point now, consensus::snapshot_effect effect)
{
    if (const auto* chunk = std::get_if<consensus::store_snapshot_chunk>(&effect)) {
        store_chunk(now, *chunk);
        return;
    }
    const auto& request = std::get<consensus::read_snapshot_chunk>(effect);
    std::string data;
    if (m_snapshot_bytes && request.meta == m_snapshot &&
        request.offset < m_snapshot_bytes->size()) {
        data = m_snapshot_bytes->substr(request.offset, request.max_bytes);
    }
    step(now, consensus::snapshot_chunk_read{request.to, request.meta.index, request.offset,
                                             std::move(data)});
}

void replication::store_chunk(base::time_point now, const consensus::store_snapshot_chunk& chunk)
{
    if (chunk.offset == 0) {
        m_incoming_snapshot.clear();
    }
    if (chunk.offset != m_incoming_snapshot.size()) {
        step(now, consensus::snapshot_install_failed{chunk.meta.index});
        return;
    }
    m_incoming_snapshot += chunk.data;
    if (chunk.last) {
        install_snapshot(now, chunk.meta);
        return;
    }
    step(now, consensus::snapshot_chunk_stored{chunk.meta.index, m_incoming_snapshot.size()});
}

void replication::install_snapshot(base::time_point now, const consensus::snapshot_meta& meta)
{
    auto bytes = std::make_shared<const std::string>(std::exchange(m_incoming_snapshot, {}));
    const bool is_checksum_valid = XXH3_64bits(bytes->data(), bytes->size()) == meta.checksum;
    auto decoded = state::cell_state::decode_snapshot(*bytes);
    if (!is_checksum_valid || !decoded.ok()) {
        log_event{severity::warning, "snapshot_rejected"}.with("index", meta.index.value()).write();
        step(now, consensus::snapshot_install_failed{meta.index});
        return;
    }
    m_state = *std::move(decoded);
    m_applied = meta.index;
    m_applied_term = meta.term;
    m_snapshot = meta;
    m_snapshot_bytes = bytes;
    m_listener.on_state_replaced(now);
    m_writer.install_snapshot(meta, bytes, [this, meta](base::time_point when) {
        step(when, consensus::snapshot_installed{meta});
    });
}

} // namespace lovagebeam::daemon
