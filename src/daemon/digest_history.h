#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace lovagebeam::daemon {

/// Digest of the replicated state after the entry at `index` was applied.
struct indexed_digest {
    std::uint64_t index = 0;
    std::uint64_t digest = 0;
};

/// Retains recent state digests at indices that are the same on every replica, so that replicas
/// whose applied indices differ slightly can still be compared.
class digest_history {
public:
    /// Records the digest after the entry at `index`. Only multiples of `index_interval` are
    /// retained.
    void record(std::uint64_t index, std::uint64_t digest)
    {
        if (index % index_interval != 0) {
            return;
        }
        m_digests.push_back({index, digest});
        if (m_digests.size() > max_digests) {
            m_digests.pop_front();
        }
    }

    [[nodiscard]] std::optional<indexed_digest> latest() const
    {
        return m_digests.empty() ? std::nullopt : std::optional{m_digests.back()};
    }

    /// Returns whether a different digest is recorded for the same index.
    [[nodiscard]] bool contradicts(const indexed_digest& other) const
    {
        for (const auto& known : m_digests) {
            if (known.index == other.index) {
                return known.digest != other.digest;
            }
        }
        return false;
    }

private:
    static constexpr std::uint64_t index_interval = 64;
    /// Covers 16 s at 1,000 commands per second, far more than the age of a hello message.
    static constexpr std::size_t max_digests = 256;

    std::deque<indexed_digest> m_digests;
};

} // namespace lovagebeam::daemon
