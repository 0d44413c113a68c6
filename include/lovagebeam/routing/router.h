#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/routing/effects.h"
#include "lovagebeam/routing/events.h"
#include "lovagebeam/routing/limits.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace lovagebeam::routing {

/// Timeouts and limits of a router. The defaults are those of the design page.
struct router_settings {
    /// Member lease less 1% for clock drift.
    base::duration member_lease = std::chrono::milliseconds{1980};
    /// Bound on the drift between the clocks of two hosts, as a fraction of the elapsed time.
    double clock_drift = 0.01;
    /// A target that has not answered its fence after this time is reported as unconfirmed.
    base::duration fence_timeout = std::chrono::milliseconds{500};
    /// A target that has not announced itself for this long gets no new work. Targets announce
    /// every 500 ms and one announcement may be lost; the timeout must stay well below the 2 s
    /// after which a leaving target gets no new work.
    base::duration announcement_timeout = std::chrono::milliseconds{1200};
    std::uint32_t connections_per_target = 20;
    std::size_t home_queue_limit = 4096;                     ///< Attempts queued at a home.
    std::size_t early_message_limit = 4096;                  ///< Buffered messages of newer epochs.
    std::size_t stored_result_limit = 200'000;               ///< Request records of an owner.
    std::size_t stored_bytes_limit = std::size_t{64} << 20U; ///< Total size of stored bodies.
    std::size_t entry_limit = 20'000;                        ///< Callers waiting at an entry host.
};

/// Counters for metrics and readiness.
struct router_stats {
    base::epoch number;
    bool is_lease_valid = false;
    bool is_ready = false; ///< Whether all reports of the epoch have arrived.
    std::size_t callers_waiting = 0;
    std::size_t owned_teams = 0;
    std::size_t owner_waiting = 0;
    std::size_t owner_running = 0;
    std::size_t stored_results = 0;
    std::size_t home_targets = 0;
    std::size_t home_waiting = 0;
    std::size_t home_running = 0;
    std::size_t home_ejected = 0;
    std::size_t known_targets = 0;
};

/// The request path on one host: entry table, team owner and target home. Not thread-safe. Uses no
/// sockets, files or clocks. A violated invariant aborts the process with a log line on stderr.
class router {
public:
    class implementation;

    explicit router(std::unique_ptr<implementation> impl);
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;
    ~router();

    /// Processes one event and returns the resulting effects. `now` must not decrease between
    /// calls. Bodies in `input` are moved from.
    [[nodiscard]] effects step(base::time_point now, event input);

    [[nodiscard]] router_stats stats() const;

private:
    std::unique_ptr<implementation> m_impl;
};

/// Builds a router. The limits are required and must outlive it.
class router_builder {
public:
    explicit router_builder(base::node_id self) : m_self{std::move(self)} {}

    router_builder& with_settings(const router_settings& settings);
    router_builder& with_limits(const limits_source& limits);
    /// Seeds the jitter, the random choice of homes and the incarnation, which identifies this
    /// instance of the process in the ids of requests and attempts. Two instances on one host must
    /// have different seeds.
    router_builder& with_seed(std::uint64_t seed);
    [[nodiscard]] router build() const;

private:
    base::node_id m_self;
    router_settings m_settings;
    const limits_source* m_limits = nullptr;
    std::uint64_t m_seed = 1;
};

} // namespace lovagebeam::routing
