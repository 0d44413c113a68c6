#pragma once

#include "lovagebeam/base/clock.h"
#include "lovagebeam/scheduling/run_id.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <utility>

namespace lovagebeam::scheduling {

struct progress_settings {
    /// A run without progress for this time is stalled. Longer for a run whose percentage advances
    /// seldom.
    std::chrono::milliseconds stall_timeout{3'500};
    /// A member of a gang that waits for the others to start doesn't count as stalled for this
    /// time. Its worker ends the wait after 4 s; reports may be a second apart.
    std::chrono::milliseconds gang_start_time{5'000};
    /// The timeout is at least this multiple of the time that one percent takes.
    double percent_times = 3;
    /// Bound on the speed of a worker, relative to the one for which the duration is expected.
    /// Three percents at this speed take as long as one of a task that is seven times as long as
    /// expected on a worker of speed 0.6, the slowest one of an uneven pool.
    double slowest_speed = 0.25;
};

enum class progress_verdict {
    fine,
    stalled,      ///< the run has made no progress, so its worker may be at fault
    gang_stalled, ///< no member of the run's gang has made progress; the cause is unknown
};

/// One report of a worker about one of its runs.
struct progress_report {
    run_id run;
    std::uint32_t percent = 0;    ///< a value above 100 is ignored
    std::uint32_t gang_size = 1;  ///< number of runs that work together; 1 for a single run
    base::duration expected_time; ///< of the whole run on a worker of speed 1
};

/// Decides which runs are stalled, from the percentages that the workers report.
///
/// The members of a gang wait at 0% until all of them have started, and at 100% until all of them
/// are done, so neither counts against the worker of a member. A member between that makes no
/// progress is stalled even if others progress.
///
/// A new leader starts without history, so it judges a run after one whole timeout. It knows at
/// once that a gang has started if one of its members is above 0%.
///
/// No I/O and no clock. Not thread-safe.
class progress_monitor {
public:
    explicit progress_monitor(progress_settings settings);

    /// Records a report and judges the run. After a verdict other than `fine`, the run gets a whole
    /// timeout before the next one.
    progress_verdict observe(base::time_point now, const progress_report& report);
    /// The run has ended or is no longer wanted.
    void forget(const run_id& run);

    /// How long a run may make no progress. `percent_time` is what its last percent took.
    [[nodiscard]] base::duration timeout(base::duration expected_time,
                                         base::duration percent_time) const;
    /// Number of runs with history.
    [[nodiscard]] std::size_t run_count() const;

private:
    struct run_progress {
        std::uint32_t percent = 0; ///< the highest one
        base::time_point changed_at;
        base::time_point reported_at;
        base::duration percent_time{}; ///< what the last percent took
    };
    /// One attempt of a step, which all members of a gang share.
    using group_key = std::pair<step_id, std::uint64_t>;
    struct group {
        std::map<std::uint32_t, run_progress> runs; ///< by index
        base::time_point seen_at;                   ///< when a member was first reported
        bool has_started = false;                   ///< all members have started, or should have
        base::time_point started_at;
    };

    static group_key key_of(const run_id& run);
    run_progress& record(base::time_point now, const progress_report& report, group& of) const;
    /// Whether no member has made progress for `timeout`. A member that isn't reported about any
    /// more, because its worker is cut off, may make progress.
    static bool is_without_progress(const group& members, base::duration timeout);

    progress_settings m_settings;
    std::map<group_key, group> m_groups;
};

} // namespace lovagebeam::scheduling
