#include "lovagebeam/jobs/crash_attribution.h"

#include "name_table.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lovagebeam::jobs {
namespace {

constexpr std::uint32_t few_crashes = 2;
constexpr std::uint32_t many_crashes = 3;
/// Limits of `is_over_limit`.
constexpr std::uint32_t max_crashes = 4;
constexpr std::uint32_t max_bad_ends = 5;

constexpr std::array crash_verdicts{
    named<crash_verdict>{crash_verdict::unrelated, "unrelated"},
    named<crash_verdict>{crash_verdict::possible, "possible"},
    named<crash_verdict>{crash_verdict::suspected, "suspected"},
    named<crash_verdict>{crash_verdict::caused, "caused"},
};

/// Orders tasks by suspicion: those under more crashes come last, and among those with equally many
/// the ones that crashed sooner after their start.
std::pair<std::uint32_t, milliseconds> suspicion(const crash_history& earlier)
{
    return {earlier.count, -earlier.last_ran.value_or(milliseconds::max())};
}

/// Whether both runs belong to one gang, so that it doesn't matter which of them is blamed.
bool is_same_gang(const crashed_run& left, const crashed_run& right)
{
    return left.is_gang_member && step_of(left.run.task) == step_of(right.run.task);
}

bool is_most_suspected(const crashed_run& run, const std::vector<crashed_run>& runs)
{
    return std::ranges::all_of(runs, [&](const crashed_run& other) {
        return &other == &run || is_same_gang(run, other) ||
               suspicion(other.earlier) < suspicion(run.earlier);
    });
}

bool is_last_started(const crashed_run& run, const std::vector<crashed_run>& runs)
{
    return run.ran && std::ranges::all_of(runs, [&](const crashed_run& other) {
               return is_same_gang(run, other) || !other.ran || *run.ran <= *other.ran;
           });
}

/// The number of confirmed crashes, with this one, that are enough to blame a run.
std::uint32_t needed_crashes(const crash_settings& settings, const crashed_run& run)
{
    const auto never = milliseconds::max();
    const bool is_prompt = std::max(run.ran.value_or(never),
                                    run.earlier.last_ran.value_or(never)) <= settings.prompt_crash;
    return is_prompt ? few_crashes : many_crashes;
}

bool is_blamed(const crash_settings& settings, const crashed_run& run,
               const std::vector<crashed_run>& runs)
{
    return run.has_begun && run.earlier.confirmed + 1 >= needed_crashes(settings, run) &&
           is_most_suspected(run, runs) && is_last_started(run, runs);
}

crash_verdict judge(const crash_settings& settings, const crashed_run& run,
                    const std::vector<crashed_run>& runs)
{
    if (run.ran && *run.ran > settings.max_suspected_run) {
        return crash_verdict::unrelated;
    }
    auto crashes = run.earlier;
    ++crashes.count;
    crashes.confirmed += run.has_begun ? 1 : 0;
    if (!run.is_long_running &&
        (is_over_limit(crashes, run.failures) || is_blamed(settings, run, runs))) {
        return crash_verdict::caused;
    }
    return run.has_begun ? crash_verdict::suspected : crash_verdict::possible;
}

} // namespace

bool is_over_limit(const crash_history& crashes, std::uint32_t failures)
{
    if (crashes.confirmed == 0) {
        return crashes.count >= max_bad_ends;
    }
    return crashes.count >= max_crashes ||
           (crashes.count >= many_crashes && crashes.count + failures >= max_bad_ends);
}

std::string_view name_of(crash_verdict verdict)
{
    return name_in(crash_verdicts, verdict);
}

std::vector<crash_verdict> judge_crash(const crash_settings& settings,
                                       const std::vector<crashed_run>& runs)
{
    std::vector<crash_verdict> out;
    out.reserve(runs.size());
    for (const auto& run : runs) {
        out.push_back(judge(settings, run, runs));
    }
    return out;
}

} // namespace lovagebeam::jobs
