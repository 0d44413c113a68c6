#include "lovagebeam/base/errors.h"
#include "lovagebeam/workers/protocol.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace {

using namespace lovagebeam::workers;

/// Checks that an accepted message survives a round trip, and that any other input gives
/// `invalid_request`.
template <class Decode>
void check(std::string_view json, Decode decode)
{
    const auto first = decode(json);
    if (!first.ok()) {
        if (!lovagebeam::base::has_code(first.status(),
                                        lovagebeam::base::error_code::invalid_request)) {
            std::abort();
        }
        return;
    }
    const auto second = decode(encode(*first));
    if (!second.ok() || !(*first == *second)) {
        std::abort();
    }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    check(text, decode_worker_announcement);
    check(text, decode_announcement_answer);
    check(text, decode_start_task_request);
    return 0;
}
