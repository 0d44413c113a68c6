#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/telemetry/log.h"

#include <cstddef>

namespace lovagebeam::telemetry {

/// Most that one process logs. A part is kept for warnings and errors, which the routine lines
/// of a busy second can't use up.
struct log_limits {
    double lines_per_second = 4'000;
    double bytes_per_second = 1'000'000;
    /// Part of both that only warnings and errors take.
    double reserved_fraction = 0.25;
};

/// Decides which lines are written. No I/O and no clock. Not thread-safe.
class log_budget {
public:
    explicit log_budget(const log_limits& limits);

    /// Whether a line of `bytes` may be written at `now`.
    bool admit(base::time_point now, severity level, std::size_t bytes);

private:
    struct bucket {
        double lines = 0;
        double bytes = 0;
    };

    void refill(base::time_point now);

    log_limits m_limits;
    bucket m_routine;
    bucket m_important;
    base::time_point m_filled;
    bool m_is_started = false;
};

} // namespace lovagebeam::telemetry
