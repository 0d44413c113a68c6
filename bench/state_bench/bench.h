#pragma once

#include "lovagebeam/state/cell_state.h"

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagebeam::bench {

struct bench_options {
    std::uint64_t seed = 1;
    std::string folder = "state_bench_data";
    std::uint64_t rounds = 200;
};

/// Measures the mean time to apply each kind of command.
void measure_apply(const bench_options& options);
/// Measures the size of a snapshot, the time to encode and decode it, and the memory of the state,
/// with `jobs` jobs of one task each.
void measure_snapshot(const bench_options& options, std::uint64_t jobs);
/// Measures the time and memory to open a log with `entries` entries of one job each and to apply
/// them.
void measure_recovery(const bench_options& options, std::uint64_t entries);
/// Measures the time to append `batch` entries and sync the log.
void measure_append(const bench_options& options, std::uint64_t batch);

/// Applies commands to a state machine in sequence.
class state_driver {
public:
    explicit state_driver(std::uint64_t seed);

    /// Exits the process if the command is refused.
    void apply(const state::command& command);
    [[nodiscard]] std::string encode(const state::command& command) const;

    /// Returns the command that accepts job `number`. The size of the job depends on the seed.
    [[nodiscard]] state::command make_job(std::uint64_t number) const;

    state::cell_state cell;

private:
    std::uint64_t m_seed;
    std::uint64_t m_index = 0;
};

/// Gives a team a key and adds 200 workers.
void apply_initial_state(state_driver& driver);

/// Prints the error and exits the process if `status` isn't OK.
void exit_on_error(const absl::Status& status);

/// Returns the bytes that the process has allocated and not freed.
std::uint64_t allocated_bytes();

class stopwatch {
public:
    [[nodiscard]] double microseconds() const
    {
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - m_start)
            .count();
    }

private:
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace lovagebeam::bench
