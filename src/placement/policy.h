#pragma once

#include "cell.h"

#include <memory>

namespace lovagebeam::placement::internal {

/// Queue order and worker selection for jobs of one kind. Policies are stateless.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// Sort key within a size queue; earlier goes first.
    [[nodiscard]] virtual base::time_point order_of(const job_record& job) const = 0;

    /// Priority among the kinds of one team that compete for the same free capacity; lower goes
    /// first.
    [[nodiscard]] virtual int rank() const = 0;

    /// Returns whether work of this kind may use the headroom reserved for urgent work.
    [[nodiscard]] virtual bool uses_headroom() const { return false; }

    /// Returns the worker for the next task of the job, or no_slot if it fits nowhere.
    [[nodiscard]] virtual slot choose(const cell& state, slot job) const = 0;

    /// Returns whether the next task of the job may use capacity that became free on `worker`.
    [[nodiscard]] virtual bool admits(const cell& state, slot job, slot worker) const;

    [[nodiscard]] virtual reason placement_reason() const = 0;
};

/// Checks the rules common to all kinds: probation, holds, reservations, and workers on which the
/// job failed before.
[[nodiscard]] bool worker_admits(const cell& state, slot worker, const job_record& job);

/// Returns the fraction of the worker's capacity that stays unused, summed over processors and
/// memory, plus a penalty when work that needs no accelerator goes to a worker with a free one.
/// Lower is a tighter fit.
[[nodiscard]] double leftover_score(const cell& state, slot worker, const resources& left,
                                    const resources& size);

[[nodiscard]] std::unique_ptr<policy> make_service_policy();
[[nodiscard]] std::unique_ptr<policy> make_batch_policy();
[[nodiscard]] std::unique_ptr<policy> make_gang_policy();
[[nodiscard]] std::unique_ptr<policy> make_urgent_policy();

} // namespace lovagebeam::placement::internal
