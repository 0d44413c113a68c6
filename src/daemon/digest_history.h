#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace lovagebeam::daemon {

/// The state's digest after the entry at one index.
struct indexed_digest {
    std::uint64_t index = 0;
    std::uint64_t digest = 0;
};

/// Remembers digests at indices that every replica picks alike, so that replicas that are a little
/// apart can still be compared.
class digest_history {
public:
    /// Notes the digest after the entry at `index`; most indices are left out.
    void record(std::uint64_t index, std::uint64_t digest)
    {
        if (index % interval != 0) {
            return;
        }
        m_known.push_back({index, digest});
        if (m_known.size() > limit) {
            m_known.pop_front();
        }
    }

    [[nodiscard]] std::optional<indexed_digest> latest() const
    {
        return m_known.empty() ? std::nullopt : std::optional{m_known.back()};
    }

    /// Tells whether another digest is known for the same index.
    [[nodiscard]] bool contradicts(const indexed_digest& other) const
    {
        for (const auto& known : m_known) {
            if (known.index == other.index) {
                return known.digest != other.digest;
            }
        }
        return false;
    }

private:
    static constexpr std::uint64_t interval = 64;
    /// At 1,000 commands a second these cover 16 s, far more than a hello is old.
    static constexpr std::size_t limit = 256;

    std::deque<indexed_digest> m_known;
};

} // namespace lovagebeam::daemon
