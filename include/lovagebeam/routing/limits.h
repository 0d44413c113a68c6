#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <cstdint>

namespace lovagebeam::routing {

/// Effective limits of a team after defaults and exceptions are merged.
struct team_limits {
    std::uint32_t share = 1;               ///< Weight, at least 1.
    std::uint32_t upper_limit_slots = 400; ///< Concurrent attempts across all targets.
    std::uint32_t queue_limit = 1000;      ///< Waiting requests per class.
    std::chrono::milliseconds max_deadline{30'000};
    std::chrono::milliseconds result_retention{600'000};
};

/// Source of the effective configuration. The daemon implements it over the replicated state. It is
/// called on the thread that calls `router::step`, must answer from memory without blocking, and
/// must outlive the router.
class limits_source {
public:
    limits_source() = default;
    limits_source(const limits_source&) = delete;
    limits_source& operator=(const limits_source&) = delete;
    virtual ~limits_source() = default;

    /// Returns the limits of a team. The team of an open queue is named "queue:<name>" and has the
    /// limits of the queue's scope.
    [[nodiscard]] virtual team_limits team(const base::team_id& team) const = 0;

    /// Returns whether the target gets no new work.
    [[nodiscard]] virtual bool is_target_draining(const base::target_id& target) const = 0;

    /// Returns whether the host accepts no new work as a home.
    [[nodiscard]] virtual bool is_host_draining(const base::node_id& host) const = 0;

    /// Returns the longest `max_deadline` of any team. It bounds the lease of every attempt, and so
    /// the time for which an unreachable target that cannot be fenced delays the dispatch of teams.
    [[nodiscard]] virtual std::chrono::milliseconds longest_deadline() const = 0;
};

} // namespace lovagebeam::routing
