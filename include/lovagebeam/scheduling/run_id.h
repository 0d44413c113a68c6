#pragma once

#include <compare>
#include <cstdint>

namespace lovagebeam::scheduling {

/// One step of one occurrence of a job.
struct step_id {
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_id&, const step_id&) = default;
};

/// One start of a task. The members of a gang have the same step and attempt.
struct run_id {
    step_id step;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0; ///< of the task in its step

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

} // namespace lovagebeam::scheduling
