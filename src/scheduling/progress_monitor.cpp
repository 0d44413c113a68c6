#include "lovagebeam/scheduling/progress_monitor.h"

#include <algorithm>

namespace lovagebeam::scheduling {
namespace {

constexpr std::uint32_t whole = 100;
/// Longer expected times are cut to this, so that the timeout stays in the range of its type.
constexpr base::duration longest_expected_time = std::chrono::hours{24 * 30};

} // namespace

progress_monitor::progress_monitor(progress_settings settings) : m_settings{settings} {}

progress_monitor::group_key progress_monitor::key_of(const run_id& run)
{
    return {run.step, run.attempt};
}

base::duration progress_monitor::timeout(base::duration expected_time,
                                         base::duration percent_time) const
{
    const auto expected =
        std::clamp(expected_time, base::duration{0}, longest_expected_time) / whole;
    const auto slowest = std::chrono::duration<double, std::nano>{expected} /
                         m_settings.slowest_speed * m_settings.percent_times;
    const auto observed =
        std::chrono::duration<double, std::nano>{std::min(percent_time, longest_expected_time)} *
        m_settings.percent_times;
    return std::max<base::duration>(
        m_settings.stall_timeout,
        std::chrono::duration_cast<base::duration>(std::max(slowest, observed)));
}

progress_monitor::run_progress&
progress_monitor::record(base::time_point now, const progress_report& report, group& of) const
{
    const bool is_valid = report.percent <= whole;
    const auto [found, is_new] = of.runs.try_emplace(
        report.run.index, run_progress{is_valid ? report.percent : 0, now, now, {}});
    auto& run = found->second;
    run.reported_at = now;
    if (!is_new && is_valid && report.percent > run.percent) {
        run.percent_time =
            (now - std::max(run.changed_at, of.started_at)) / (report.percent - run.percent);
        run.percent = report.percent;
        run.changed_at = now;
    }
    return run;
}

bool progress_monitor::is_without_progress(const group& members, base::duration timeout)
{
    return std::ranges::all_of(members.runs, [&](const auto& member) {
        const auto& run = member.second;
        return run.reported_at - std::max(run.changed_at, members.started_at) >= timeout;
    });
}

progress_verdict progress_monitor::observe(base::time_point now, const progress_report& report)
{
    auto& members =
        m_groups.try_emplace(key_of(report.run), group{{}, now, false, {}}).first->second;
    auto& run = record(now, report, members);
    const bool is_gang = report.gang_size > 1;
    if (is_gang && !members.has_started &&
        (run.percent > 0 || members.runs.size() >= report.gang_size ||
         now - members.seen_at >= m_settings.gang_start_time)) {
        members.has_started = true;
        members.started_at = now;
    }
    const auto limit = timeout(report.expected_time, run.percent_time);
    if (is_gang && !members.has_started) {
        return progress_verdict::fine;
    }
    if (now - std::max(run.changed_at, members.started_at) < limit) {
        return progress_verdict::fine;
    }
    if (is_gang && run.percent == whole) {
        if (!is_without_progress(members, limit)) {
            return progress_verdict::fine;
        }
        run.changed_at = now;
        return progress_verdict::gang_stalled;
    }
    run.changed_at = now;
    return progress_verdict::stalled;
}

void progress_monitor::forget(const run_id& run)
{
    const auto found = m_groups.find(key_of(run));
    if (found == m_groups.end()) {
        return;
    }
    found->second.runs.erase(run.index);
    if (found->second.runs.empty()) {
        m_groups.erase(found);
    }
}

std::size_t progress_monitor::run_count() const
{
    std::size_t count = 0;
    for (const auto& [key, each] : m_groups) {
        count += each.runs.size();
    }
    return count;
}

} // namespace lovagebeam::scheduling
