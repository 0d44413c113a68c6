#include "message_framing.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/peers/peer_network.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::peers {
namespace {

// Limits the memory that is reserved before the bytes of a message arrive, so that a peer can't
// make the receiver allocate 4 MiB for each stream by sending a length prefix of four bytes.
constexpr std::size_t initial_reserve_bytes = std::size_t{64} * 1024;

constexpr unsigned byte_bits = 8;

} // namespace

std::array<char, length_prefix_bytes> make_length_prefix(std::size_t size)
{
    std::array<char, length_prefix_bytes> prefix{};
    for (std::size_t i = 0; i < prefix.size(); ++i) {
        const auto shift = byte_bits * static_cast<unsigned>(prefix.size() - 1 - i);
        prefix.at(i) = static_cast<char>((size >> shift) & 0xffU);
    }
    return prefix;
}

void message_decoder::take_prefix(std::string_view& bytes)
{
    const std::size_t count = std::min(bytes.size(), m_prefix.size() - m_prefix_size);
    std::copy_n(bytes.begin(), count,
                m_prefix.begin() + static_cast<std::ptrdiff_t>(m_prefix_size));
    m_prefix_size += count;
    bytes.remove_prefix(count);
    if (m_prefix_size < m_prefix.size()) {
        return;
    }
    m_length = 0;
    for (const char byte : m_prefix) {
        m_length = m_length << byte_bits | static_cast<unsigned char>(byte);
    }
    m_failed = m_length > max_message_bytes;
    if (!m_failed) {
        m_body.reserve(std::min(m_length, initial_reserve_bytes));
    }
}

void message_decoder::take_body(std::string_view& bytes)
{
    const std::size_t count = std::min(bytes.size(), m_length - m_body.size());
    m_body.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
}

absl::Status message_decoder::push(std::string_view bytes, const sink& deliver)
{
    while (!m_failed) {
        if (m_prefix_size < m_prefix.size()) {
            take_prefix(bytes);
        }
        if (m_failed || m_prefix_size < m_prefix.size()) {
            break;
        }
        take_body(bytes);
        if (m_body.size() < m_length) {
            break;
        }
        m_prefix_size = 0;
        deliver(std::exchange(m_body, {}));
    }
    return m_failed ? base::make_error(base::error_code::message_too_large,
                                       "a message of " + std::to_string(m_length) +
                                           " bytes exceeds the limit of " +
                                           std::to_string(max_message_bytes))
                    : absl::OkStatus();
}

} // namespace lovagebeam::peers
