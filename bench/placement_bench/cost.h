#pragma once

#include <cstdint>

namespace lovagebeam::bench {

/// Measures the processor time and memory of the scheduler for several fleet sizes and prints a
/// line for each.
void measure_scheduler_cost(std::uint64_t seed);

} // namespace lovagebeam::bench
