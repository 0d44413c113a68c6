// Feeds bytes to the state machine as a command, as a snapshot and as a result. A snapshot gets a
// valid frame, since the fuzzer would otherwise not pass the checksum.
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
    const auto copy = cell_state::decode_snapshot(cell.encode_snapshot());
    require(copy.ok() && copy->digest() == cell.digest());

    const auto restored = cell_state::decode_snapshot(lovagebeam::state::frame_snapshot(bytes));
    require(restored.ok() || has_code(restored.status(), error_code::snapshot_corrupt));
    require(!cell_state::decode_snapshot(bytes).ok());
    const auto answer = lovagebeam::state::decode_result(bytes);
    require(answer.ok() || has_code(answer.status(), error_code::invalid_request));
    return 0;
}
