// Decodes the input as a command, as a snapshot and as a result of the state machine. The snapshot
// is wrapped in a valid frame, since the fuzzer would otherwise not get past the checksum.
#include "lovagebeam/base/errors.h"
#include "lovagebeam/state/cell_state.h"

#include "../src/state/snapshot.h"

#include <cstdlib>
#include <string_view>

using lovagebeam::base::error_code;
using lovagebeam::base::has_code;
using lovagebeam::state::cell_state;

namespace {

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    cell_state cell;
    const std::uint64_t digest = cell.digest();
    const auto result = cell.apply(1, bytes);
    require(!has_code(result.status, error_code::state_diverged));
    require(result.changed ? cell.digest() != digest : true);
    const auto round_trip = cell_state::decode_snapshot(cell.encode_snapshot());
    require(round_trip.ok() && round_trip->digest() == cell.digest());

    const auto restored = cell_state::decode_snapshot(lovagebeam::state::frame_snapshot(bytes));
    require(restored.ok() || has_code(restored.status(), error_code::snapshot_corrupt));
    require(!cell_state::decode_snapshot(bytes).ok());
    const auto decoded = lovagebeam::state::decode_result(bytes);
    require(decoded.ok() || has_code(decoded.status(), error_code::invalid_request));
    return 0;
}
