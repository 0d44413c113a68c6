#pragma once

#include "cell_data.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>

namespace lovagebeam::state {

/// Adds the frame of a snapshot around `payload`: magic, length, checksum.
std::string frame_snapshot(std::string_view payload);

std::string encode_data(const cell_data& data);
absl::StatusOr<std::unique_ptr<cell_data>> decode_data(std::string_view bytes,
                                                       const state_limits& limits);

} // namespace lovagebeam::state
