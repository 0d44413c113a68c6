#pragma once

#include "cell.h"

#include <memory>

namespace lovagebeam::placement::internal {

/// How jobs of one kind are ordered and where their tasks go. Policies hold no state of the cell.
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /// Position in the queue of a size; earlier goes first.
    [[nodiscard]] virtual base::time_point order_of(const job_record& job) const = 0;

    /// Rank among the kinds of one team that compete for the same free capacity; lower goes first.
    [[nodiscard]] virtual int rank() const = 0;

    /// Tells whether work of this kind may use the headroom for urgent work.
    [[nodiscard]] virtual bool uses_headroom() const { return false; }

    /// Returns the worker for the next task of the job, or no_slot if it fits nowhere.
    [[nodiscard]] virtual slot choose(const cell& state, slot job) const = 0;

    /// Tells whether the next task of the job may take capacity that became free on `worker`.
    [[nodiscard]] virtual bool admits(const cell& state, slot job, slot worker) const;

    [[nodiscard]] virtual reason placed_as() const = 0;
};

/// Tells whether the rules that hold for every kind let the job onto the worker: probation,
/// reservations, and workers on which the job failed before.
[[nodiscard]] bool worker_admits(const cell& state, slot worker, const job_record& job);

/// How much of the worker stays unused in relation to its capacity, with a penalty for leaving
/// accelerators to work that needs none. Lower is a tighter fit.
[[nodiscard]] double leftover(const cell& state, slot worker, const resources& left,
                              const resources& size);

[[nodiscard]] std::unique_ptr<policy> make_service_policy();
[[nodiscard]] std::unique_ptr<policy> make_batch_policy();
[[nodiscard]] std::unique_ptr<policy> make_gang_policy();
[[nodiscard]] std::unique_ptr<policy> make_urgent_policy();

} // namespace lovagebeam::placement::internal
