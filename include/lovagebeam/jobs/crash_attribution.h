#pragma once

#include "lovagebeam/jobs/model.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace lovagebeam::jobs {

struct crash_settings {
    /// A run that went on for longer than this before its worker's process ended isn't suspected.
    /// Keeps long-running tasks from collecting the ordinary crashes of their workers.
    milliseconds max_suspected_run{30'000};
    /// A task that crashes its workers within this time of each start is recognized by two crashes,
    /// since other crashes seldom come twice so soon after a start. Any other one needs three.
    milliseconds prompt_crash{100};
    /// From this number of crashes on, a task's worker is isolated, and the loss of the worker's
    /// contact counts as a crash.
    std::uint32_t suspicious_crashes = 2;
};

/// The crashes of workers under a task.
struct crash_history {
    std::uint32_t count = 0;
    std::uint32_t confirmed = 0; ///< those in which the worker surely had begun the run
    /// Time from the start of the last of these runs to the crash, if known.
    std::optional<milliseconds> last_ran;

    friend bool operator==(const crash_history&, const crash_history&) = default;
};

/// Whether a task is given up even if other tasks might have caused the crashes: after five, or, if
/// one of them is confirmed, after four, or after three and so many failed runs that they make
/// five. Bounds the starts of a task whose starts are hardly ever confirmed, and of one that
/// crashes some workers and fails on others.
bool is_over_limit(const crash_history& crashes, std::uint32_t failures);

/// A run that ended with its worker's process.
struct crashed_run {
    run_key run;
    crash_history earlier;      ///< of its task, before this crash
    std::uint32_t failures = 0; ///< of its task
    std::optional<milliseconds> ran;
    bool is_gang_member = false;
    bool has_begun = true; ///< the worker confirmed it; otherwise the start may have been lost
    bool is_long_running = false; ///< its task is started again however its runs end
};

enum class crash_verdict : std::uint8_t {
    unrelated, ///< the run had gone on for too long to be suspected
    possible,  ///< the run may have caused the crash if it had begun
    suspected, ///< one of several runs that may have caused the crash
    caused,    ///< the task is given up
};

std::string_view name_of(crash_verdict verdict);

/// Judges the runs that ended with one process of a worker, in the order of `runs`.
///
/// A crash doesn't tell which run caused it. The task that had been under most crashes before is
/// blamed if no other run was started after its own. Suspected tasks are placed apart from each
/// other, so a sound one seldom meets both conditions again and again. The members of a gang are
/// blamed together, as they succeed or fail together. A long-running task is never given up.
std::vector<crash_verdict> judge_crash(const crash_settings& settings,
                                       const std::vector<crashed_run>& runs);

} // namespace lovagebeam::jobs
