#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace lovagebeam::consensus::test {

struct run_result {
    std::size_t operations = 0;
    /// What didn't hold; empty if all did.
    std::string violated;
};

/// Runs one group through 2.5 s of random faults, then without faults until it answers again.
run_result run_seed(std::uint64_t seed);

} // namespace lovagebeam::consensus::test
