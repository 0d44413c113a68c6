#include "lovagebeam/settings/daemon_settings.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

// Checks that a document gives either problems or settings whose members include the host itself.
// NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto result = lovagebeam::settings::parse_daemon_settings(text);
    if (result.settings.has_value() == !result.problems.empty()) {
        std::abort();
    }
    if (result.settings && result.settings->self().node != result.settings->node) {
        std::abort();
    }
    return 0;
}
