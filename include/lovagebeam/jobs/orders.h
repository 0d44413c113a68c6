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

/// Grows with each leader. Workers do nothing for an order with a lower one than they have seen.
using fencing_token = base::strong_number<struct fencing_token_tag>;

/// Where an order goes: one life of one worker.
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

/// Extends the lease of everything on a worker and asks for what runs and what ended.
struct hold_order {
    worker_address to;
    std::optional<worker_time> deadline; ///< none while the worker's clock isn't known
    std::uint64_t cursor = 0;            ///< ends up to this number may be forgotten
    milliseconds wait{};                 ///< how long the worker may wait for an end
    bool is_check = false;               ///< sent beside a hold that is under way
    fencing_token token;
};

/// Lets a running task work at a part of its speed.
struct pace_order {
    worker_address to;
    run_key run;
    std::uint32_t percent = 100;
    fencing_token token;
};

/// Asks the advice service which of `workers` may run a step, through the host `agent`.
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
    superseded, ///< a run that isn't lower was stopped or ended there
    refused,    ///< any other answer that says that nothing was done, or no connection
    gone,       ///< another life of the worker answered
    unknown,    ///< no answer: the start may be carried out, now or later
};

std::string_view name_of(start_outcome outcome);

/// One row of what a worker runs.
struct running_row {
    run_key run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::optional<std::int64_t> figure; ///< tail in ms of a serving task, millicores of another
};

/// One row of what ended on a worker.
struct finished_row {
    std::uint64_t number = 0; ///< counts from 1 in each life of the worker
    run_key run;
    end_kind how = end_kind::failed;
    std::string checkpoint;
};

struct hold_answer {
    worker_time clock{};
    base::wall_time started_at;
    std::vector<running_row> running;
    std::vector<finished_row> finished;
};

enum class hold_outcome {
    answered,
    fenced,  ///< the worker has seen a higher fencing token
    gone,    ///< another life of the worker answered
    refused, ///< nothing listens at the worker's address
    unknown, ///< no answer or an unreadable one
};

std::string_view name_of(hold_outcome outcome);

/// What advice said of one worker.
struct advice_row {
    base::worker_id worker;
    std::string ticket;
};

/// A line for the log: one decision with the inputs behind it.
struct decision_log_entry {
    std::string_view event;
    std::optional<job_number> job;
    std::string detail; ///< key=value pairs, separated by spaces
};

} // namespace lovagebeam::jobs
