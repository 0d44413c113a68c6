#pragma once

#include <absl/status/status.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lovagebeam::peers {

inline constexpr std::size_t length_prefix_bytes = 4;

/// Returns the big-endian prefix of a message of `size` bytes.
std::array<char, length_prefix_bytes> make_length_prefix(std::size_t size);

/// Splits the bytes of one stream into messages.
class message_decoder {
public:
    using sink = std::function<void(std::string)>;

    /// Decodes the next bytes and passes each completed message to `deliver`. Fails with
    /// `message_too_large` for a length over `max_message_bytes`; every later call fails too.
    absl::Status push(std::string_view bytes, const sink& deliver);

private:
    void take_prefix(std::string_view& bytes);
    void take_body(std::string_view& bytes);

    std::array<char, length_prefix_bytes> m_prefix{};
    std::size_t m_prefix_size = 0;
    std::size_t m_length = 0;
    std::string m_body;
    bool m_failed = false;
};

} // namespace lovagebeam::peers
