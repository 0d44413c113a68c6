#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovagebeam::routing {

/// Tracks which message numbers of one sender were seen, so that a late duplicate of a message
/// whose record was already removed is not accepted as new. Numbers older than the window count as
/// seen.
class replay_window {
public:
    /// Returns true on the first call with `number` if the window still covers it.
    bool accept(std::uint64_t number)
    {
        if (number > m_highest) {
            advance(number);
        }
        else if (m_highest - number >= size) {
            return false;
        }
        const std::size_t bit = number % size;
        const std::uint64_t mask = std::uint64_t{1} << (bit % 64);
        if ((m_bits[bit / 64] & mask) != 0) {
            return false;
        }
        m_bits[bit / 64] |= mask;
        return true;
    }

private:
    /// Covers 12 s of the expected two-year peak load of one entry host (7,700 starts/s over 12
    /// hosts).
    static constexpr std::uint64_t size = 8192;

    void advance(std::uint64_t number)
    {
        if (number - m_highest >= size) {
            m_bits.assign(size / 64, 0);
        }
        else {
            for (std::uint64_t i = m_highest + 1; i <= number; ++i) {
                m_bits[i % size / 64] &= ~(std::uint64_t{1} << (i % 64));
            }
        }
        m_highest = number;
    }

    std::uint64_t m_highest = 0;
    std::vector<std::uint64_t> m_bits = std::vector<std::uint64_t>(size / 64, 0);
};

} // namespace lovagebeam::routing
