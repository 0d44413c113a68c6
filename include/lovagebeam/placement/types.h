#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/placement/reasons.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lovagebeam::placement {

using accelerators = base::strong_number<struct accelerators_tag, std::int64_t>;
using rack_id = base::string_id<struct rack_id_tag>;

/// Identifies one decision that has to be committed. Unique within one scheduler object.
using decision_id = base::strong_number<struct decision_id_tag>;

/// An amount of each kind of capacity. Amounts are never negative in the public interface.
struct resources {
    base::millicores cpu{};
    base::bytes memory{};
    accelerators devices{};

    friend bool operator==(const resources&, const resources&) = default;
    resources& operator+=(const resources& other);
    resources& operator-=(const resources& other);
    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }

    /// Returns whether this amount is at most `other` in every kind.
    [[nodiscard]] bool fits_in(const resources& other) const
    {
        return cpu.value() <= other.cpu.value() && memory.value() <= other.memory.value() &&
               devices.value() <= other.devices.value();
    }
};

/// The policy that places a job.
enum class job_kind { service, batch, gang, urgent };

/// How a task ended, as reported by its worker.
enum class task_outcome {
    completed,
    failed,
    checkpointed, ///< ended after it saved its progress
    stopped,      ///< ended at the request of the scheduler without saving its progress
    refused,      ///< refused by the worker before the start, so it did not run
};

/// The state of a job as a whole.
enum class job_state { waiting, running, completed, failed, cancelled, not_run, unknown, refused };

std::string_view name_of(job_kind kind);
std::string_view name_of(task_outcome outcome);
std::string_view name_of(job_state state);

/// A job as submitted. Sizes and run time are declared by the submitter and may be inaccurate.
struct job_spec {
    base::job_id id;
    base::team_id team;
    /// Name of the command; size corrections are shared by jobs of the same team and command.
    std::string command;
    job_kind kind = job_kind::batch;
    std::uint32_t tasks = 1;
    /// Declared size of each task.
    resources size;
    base::duration run_time{};
    /// Time by which the job is to be complete; nothing for work without a deadline.
    std::optional<base::time_point> deadline;
    /// False for work that may run at most once.
    bool repeatable = true;
    bool can_checkpoint = true;
    bool can_throttle = true;
};

/// Share and upper limit of a team. A limit that is not set is unlimited.
struct team_settings {
    std::int64_t share = 1;
    std::optional<base::millicores> limit_cpu;
    std::optional<base::bytes> limit_memory;
    std::optional<accelerators> limit_devices;
};

/// A task placed on a worker. Every placement of a task has its own `task`, so that late and
/// repeated reports about an earlier placement are recognised.
struct placed_task {
    base::task_id task;
    base::job_id job;
    std::uint32_t index = 0; ///< position within the job, from 0
    base::worker_id worker;
    resources size; ///< booked size, corrected from reports; the worker enforces it
};

/// A worker's report about a task that it holds.
struct task_report {
    base::task_id task;
    /// Size and team, if the worker knows them. A worker gets no new work while it holds an unknown
    /// task whose size is not reported.
    std::optional<resources> size;
    std::optional<base::team_id> team;
};

} // namespace lovagebeam::placement
