#pragma once

#include "lovagebeam/consensus/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::consensus {

/// Returns the payload of a membership entry. Equal configurations give equal bytes.
std::string encode_config(const group_config& config);

/// Returns the configuration in `payload`, or nothing if it is malformed or lists a node twice.
std::optional<group_config> decode_config(std::string_view payload);

/// Returns the encoded `meta`, which storage writes next to the snapshot.
std::string encode_snapshot_meta(const snapshot_meta& meta);

/// Returns the metadata encoded in `bytes`, or nothing if it is malformed.
std::optional<snapshot_meta> decode_snapshot_meta(std::string_view bytes);

} // namespace lovagebeam::consensus
