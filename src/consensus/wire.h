#pragma once

#include "lovagebeam/consensus/types.h"

#include "consensus.pb.h"

#include <optional>

namespace lovagebeam::consensus::wire {

void put(const member& value, proto::Member& out);
void put(const group_config& value, proto::GroupConfig& out);
void put(const log_entry& value, proto::LogEntry& out);
void put(const snapshot_meta& value, proto::SnapshotMeta& out);

member get(const proto::Member& value);
/// These return nothing for a malformed value.
std::optional<group_config> get(const proto::GroupConfig& value);
std::optional<log_entry> get(const proto::LogEntry& value);
std::optional<snapshot_meta> get(const proto::SnapshotMeta& value);

} // namespace lovagebeam::consensus::wire
