#pragma once

#include <cstdint>
#include <random>

namespace lovagebeam::base {

/// A seeded generator. The same seed gives the same numbers on every machine, which is why the
/// distributions of the standard library, which differ between implementations, aren't used.
/// Not thread-safe.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : m_engine{seed} {}

    /// Returns a number in [0, bound). `bound` must be positive.
    std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }

    /// Returns a number in [low, high], both included.
    std::uint64_t between(std::uint64_t low, std::uint64_t high)
    {
        return low + below(high - low + 1);
    }

    /// Returns a number in [0, 1).
    double unit() { return static_cast<double>(m_engine() >> 11U) * 0x1.0p-53; }

    /// Returns true with the given probability.
    bool chance(double probability) { return unit() < probability; }

    /// Returns 64 random bits.
    std::uint64_t next() { return m_engine(); }

private:
    std::mt19937_64 m_engine;
};

} // namespace lovagebeam::base
