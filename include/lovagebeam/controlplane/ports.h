#pragma once

#include "lovagebeam/jobs/orders.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::controlplane {

/// Sends orders to workers. Each callback is called once, on any thread, and must not block.
class worker_port {
public:
    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    virtual void start(const jobs::start_order& order,
                       std::function<void(jobs::start_outcome)> done) = 0;
    /// `done` receives whether the worker confirmed that the run is being stopped or can't start.
    virtual void stop(const jobs::stop_order& order, std::function<void(bool)> done) = 0;
    virtual void hold(const jobs::hold_order& order,
                      std::function<void(jobs::hold_outcome, jobs::hold_answer)> done) = 0;
};

/// Client of the advice service, which handles one call at a time for each calling host.
class advice_port {
public:
    using rows = std::optional<std::vector<jobs::advice_row>>;

    advice_port() = default;
    advice_port(const advice_port&) = delete;
    advice_port& operator=(const advice_port&) = delete;
    virtual ~advice_port() = default;

    /// `done` receives the workers that may run the step with their tickets, or nothing when the
    /// service didn't respond.
    virtual void request_advice(const jobs::step_key& step,
                                const std::vector<base::worker_id>& workers,
                                std::chrono::milliseconds timeout,
                                std::function<void(rows)> done) = 0;
};

/// Decodes and encodes the documents of callers and operators. Stateless and thread-safe.
class document_codec {
public:
    document_codec() = default;
    document_codec(const document_codec&) = delete;
    document_codec& operator=(const document_codec&) = delete;
    virtual ~document_codec() = default;

    /// Decodes a submitted job, except its id and the fields that its queue determines. Fails with
    /// `invalid_request`.
    [[nodiscard]] virtual absl::StatusOr<jobs::job_spec>
    decode_job(std::string_view body) const = 0;
    /// Decodes and validates a whole configuration. Fails with `invalid_settings`.
    [[nodiscard]] virtual absl::StatusOr<jobs::catalog>
    decode_catalog(std::string_view document) const = 0;
    [[nodiscard]] virtual std::string encode_state(jobs::job_state state) const = 0;
    [[nodiscard]] virtual std::string encode_pending(std::uint64_t pending) const = 0;
};

/// A worker's heartbeat.
struct worker_report {
    jobs::worker_info info;
    jobs::worker_time clock{};
    std::uint64_t sequence = 0; ///< increases with each report of one worker instance
    std::chrono::milliseconds cold_remaining{}; ///< how much longer it is slow after its start
};

/// Outcome of a worker's or an operator's call to the core.
enum class control_outcome {
    done,
    not_leader,  ///< `leader_address` may name the process to call instead
    invalid,     ///< the document is invalid; a retry will fail as well
    unconfirmed, ///< may have taken effect, or can't be answered here; retry
    conflict,    ///< the record's revision isn't the expected one; nothing changed
    limit,       ///< a limit of the state is reached; nothing changed
};

struct control_answer {
    control_outcome outcome = control_outcome::unconfirmed;
    std::string leader_address; ///< IP address; empty when no leader is known
    std::string body;           ///< for `invalid`, `conflict` and `limit` the reason in plain text
};

using control_done = std::function<void(control_answer)>;

/// An operator's order to start no more tasks on the workers of a failure domain, or to withdraw
/// that order.
struct evacuation_order {
    base::failure_domain domain;
    bool evacuate = true; ///< false withdraws
    std::string who;
    std::string why;
    std::uint64_t expected_revision = 0; ///< of the domain's record; 0 for any
    base::time_point received;           ///< by this process, on the clock of `base::boot_time`
};

/// The calls of workers and operators to a core process. Thread-safe; callbacks run on any thread.
class control_service {
public:
    control_service() = default;
    control_service(const control_service&) = delete;
    control_service& operator=(const control_service&) = delete;
    virtual ~control_service() = default;

    /// Completes once the worker's state is committed, so that every later leader knows it.
    virtual void report_worker(worker_report report, control_done done) = 0;
    virtual void remove_worker(base::worker_id id, base::wall_time started_at,
                               control_done done) = 0;
    /// Completes once the configuration, or one with a higher version, is in force.
    virtual void put_catalog(std::string document, control_done done) = 0;
    /// The answer's `body` is the current configuration as it was submitted.
    virtual void get_catalog(control_done done) = 0;
    /// Completes once the order is in force. An order that repeats what is in force changes
    /// nothing. One that has waited in this process until its sender gave up isn't carried out and
    /// is `unconfirmed`.
    virtual void set_evacuation(evacuation_order order, control_done done) = 0;
    /// The answer's `body` is a JSON object with the records of all evacuations.
    virtual void list_evacuations(control_done done) = 0;
};

} // namespace lovagebeam::controlplane
