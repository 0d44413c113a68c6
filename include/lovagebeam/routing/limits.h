#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <cstdint>

namespace lovagebeam::routing {

/// Effective limits of a team after defaults and exceptions are merged.
struct team_limits {
    std::uint32_t share = 1;               ///< Weight, at least 1.
    std::uint32_t upper_limit_slots = 400; ///< Attempts at the same time across the fleet.
    std::uint32_t queue_limit = 1000;      ///< Waiting requests for each class.
    std::chrono::milliseconds max_deadline{30'000};
    std::chrono::milliseconds result_retention{600'000};
};

/// Source of the effective configuration. The daemon implements it over the replicated state. It is
/// called on the thread that calls `router::step`, must answer from memory, and must outlive the
/// router.
class limits_source {
public:
    limits_source() = default;
    limits_source(const limits_source&) = delete;
    limits_source& operator=(const limits_source&) = delete;
    virtual ~limits_source() = default;

    /// Limits of a team. The team of an open queue is named "queue:<name>" and has the limits of
    /// the queue's scope.
    [[nodiscard]] virtual team_limits team(const base::team_id& team) const = 0;

    /// Tells whether the target gets no new work.
    [[nodiscard]] virtual bool is_target_draining(const base::target_id& target) const = 0;

    /// Tells whether the host takes no new work as a home.
    [[nodiscard]] virtual bool is_host_draining(const base::node_id& host) const = 0;

    /// The longest `max_deadline` of any team. It bounds the lease of every attempt, and with it
    /// the time that a target that cannot be fenced holds teams back.
    [[nodiscard]] virtual std::chrono::milliseconds longest_deadline() const = 0;
};

} // namespace lovagebeam::routing
