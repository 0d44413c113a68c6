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

/// The content of the log, reconstructed from the records read so far.
class log_image {
public:
    /// Applies the next record of the log. `log_corrupt` if it can't follow the previous ones.
    absl::Status apply(const record& next);

    /// Removes all entries if the log ends before `snapshot` or conflicts with it. Returns true in
    /// this case; the log has to be reset then.
    bool reconcile_with(const consensus::snapshot_meta& snapshot);

    std::vector<consensus::log_entry> entries;
    consensus::hard_state hard_state;
    /// The highest index that was appended since it was last set to 0.
    std::uint64_t highest_index = 0;
};

struct segment_scan {
    /// End of the last valid record; 0 if the header is incomplete.
    std::uint64_t size = 0;
    /// Checksum of the last valid record.
    std::uint64_t checksum = 0;
};

/// Reads the segment `number` with the content `bytes` from the file `path` into `image`. Bytes
/// after the scanned size of the last segment are a torn tail. `log_corrupt` with file and offset
/// if bytes that had been durable are corrupt: anywhere in an earlier segment, or below the durable
/// size in a later record.
absl::StatusOr<segment_scan> scan_segment(const std::string& path, std::uint64_t number,
                                          std::string_view bytes, bool is_last, log_image& image);

} // namespace lovagebeam::storage
