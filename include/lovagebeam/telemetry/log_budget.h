#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/telemetry/log.h"

#include <cstddef>

namespace lovagebeam::telemetry {

/// Rate limits for the log of one process. A fraction is reserved for warnings and errors, so that
/// routine lines under load can't use it up.
struct log_limits {
    double lines_per_second = 4'000;
    double bytes_per_second = 1'000'000;
    /// Fraction of both limits that is reserved for warnings and errors.
    double reserved_fraction = 0.25;
};

/// Token bucket that decides which lines are written. Does no I/O and reads no clock. Not
/// thread-safe.
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
    bucket m_reserved;
    base::time_point m_last_refill;
    bool m_is_started = false;
};

} // namespace lovagebeam::telemetry
