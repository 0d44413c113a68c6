#pragma once

#include "lovagebeam/base/types.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::jobs {

using std::chrono::milliseconds;

/// Identifies a job. Chosen by the caller, which makes a resent submission idempotent.
using job_number = base::strong_number<struct job_number_tag>;

/// Returns the id in the format that callers use: 16 hexadecimal digits.
std::string format_job_id(job_number id);

/// An amount of each resource.
struct size {
    std::int64_t millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    size& operator+=(const size& other);
    size& operator-=(const size& other);
    friend size operator+(size left, const size& right) { return left += right; }
    friend size operator-(size left, const size& right) { return left -= right; }
    friend bool operator==(const size&, const size&) = default;

    /// Whether no resource exceeds that of `limit`.
    [[nodiscard]] bool fits_in(const size& limit) const;
};

/// The larger amount of each resource.
inline size larger_of_each(const size& left, const size& right)
{
    return {std::max(left.millicores, right.millicores), std::max(left.memory_mb, right.memory_mb),
            std::max(left.accelerators, right.accelerators)};
}

/// At least as much of each resource as any other size.
inline constexpr size unlimited_size{std::numeric_limits<std::int64_t>::max(),
                                     std::numeric_limits<std::int64_t>::max(),
                                     std::numeric_limits<std::int64_t>::max()};

/// A step of a job: a number of tasks with the same requirements.
struct step_spec {
    std::uint32_t tasks = 1;
    jobs::size size; ///< of each task
    milliseconds estimate{};
    std::vector<std::uint32_t> depends_on; ///< earlier steps whose tasks must all be done
    bool checkpoints = false;
    bool gang = false; ///< all tasks run together or not at all
    bool rack_sensitive = false;
    std::string required_label;
    std::string preferred_rack;
    std::uint32_t max_per_worker = 0; ///< 0 means no limit
    bool speculative = false;
    bool long_running = false;
    bool fills = false; ///< uses processors that other tasks leave unused; they aren't booked
    std::string image;
    milliseconds tail_target{};
    std::uint32_t max_unavailable = 0;

    friend bool operator==(const step_spec&, const step_spec&) = default;
};

/// Settings of a queue for which an advice service decides which workers may run a step.
struct advice_policy {
    milliseconds decision{};                ///< fixed part of the duration of a call
    std::chrono::microseconds per_worker{}; ///< added for each worker that the call names
    milliseconds ticket_validity{};

    friend bool operator==(const advice_policy&, const advice_policy&) = default;
};

struct job_spec {
    job_number id;
    std::string queue;
    std::string account;
    std::string pool; ///< the workers that may run it
    std::string payload;
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 0; ///< 0 for a job that runs once, immediately
    base::wall_time start;         ///< of the first occurrence
    milliseconds interval{};
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;
    double slack_factor = 1;
    milliseconds target_latency{};
    /// That of the queue when the job was accepted; applies once the queue is removed.
    std::optional<advice_policy> advice;

    friend bool operator==(const job_spec&, const job_spec&) = default;

    /// Number of times that the steps run: at least once.
    [[nodiscard]] std::uint32_t runs() const { return occurrences == 0 ? 1 : occurrences; }
    /// When the steps of `occurrence` are due; the epoch for a job that runs immediately.
    [[nodiscard]] base::wall_time due(std::uint32_t occurrence) const;
};

enum class job_state : std::uint8_t { queued, running, completed, failed, cancelled };

std::string_view name_of(job_state state);

/// Whether a job in `state` has ended.
constexpr bool is_final(job_state state)
{
    return state >= job_state::completed;
}

/// One task of a job.
struct task_key {
    job_number job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

/// One step of one occurrence of a job.
struct step_key {
    job_number job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_key&, const step_key&) = default;
};

inline step_key step_of(const task_key& task)
{
    return {task.job, task.occurrence, task.step};
}

/// One start of a task.
struct run_key {
    task_key task;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const run_key&, const run_key&) = default;
};

/// How a run ended. `lost`, `not_started` and `crashed` are inferred by the scheduler, `lapsed` is
/// reported by workers or inferred, the others are reported by workers.
enum class end_kind : std::uint8_t {
    done,
    failed,
    stopped,
    lapsed, ///< its lease ran out
    broken, ///< another member of its gang ended
    alone,  ///< the other members of its gang didn't start in time
    lost,
    not_started,
    crashed, ///< its worker's process ended unexpectedly
};

std::string_view name_of(end_kind kind);
std::optional<end_kind> end_kind_from_name(std::string_view name);

/// One instance of a worker process, as it describes itself.
struct worker_info {
    base::worker_id id;
    std::string address;
    std::uint16_t port = 0;
    std::string pool;
    base::failure_domain domain;
    std::vector<std::string> labels; ///< what steps may require
    std::string rack;
    size capacity;
    base::wall_time started_at; ///< distinguishes instances with the same id
    bool draining = false;

    friend bool operator==(const worker_info&, const worker_info&) = default;
};

/// A queue of jobs, selected by host name and the longest path prefix.
struct queue_settings {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string pool;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double slack_factor = 1;
    milliseconds target_latency{};
    milliseconds call_timeout{};
    bool open = false; ///< accepts jobs without a key
    std::optional<advice_policy> advice;
};

struct account_settings {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1; ///< share of a full fleet
    size limit;        ///< most that it may use at a time; 0 means no limit
};

/// The configuration that operators submit: queues, pools and client accounts.
struct catalog {
    std::uint64_t version = 0;
    std::vector<queue_settings> queues;
    std::map<std::string, bool> pools; ///< name; whether its workers refuse tasks that don't fit
    std::map<std::string, account_settings> accounts;
    std::map<std::string, std::string> account_by_key;

    /// Returns the queue that `host` and `path` select, or nullptr.
    [[nodiscard]] const queue_settings* find_queue(std::string_view host,
                                                   std::string_view path) const;
    [[nodiscard]] const queue_settings* queue_named(std::string_view name) const;
};

} // namespace lovagebeam::jobs
