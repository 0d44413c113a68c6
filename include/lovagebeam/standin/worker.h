#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/standin/timer_queue.h"
#include "lovagebeam/workers/protocol.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::standin {

struct worker_settings {
    base::worker_id id;
    std::string failure_domain = "d1";
    std::string rack = "r1";
    base::millicores millicores{64'000};
    base::bytes memory{std::int64_t{256} << 30};
    std::uint32_t accelerators = 0;
    /// When set, every task fails as soon as it has started.
    bool failing = false;
};

/// A worker that implements the worker protocol. A task does nothing for its declared run time; a
/// service runs until it is stopped. Checks that the tasks never exceed its capacity, and stops a
/// task whose lease has expired. Thread-safe.
class worker {
public:
    explicit worker(worker_settings settings);

    /// Handles one request of the worker protocol or of the stand-in's own report path.
    void handle(const callers::http_request& request, const callers::reply& reply);

    /// Returns the body of the announcement for a worker that listens on `endpoint`.
    std::string announcement(const targets::endpoint& endpoint);

    /// Applies the lease renewals in the answer to an announcement created at `sent_at`.
    void renew_leases(const std::string& answer, base::time_point sent_at);

private:
    struct task {
        workers::task_spec spec;
        workers::task_report report;
        base::time_point lease_end;
        base::time_point ended_at;
    };

    void start(const callers::http_request& request, const callers::reply& reply);
    void add_task(const workers::start_task_request& message);
    void cancel(std::string_view id, const callers::reply& reply);
    void report(const callers::reply& reply);
    void record_stopped_task(const base::task_id& id);
    void end_task(task& ended, workers::task_state state);
    void check_lease(const base::task_id& id);
    [[nodiscard]] bool has_capacity_for(const workers::task_spec& spec) const;
    void record_violation(const std::string& text);

    std::mutex m_mutex;
    worker_settings m_settings;
    std::uint64_t m_fence = 0;
    std::uint64_t m_started = 0;
    std::map<base::task_id, task> m_tasks;
    std::vector<std::string> m_violations;
    timer_queue m_timers;
};

} // namespace lovagebeam::standin
