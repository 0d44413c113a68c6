#include "handshake.h"

#include "lovagebeam/base/errors.h"

#include <sodium.h>

#include <array>
#include <charconv>

namespace lovagebeam::peers {
namespace {

constexpr std::size_t nonce_bytes = 16;

// Bounds the memory that a peer which knows the secret can make this node use. Far more than the
// reconnects of a whole cell within the replay window of 2 x 30 s.
constexpr std::size_t max_remembered_nonces = 100'000;

template <std::size_t Size>
std::string to_hex(const std::array<unsigned char, Size>& bytes)
{
    std::array<char, Size * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return {text.data(), Size * 2};
}

absl::Status refuse(std::string_view reason)
{
    return base::make_error(base::error_code::unauthenticated, reason);
}

bool is_nonce(std::string_view text)
{
    return text.size() == nonce_bytes * 2 &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

authenticator::authenticator(base::node_id self, std::string secret)
    : m_self{std::move(self)}, m_secret{std::move(secret)}
{
}

// Each field is preceded by its length, so that different fields never give the same MAC input.
std::string authenticator::mac_of(std::string_view sender, std::string_view receiver,
                                  std::string_view time, std::string_view nonce) const
{
    crypto_auth_hmacsha256_state state;
    crypto_auth_hmacsha256_init(&state, reinterpret_cast<const unsigned char*>(m_secret.data()),
                                m_secret.size());
    for (const std::string_view part : {sender, receiver, time, nonce}) {
        const std::string text = std::to_string(part.size()) + ":" + std::string{part};
        crypto_auth_hmacsha256_update(&state, reinterpret_cast<const unsigned char*>(text.data()),
                                      text.size());
    }
    std::array<unsigned char, crypto_auth_hmacsha256_BYTES> mac{};
    crypto_auth_hmacsha256_final(&state, mac.data());
    return to_hex(mac);
}

hello authenticator::make_hello(const base::node_id& receiver, base::wall_time now) const
{
    std::array<unsigned char, nonce_bytes> random{};
    randombytes_buf(random.data(), random.size());
    hello result{.node = m_self.str(),
                 .time_ms = std::to_string(now.time_since_epoch().count()),
                 .nonce = to_hex(random),
                 .mac = {}};
    result.mac = mac_of(result.node, receiver.str(), result.time_ms, result.nonce);
    return result;
}

void authenticator::remove_expired_nonces(base::wall_time now)
{
    while (!m_expiry.empty() && m_expiry.front().first < now) {
        m_seen_nonces.erase(m_expiry.front().second);
        m_expiry.pop_front();
    }
}

absl::Status authenticator::check(const hello& received, base::wall_time now)
{
    const std::string expected =
        mac_of(received.node, m_self.str(), received.time_ms, received.nonce);
    if (received.mac.size() != expected.size() ||
        sodium_memcmp(received.mac.data(), expected.data(), expected.size()) != 0) {
        return refuse("the MAC is wrong: another secret, or meant for another node");
    }
    std::int64_t sent_ms = 0;
    const char* const end = received.time_ms.data() + received.time_ms.size();
    const auto [rest, error] = std::from_chars(received.time_ms.data(), end, sent_ms);
    if (error != std::errc{} || rest != end || !is_nonce(received.nonce)) {
        return refuse("the time or the nonce is malformed");
    }
    const std::int64_t now_ms = now.time_since_epoch().count();
    const std::int64_t window = hello_time_window.count();
    if (sent_ms < now_ms - window || sent_ms > now_ms + window) {
        return refuse("the clocks differ by more than " + std::to_string(window) +
                      " ms: " + std::to_string(sent_ms) + " received at " + std::to_string(now_ms));
    }
    remove_expired_nonces(now);
    if (m_seen_nonces.size() >= max_remembered_nonces) {
        return refuse("too many handshakes in the replay window");
    }
    std::string key = received.node + "/" + received.nonce;
    if (!m_seen_nonces.insert(key).second) {
        return refuse("the nonce was used before");
    }
    // After this time, the hello is outside the time window and can't be replayed.
    m_expiry.emplace_back(now + 2 * hello_time_window, std::move(key));
    return absl::OkStatus();
}

} // namespace lovagebeam::peers
