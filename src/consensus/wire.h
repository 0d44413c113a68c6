#pragma once

#include "lovagebeam/consensus/types.h"

#include "consensus.pb.h"

#include <optional>

namespace lovagebeam::consensus::wire {

void to_proto(const member& value, proto::Member& out);
void to_proto(const group_config& value, proto::GroupConfig& out);
void to_proto(const log_entry& value, proto::LogEntry& out);
void to_proto(const snapshot_meta& value, proto::SnapshotMeta& out);

member from_proto(const proto::Member& value);
/// The following return nothing for a malformed value.
std::optional<group_config> from_proto(const proto::GroupConfig& value);
std::optional<log_entry> from_proto(const proto::LogEntry& value);
std::optional<snapshot_meta> from_proto(const proto::SnapshotMeta& value);

} // namespace lovagebeam::consensus::wire
