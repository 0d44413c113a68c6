#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/targets/http_client.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The worker protocol: messages between the system and workers. Every decoder is strict: a field
/// that is unknown, missing, of the wrong type or out of range gives `invalid_request` with the
/// field's path in the message, for example "tasks[2].state: expected one of running, ...".
namespace lovagebeam::workers {

enum class task_state {
    starting,
    running,
    throttled,
    checkpointed, ///< Ended early with its progress saved.
    succeeded,
    failed,
    stopped,       ///< Ended by a cancel.
    lease_expired, ///< Ended by the worker because its lease ran out.
};

std::string_view name_of(task_state state);

/// Whether a task in this state no longer uses its worker's capacity.
bool is_ended(task_state state);

struct task_report {
    base::task_id task_id;
    task_state state = task_state::running;
    std::string output; ///< UTF-8 text; empty while the task runs.

    friend bool operator==(const task_report&, const task_report&) = default;
};

/// `POST /v1/workers/announce`, from a worker to any entry host.
struct worker_announcement {
    base::worker_id worker_id;
    targets::endpoint where; ///< The JSON fields "address" and "port".
    base::failure_domain failure_domain;
    std::string rack;
    base::millicores millicores;
    base::bytes memory; ///< The JSON field "memory_bytes".
    std::uint32_t accelerators = 0;
    std::vector<task_report> tasks;

    friend bool operator==(const worker_announcement&, const worker_announcement&) = default;
};

/// Renews a task's lease for this time, counted from when the worker sent the announcement.
struct lease_renewal {
    base::task_id task_id;
    std::chrono::milliseconds lease{0}; ///< The JSON field "lease_ms".

    friend bool operator==(const lease_renewal&, const lease_renewal&) = default;
};

/// The answer to an announcement, `{"leases":[...]}`. The leases of other tasks aren't renewed.
struct announcement_answer {
    std::vector<lease_renewal> leases;

    friend bool operator==(const announcement_answer&, const announcement_answer&) = default;
};

struct task_spec {
    std::string name;
    std::string command; ///< The kind of command, as in the job.
    base::millicores millicores;
    base::bytes memory; ///< The JSON field "memory_bytes".
    std::uint32_t accelerators = 0;
    std::chrono::milliseconds run_time{0}; ///< The JSON field "run_time_ms"; 0 for services.

    friend bool operator==(const task_spec&, const task_spec&) = default;
};

/// `POST /lovagebeam/v1/tasks`
struct start_task_request {
    base::task_id task_id;
    base::job_id job_id;
    std::chrono::milliseconds lease{0}; ///< The JSON field "lease_ms".
    std::uint64_t fence = 0;            ///< A worker refuses a task with an older fence.
    task_spec spec;

    friend bool operator==(const start_task_request&, const start_task_request&) = default;
};

std::string encode(const worker_announcement& message);
std::string encode(const announcement_answer& message);
std::string encode(const start_task_request& message);

absl::StatusOr<worker_announcement> decode_worker_announcement(std::string_view json);
absl::StatusOr<announcement_answer> decode_announcement_answer(std::string_view json);
absl::StatusOr<start_task_request> decode_start_task_request(std::string_view json);

} // namespace lovagebeam::workers
