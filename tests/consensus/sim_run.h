#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace lovagebeam::consensus::test {

struct run_result {
    std::size_t operations = 0;
    /// The violated invariant; empty if there was none.
    std::string violation_text;
};

/// Runs one group with 2.5 s of random faults, then without faults until it serves requests again.
run_result run_seed(std::uint64_t seed);

} // namespace lovagebeam::consensus::test
