#include "lovagebeam/placement/decisions.h"
#include "lovagebeam/placement/reasons.h"

#include <array>
#include <utility>

namespace lovagebeam::placement {

namespace {

template <class Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

template <class Enum, std::size_t Size>
std::string_view find_name(const name_table<Enum, Size>& table, Enum value)
{
    for (const auto& [entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return "unnamed";
}

constexpr name_table<reason, 50> reason_names{{
    {reason::placed_best_fit, "placed_best_fit"},
    {reason::placed_spread, "placed_spread"},
    {reason::placed_gang, "placed_gang"},
    {reason::placed_backfill, "placed_backfill"},
    {reason::placed_headroom, "placed_headroom"},
    {reason::placed_after_preemption, "placed_after_preemption"},
    {reason::placed_replacement, "placed_replacement"},
    {reason::placed_probe, "placed_probe"},
    {reason::recovered, "recovered"},
    {reason::waiting_for_capacity, "waiting_for_capacity"},
    {reason::waiting_for_share, "waiting_for_share"},
    {reason::waiting_for_team_limit, "waiting_for_team_limit"},
    {reason::waiting_for_gang, "waiting_for_gang"},
    {reason::waiting_for_reservation, "waiting_for_reservation"},
    {reason::waiting_for_preemption, "waiting_for_preemption"},
    {reason::waiting_for_lease, "waiting_for_lease"},
    {reason::waiting_paced_replacement, "waiting_paced_replacement"},
    {reason::waiting_restart_backoff, "waiting_restart_backoff"},
    {reason::waiting_no_such_host_now, "waiting_no_such_host_now"},
    {reason::waiting_fleet_too_small_now, "waiting_fleet_too_small_now"},
    {reason::waiting_above_team_limit_now, "waiting_above_team_limit_now"},
    {reason::waiting_for_commit, "waiting_for_commit"},
    {reason::refused_invalid, "refused_invalid"},
    {reason::refused_no_host_of_shape, "refused_no_host_of_shape"},
    {reason::refused_gang_larger_than_fleet, "refused_gang_larger_than_fleet"},
    {reason::refused_above_team_limit, "refused_above_team_limit"},
    {reason::preempted_for_urgent, "preempted_for_urgent"},
    {reason::preempted_for_share, "preempted_for_share"},
    {reason::preempted_for_gang, "preempted_for_gang"},
    {reason::throttled_for_urgent, "throttled_for_urgent"},
    {reason::stopped_for_urgent, "stopped_for_urgent"},
    {reason::stopped_checkpoint_overdue, "stopped_checkpoint_overdue"},
    {reason::restored_full_speed, "restored_full_speed"},
    {reason::resized_to_reported_use, "resized_to_reported_use"},
    {reason::moved_for_drain, "moved_for_drain"},
    {reason::stopped_replaced, "stopped_replaced"},
    {reason::stopped_unknown_task, "stopped_unknown_task"},
    {reason::stopped_cancelled, "stopped_cancelled"},
    {reason::ended_completed, "ended_completed"},
    {reason::ended_failed, "ended_failed"},
    {reason::ended_fails_everywhere, "ended_fails_everywhere"},
    {reason::ended_cancelled_not_run, "ended_cancelled_not_run"},
    {reason::ended_cancelled, "ended_cancelled"},
    {reason::ended_outcome_unknown, "ended_outcome_unknown"},
    {reason::ended_refused_by_worker, "ended_refused_by_worker"},
    {reason::ended_lost_with_worker, "ended_lost_with_worker"},
    {reason::ended_commit_failed, "ended_commit_failed"},
    {reason::host_quarantined, "host_quarantined"},
    {reason::host_on_probation, "host_on_probation"},
    {reason::host_restored, "host_restored"},
}};

constexpr name_table<job_kind, 4> job_kind_names{{
    {job_kind::service, "service"},
    {job_kind::batch, "batch"},
    {job_kind::gang, "gang"},
    {job_kind::urgent, "urgent"},
}};

constexpr name_table<task_outcome, 5> task_outcome_names{{
    {task_outcome::completed, "completed"},
    {task_outcome::failed, "failed"},
    {task_outcome::checkpointed, "checkpointed"},
    {task_outcome::stopped, "stopped"},
    {task_outcome::refused, "refused"},
}};

constexpr name_table<job_state, 8> job_state_names{{
    {job_state::waiting, "waiting"},
    {job_state::running, "running"},
    {job_state::completed, "completed"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
    {job_state::not_run, "not_run"},
    {job_state::unknown, "unknown"},
    {job_state::refused, "refused"},
}};

constexpr name_table<command_kind, 5> command_kind_names{{
    {command_kind::start, "start"},
    {command_kind::checkpoint, "checkpoint"},
    {command_kind::throttle, "throttle"},
    {command_kind::unthrottle, "unthrottle"},
    {command_kind::stop, "stop"},
}};

} // namespace

std::string_view name_of(reason why)
{
    return find_name(reason_names, why);
}

std::optional<reason> reason_from_name(std::string_view name)
{
    for (const auto& [entry, text] : reason_names) {
        if (text == name) {
            return entry;
        }
    }
    return std::nullopt;
}

std::string_view name_of(job_kind kind)
{
    return find_name(job_kind_names, kind);
}

std::string_view name_of(task_outcome outcome)
{
    return find_name(task_outcome_names, outcome);
}

std::string_view name_of(job_state state)
{
    return find_name(job_state_names, state);
}

std::string_view name_of(command_kind kind)
{
    return find_name(command_kind_names, kind);
}

} // namespace lovagebeam::placement
