#include "lovagebeam/peers/peer_network.h"

#include "../src/peers/message_framing.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace {

using lovagebeam::peers::message_decoder;

struct decode_result {
    std::vector<std::string> messages;
    bool ok = true;

    friend bool operator==(const decode_result&, const decode_result&) = default;
};

decode_result decode(std::string_view bytes, std::size_t step)
{
    decode_result result;
    message_decoder decoder;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        const auto status = decoder.push(bytes.substr(at, step), [&result](std::string message) {
            result.messages.push_back(std::move(message));
        });
        result.ok = result.ok && status.ok();
    }
    return result;
}

} // namespace

/// Checks that the decoded messages don't depend on how the bytes are split, and that they are
/// together no longer than the input.
// NOLINTNEXTLINE(readability-identifier-naming): the name is fixed by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::size_t step = std::size_t{data[0]} + 1;
    const std::string_view bytes{reinterpret_cast<const char*>(data) + 1, size - 1};
    const decode_result whole = decode(bytes, size);
    if (whole != decode(bytes, step)) {
        std::abort();
    }
    std::size_t total = 0;
    for (const auto& message : whole.messages) {
        total += message.size() + lovagebeam::peers::length_prefix_bytes;
    }
    if (total > bytes.size()) {
        std::abort();
    }
    return 0;
}
