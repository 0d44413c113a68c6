// Decodes the input as a log segment and as a snapshot header. The input is also wrapped in a valid
// record, since the fuzzer would otherwise not get past the checksum.
#include "lovagebeam/base/errors.h"

#include "../src/storage/segment.h"
#include "../src/storage/snapshot_file.h"

#include <cstdlib>
#include <string_view>

using lovagebeam::base::error_code;
using lovagebeam::base::has_code;
namespace storage = lovagebeam::storage;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void scan(std::string_view bytes, bool is_last)
{
    storage::log_image image;
    const auto found = storage::scan_segment("fuzz", 1, bytes, is_last, image);
    require(found.ok() ? found->size <= bytes.size()
                       : has_code(found.status(), error_code::log_corrupt));
    for (std::size_t i = 1; i < image.entries.size(); ++i) {
        require(image.entries[i].index == image.entries[i - 1].index.next());
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    scan(bytes, true);
    scan(bytes, false);

    std::string segment;
    std::string header;
    storage::append_number(header, 1);
    header += storage::encode_hard_state({});
    const std::uint64_t checksum =
        storage::append_record(segment, storage::record_kind::segment_header, header, 0, 0, {1, 0});
    const auto kind = static_cast<storage::record_kind>(size == 0 ? 0 : data[0] % 6);
    storage::append_record(segment, kind, bytes.substr(size == 0 ? 0 : 1), segment.size(), checksum,
                           {1, segment.size()});
    scan(segment, true);
    scan(segment + std::string{bytes}, true);

    const auto head = storage::decode_snapshot_header("fuzz", bytes);
    require(head.ok() ? head->data_offset <= bytes.size()
                      : has_code(head.status(), error_code::snapshot_corrupt));
    return 0;
}
