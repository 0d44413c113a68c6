#pragma once

#include "lovagebeam/base/types.h"

#include <cstdint>

namespace lovagebeam::routing {

/// Outlier detection for one target: ejection after failures, then probation with one attempt at a
/// time.
class target_health {
public:
    /// Records the result of an attempt. `can_eject` is false if too many targets are ejected.
    void record(bool is_success, base::time_point now, bool can_eject);

    [[nodiscard]] bool is_ejected(base::time_point now) const { return now < m_ejected_until; }

    /// Whether only one attempt at a time may be sent: after an ejection, until an attempt
    /// succeeds.
    [[nodiscard]] bool is_on_probation(base::time_point now) const
    {
        return m_is_on_probation && !is_ejected(now);
    }

    /// Number of consecutive failures; a home prefers targets with fewer.
    [[nodiscard]] std::uint32_t consecutive_failures() const { return m_consecutive; }

private:
    [[nodiscard]] bool is_outlier() const;
    void eject(base::time_point now);

    std::uint32_t m_consecutive = 0;
    std::uint32_t m_recent = 0; ///< One bit for each of the last 20 attempts; 1 is a failure.
    std::uint32_t m_recent_count = 0;
    std::uint32_t m_ejections = 0; ///< Consecutive ejections; determines the length of the next.
    bool m_is_on_probation = false;
    base::time_point m_ejected_until;
};

} // namespace lovagebeam::routing
