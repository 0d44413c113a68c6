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

/// Cost of apply for each kind of command.
void measure_apply(const bench_options& options);
/// Size and time of a snapshot and memory of a state with `jobs` jobs of one task each.
void measure_snapshot(const bench_options& options, std::uint64_t jobs);
/// Time and memory to open a log with `entries` entries of a job each and to apply them.
void measure_recovery(const bench_options& options, std::uint64_t entries);
/// Cost of an append of `batch` entries with its sync.
void measure_append(const bench_options& options, std::uint64_t batch);

/// Applies commands to a cell one after the other.
class cell_driver {
public:
    explicit cell_driver(std::uint64_t seed);

    /// Ends the process when the command is refused.
    void apply(const state::command& command);
    [[nodiscard]] std::string encode(const state::command& command) const;

    /// The n-th job, whose size depends on the seed.
    [[nodiscard]] state::command job(std::uint64_t number) const;

    state::cell_state cell;

private:
    std::uint64_t m_seed;
    std::uint64_t m_index = 0;
};

/// A cell with one team, 200 workers and 50 targets.
void prepare(cell_driver& driver);

void require(const absl::Status& status);

/// The bytes that the process has allocated and not freed.
std::uint64_t used_bytes();

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
