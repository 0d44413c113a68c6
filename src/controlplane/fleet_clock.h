#pragma once

#include "lovagebeam/base/types.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace lovagebeam::controlplane {

/// Time of day as most hosts see it. The clock of a host may jump by seconds and back again, also
/// that of the leader, so decisions use the median of the clocks that the hosts reported. No I/O
/// and no clock. Not thread-safe.
class fleet_clock {
public:
    /// Records that the clock of `host` showed `wall` at `now`. The time that the report was in
    /// transit is neglected.
    void on_reading(base::time_point now, const std::string& host, base::wall_time wall);

    /// The time of day at `now`, when the clock of this host shows `own`. Returns `own` while fewer
    /// than two other hosts have reported lately.
    [[nodiscard]] base::wall_time wall(base::time_point now, base::wall_time own);

private:
    struct reading {
        base::duration offset{}; ///< of the time of day from `now`
        base::time_point read_at;
    };

    void update(base::time_point now, base::wall_time own);

    std::unordered_map<std::string, reading> m_readings; ///< by host
    std::optional<base::duration> m_median;              ///< nothing with too few readings
    base::time_point m_next_update;
};

} // namespace lovagebeam::controlplane
