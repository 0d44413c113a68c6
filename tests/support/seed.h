#pragma once

#include <cstdint>

namespace lovagebeam::test {

/// Seeds of the randomised tests, set by `--seed` and `--runs`.
struct seed_options {
    std::uint64_t first = 1;
    std::uint64_t runs = 0;

    /// Returns the number of seeds to run, given the number that the test runs by default.
    [[nodiscard]] std::uint64_t runs_or(std::uint64_t default_runs) const
    {
        return runs == 0 ? default_runs : runs;
    }
};

/// Returns the seed options of this process.
seed_options& seeds();

} // namespace lovagebeam::test
