#pragma once

#include "lovagebeam/jobs/advice_scheduler.h"
#include "lovagebeam/jobs/model.h"
#include "lovagebeam/jobs/preemption_policy.h"
#include "lovagebeam/jobs/worker_table.h"
#include "lovagebeam/scheduling/overload_gate.h"
#include "lovagebeam/scheduling/worker_speeds.h"

#include <chrono>
#include <cstdint>

namespace lovagebeam::jobs {

struct planner_settings {
    /// Fraction of a pool's processors that is reserved for queues of priority 0.
    double urgent_headroom = 0.05;
    /// How long capacity for a step is reserved while its tickets are renewed.
    milliseconds reservation{1'500};
    /// Pause after the second start of a step that never began; doubled with each further one. The
    /// first one is repeated at once, since it may have been lost.
    milliseconds retry_first{100};
    milliseconds retry_max{1'600};
    /// A job older than this multiple of its objective is expired: it is planned after those that
    /// can still be in time.
    double expiry_objectives = 3;
    /// After this many steps of one priority that could not be placed, a planning pass continues
    /// with the next priority, so that its cost doesn't grow with the backlog. The next passes go
    /// on with the steps that were left out. The number is divided among the accounts that have
    /// steps of the priority.
    std::uint32_t max_unplaceable_per_priority = 32;
    /// After this many steps of one priority that wait for the limit of their account, a planning
    /// pass passes over the account's other steps of the priority. They don't count as steps that
    /// could not be placed, since the capacity is there for other accounts.
    std::uint32_t max_at_limit_per_account = 32;
    /// So many further steps of an account and a priority are left out by their size in one pass:
    /// a task is larger than what the account's limit leaves, or than what is free on any worker.
    std::uint32_t max_too_large_per_account = 512;
    /// While a pool has at most this fraction free of some resource, and a step couldn't be placed
    /// within `shortage_memory`, the fleet is full: accounts are planned by their shares. The rest
    /// is headroom and what wide tasks leave unused of their workers.
    double full_pool_free = 0.25;
    /// Longer than all pauses in which a step that doesn't fit isn't looked at.
    milliseconds shortage_memory{500};
    /// How often advice on further workers is requested for a step that fits on no allowed worker.
    milliseconds advice_query_interval{200};
    /// The same for an urgent step that earlier passes have left out, when no runs can be stopped
    /// for it on the workers that it knows.
    milliseconds resumed_query_interval{2'000};
    /// Minimum interval between planning passes, so that the events in between share one pass.
    milliseconds plan_interval{4};
    /// Passes cost more with a backlog, so each ready step adds this to the interval, up to
    /// `plan_interval_max`.
    std::chrono::microseconds plan_interval_per_step{60};
    milliseconds plan_interval_max{40};
    /// Largest part of the time that planning may take, so that a leader with a backlog still
    /// answers calls and keeps up with its workers.
    double max_planning_fraction = 0.2;
    /// A step of priority 1 or lower of which no task could be placed isn't planned again before
    /// this time has passed or advice on it has come, unless it is the restart of a long-running
    /// task.
    milliseconds look_interval{40};
    /// How often the speeds of workers are derived from their runs.
    milliseconds speed_interval{500};
    /// How long ended jobs are retained.
    milliseconds retention{150'000};
    milliseconds forget_interval{5'000};
    /// A worker that runs a task which was under several crashes gets no other tasks for this time,
    /// or for twice as long as the task had run when it crashed, so that a further crash tells its
    /// cause.
    milliseconds min_isolation{500};
    milliseconds max_isolation{10'000};
    /// A task waits this long at most for a worker that it needn't share with other suspects.
    milliseconds isolation_wait{1'500};
    /// Tasks that may crash their worker are kept off workers that were started less than this
    /// long ago: the worker itself may be the one that crashes again.
    milliseconds fresh_worker{10'000};
    /// How long the first confirmed start of a job may wait for a batch to be committed with. The
    /// published count of pending jobs may be 2 s old.
    milliseconds begin_commit_delay{200};
    /// Largest fraction of the workers that are kept from work of lower priority because a gang
    /// waits for room there.
    double max_held_fraction = 0.25;
    /// A scheduled occurrence is not started before its time plus this margin for clock error.
    milliseconds due_margin{20};
};

struct coordinator_settings {
    worker_settings workers;
    advice_settings advice;
    planner_settings planner;
    preemption_policy preemption;
    scheduling::speed_settings speeds;
    scheduling::overload_settings overload;
};

} // namespace lovagebeam::jobs
