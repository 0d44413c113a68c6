#pragma once

#include <optional>
#include <string_view>

namespace lovagebeam::placement {

/// Reason for the state of a job, task or host. The names are part of the operators' interface and
/// must not change once released.
enum class reason {
    // Placements.
    placed_best_fit,
    placed_spread,
    placed_gang,
    placed_backfill,
    placed_headroom,
    placed_after_preemption,
    placed_replacement,
    placed_probe,
    recovered,
    // Waits.
    waiting_for_capacity,
    waiting_for_share,
    waiting_for_team_limit,
    waiting_for_gang,
    waiting_for_reservation,
    waiting_for_preemption,
    waiting_for_lease,
    waiting_paced_replacement,
    waiting_restart_backoff,
    waiting_no_such_host_now,
    waiting_fleet_too_small_now,
    waiting_above_team_limit_now,
    waiting_for_commit,
    // Refusals at submission.
    refused_invalid,
    refused_no_host_of_shape,
    refused_gang_larger_than_fleet,
    refused_above_team_limit,
    // Preemptions and moves.
    preempted_for_urgent,
    preempted_for_share,
    preempted_for_gang,
    throttled_for_urgent,
    stopped_for_urgent,
    stopped_checkpoint_overdue,
    restored_full_speed,
    resized_to_reported_use,
    moved_for_drain,
    stopped_replaced,
    stopped_unknown_task,
    stopped_cancelled,
    // Ends.
    ended_completed,
    ended_failed,
    ended_fails_everywhere,
    ended_cancelled_not_run,
    ended_cancelled,
    ended_outcome_unknown,
    ended_refused_by_worker,
    ended_lost_with_worker,
    ended_commit_failed,
    // Hosts.
    host_quarantined,
    host_on_probation,
    host_restored,
};

/// Returns the stable name of `why`, for example "waiting_for_team_limit".
std::string_view name_of(reason why);

/// Returns the reason with the name `name`, or nothing if there is none.
std::optional<reason> reason_from_name(std::string_view name);

} // namespace lovagebeam::placement
