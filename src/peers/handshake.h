#pragma once

#include "lovagebeam/base/types.h"

#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace lovagebeam::peers {

/// Credentials that the dialling side sends in the request headers of each stream.
struct hello {
    std::string node;    ///< lb-node
    std::string time_ms; ///< lb-time-ms: wall clock in milliseconds since 1970, decimal
    std::string nonce;   ///< lb-nonce: 16 random bytes, hexadecimal
    std::string mac;     ///< lb-mac: HMAC-SHA-256, hexadecimal
};

inline constexpr std::string_view node_header = "lb-node";
inline constexpr std::string_view time_header = "lb-time-ms";
inline constexpr std::string_view nonce_header = "lb-nonce";
inline constexpr std::string_view mac_header = "lb-mac";
inline constexpr std::string_view error_header = "lb-error";

/// Largest difference between a hello's time and the receiver's clock.
inline constexpr std::chrono::milliseconds hello_time_window{30'000};

/// Creates and verifies hellos with the cluster secret. Remembers accepted nonces for as long as
/// they could be replayed.
class authenticator {
public:
    authenticator(base::node_id self, std::string secret);

    [[nodiscard]] hello make_hello(const base::node_id& receiver, base::wall_time now) const;

    /// Returns ok, or `unauthenticated` with the reason.
    absl::Status check(const hello& received, base::wall_time now);

private:
    [[nodiscard]] std::string mac_of(std::string_view sender, std::string_view receiver,
                                     std::string_view time, std::string_view nonce) const;
    void remove_expired_nonces(base::wall_time now);

    base::node_id m_self;
    std::string m_secret;
    std::unordered_set<std::string> m_seen_nonces;
    std::deque<std::pair<base::wall_time, std::string>> m_expiry;
};

} // namespace lovagebeam::peers
