#pragma once

#include "lovagebeam/jobs/model.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::jobs {

/// Milliseconds on the clock of one worker, which counts from the worker's start.
using worker_time = std::chrono::duration<std::int64_t, std::milli>;

/// Grows with each leader and with each instance of a worker that a leader sees. Workers refuse
/// orders with a lower token than they have seen. A worker that starts again has seen none, so the
/// leader's first call to the new instance makes it refuse what was sent to earlier ones.
using fencing_token = base::strong_number<struct fencing_token_tag>;

/// Destination of an order: one instance of a worker, told apart by its start time.
struct worker_address {
    base::worker_id worker;
    base::wall_time started_at;
    std::string address;
    std::uint16_t port = 0;
};

/// Starts one run. Sent at most once for each run.
struct start_order {
    worker_address to;
    run_key run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    worker_time deadline{}; ///< the worker refuses the start after this time
    fencing_token token;
};

/// Stops one run. Repeated until the worker no longer lists the run.
struct stop_order {
    worker_address to;
    run_key run;
    fencing_token token;
};

/// Extends the lease of all runs on a worker and requests the lists of running and ended runs.
struct hold_order {
    worker_address to;
    std::optional<worker_time> deadline; ///< none while the worker's clock isn't known
    std::uint64_t cursor = 0;            ///< ends up to this number may be forgotten
    milliseconds wait{};                 ///< how long the worker may wait for an end
    bool is_check = false;               ///< sent while another hold is open
    /// Must not queue behind orders that were sent to an earlier instance of the worker.
    bool is_direct = false;
    fencing_token token;
};

/// Sets the speed of a running task, in percent of its full speed.
struct pace_order {
    worker_address to;
    run_key run;
    std::uint32_t percent = 100;
    fencing_token token;
};

/// Requests from the advice service, through the host `agent`, which of `workers` may run a step.
struct advice_order {
    std::uint64_t id = 0;
    base::node_id agent;
    step_key step;
    std::vector<base::worker_id> workers;
    milliseconds expected{};
};

enum class start_outcome {
    started,
    no_room,
    too_late,
    no_ticket,
    fenced,
    superseded, ///< the same or a later attempt was stopped or ended there
    refused,    ///< any other answer that means that nothing was done, or no connection
    gone,       ///< another instance of the worker answered
    unknown,    ///< no answer: the start may be carried out, now or later
};

std::string_view name_of(start_outcome outcome);

/// One run in a worker's list of running tasks.
struct running_row {
    run_key run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::optional<std::int64_t> figure; ///< tail latency in ms of a serving task, else millicores
};

/// One run in a worker's list of ended tasks.
struct finished_row {
    std::uint64_t number = 0; ///< counts from 1 in each instance of the worker
    run_key run;
    end_kind how = end_kind::failed;
    std::string checkpoint;
};

struct hold_answer {
    worker_time clock{};
    base::wall_time started_at;
    std::vector<running_row> running;
    std::vector<finished_row> finished; ///< the ends after the cursor, lowest numbers first
    /// Whether the worker may have further ends, which it lists once the cursor has passed these. A
    /// run that is in neither list may then have ended in any way.
    bool may_lack_ends = false;
};

enum class hold_outcome {
    answered,
    fenced,  ///< the worker has seen a higher fencing token
    gone,    ///< another instance of the worker answered
    refused, ///< nothing listens at the worker's address
    unknown, ///< no answer or an unreadable one
    closed,  ///< the worker closed the connection without an answer
};

std::string_view name_of(hold_outcome outcome);

/// A worker that the advice service allowed, with the ticket for it.
struct advice_row {
    base::worker_id worker;
    std::string ticket;
};

/// A log entry about one decision and its inputs.
struct decision_log_entry {
    std::string_view event;
    std::optional<job_number> job;
    std::string detail; ///< key=value pairs, separated by spaces
};

} // namespace lovagebeam::jobs
