#pragma once

#include "lovagebeam/base/types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lovagebeam::daemon {

/// One placement of a task: the job, the index of the task in it, and the fencing token.
struct placement_ref {
    base::job_id job;
    std::uint32_t index = 0;
    std::uint64_t fence = 0;

    friend bool operator==(const placement_ref&, const placement_ref&) = default;
};

/// Returns the id of the task in the replicated state: "<job>/<index>".
base::task_id state_task_id(const placement_ref& ref);

/// Returns the id that the scheduler and the workers use: "<job>.<index>.<term>.<number>". The
/// fence is term * 2^32 + number, so that a later leader's fences are higher.
base::task_id worker_task_id(const placement_ref& ref);

/// Parses an id made by `worker_task_id`; returns nothing for an id of another form.
std::optional<placement_ref> parse_worker_task_id(const base::task_id& id);

} // namespace lovagebeam::daemon
