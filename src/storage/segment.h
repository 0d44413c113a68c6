#pragma once

#include "lovagebeam/consensus/types.h"

#include "record.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::storage {

/// The log as far as the records were read.
class log_image {
public:
    /// Takes the next record of the log. `log_corrupt` when it can't follow the ones before.
    absl::Status apply(const record& next);

    /// Keeps the entries that `snapshot` doesn't replace. Returns true when the log has to be reset
    /// because it ends before the snapshot or belongs to another history.
    bool cut_to(const consensus::snapshot_meta& snapshot);

    std::vector<consensus::log_entry> entries;
    consensus::hard_state hard_state;
    /// The highest index that was appended since it was last set to 0.
    std::uint64_t highest_index = 0;
};

struct segment_scan {
    /// End of the last good record; 0 when not even the header is whole.
    std::uint64_t size = 0;
    /// Checksum of the last good record.
    std::uint64_t checksum = 0;
};

/// Reads the segment `number` with the content `bytes` from the file `path` into `image`. Bytes
/// behind the scanned size of the last segment are a torn tail. `log_corrupt` with file and offset
/// when bytes are bad that had been durable: anywhere in an earlier segment, or below the durable
/// size that a later record names.
absl::StatusOr<segment_scan> scan_segment(const std::string& path, std::uint64_t number,
                                          std::string_view bytes, bool is_last, log_image& image);

} // namespace lovagebeam::storage
