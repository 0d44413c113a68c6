#pragma once

#include <cstdint>

namespace lovagebeam::bench {

/// Measures what decisions cost at several sizes of the fleet and prints a line for each.
void run_cost(std::uint64_t seed);

} // namespace lovagebeam::bench
