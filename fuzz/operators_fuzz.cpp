#include "lovagebeam/operators/protocol.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace lovagebeam;

// Checks that a configuration change that can be decoded survives a round trip through encode().
// NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto change = operators::decode_config_change(text);
    if (change.ok()) {
        const auto again = operators::decode_config_change(operators::encode(*change));
        if (!again.ok() || !(again->document == change->document)) {
            std::abort();
        }
    }
    static_cast<void>(operators::decode_key_grant(text));
    static_cast<void>(operators::decode_change_call(text));
    return 0;
}
