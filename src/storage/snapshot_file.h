#pragma once

#include "lovagebeam/consensus/types.h"
#include "lovagebeam/storage/file_system.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagebeam::storage {

// Layout of a snapshot file: magic, size of the metadata, the metadata, XXH3 hash of everything
// before (numbers have 8 bytes, little endian), then the snapshot's bytes.

inline constexpr std::string_view snapshot_prefix = "snapshot-";

struct snapshot_header {
    consensus::snapshot_meta meta;
    std::uint64_t data_offset = 0;
};

std::string encode_snapshot_header(const consensus::snapshot_meta& meta);

/// Decodes the header at the start of `bytes`. `snapshot_corrupt` with file and offset if it is
/// corrupt.
absl::StatusOr<snapshot_header> decode_snapshot_header(const std::string& path,
                                                       std::string_view bytes);

/// Reads the file and verifies all of its bytes.
absl::StatusOr<snapshot_header> check_snapshot_file(file_system& files, const std::string& path);

} // namespace lovagebeam::storage
