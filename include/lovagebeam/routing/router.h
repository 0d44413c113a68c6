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

/// Times and bounds of a router. The defaults are those of the design page.
struct router_settings {
    /// Member lease less 1% for clock drift.
    base::duration member_lease = std::chrono::milliseconds{1980};
    /// Share by which clocks of two hosts may differ in speed.
    double clock_drift = 0.01;
    /// After this time a target that did not answer its fence counts as in doubt.
    base::duration fence_timeout = std::chrono::milliseconds{500};
    /// A target that has not announced itself for this long gets no new work. One announcement in
    /// 500 ms may be lost, and the time must stay well below the 2 s after which a leaving target
    /// gets no new work.
    base::duration announcement_timeout = std::chrono::milliseconds{1200};
    std::uint32_t connections_per_target = 20;
    std::size_t home_queue_limit = 4096;       ///< Attempts that wait at a home.
    std::size_t early_message_limit = 4096;    ///< Messages of a newer epoch that are kept.
    std::size_t stored_result_limit = 200'000; ///< Results and identities of an owner.
    std::size_t stored_bytes_limit = std::size_t{64} << 20U; ///< Bodies of stored results.
    std::size_t entry_limit = 20'000; ///< Callers that wait at an entry host.
};

/// Counters for metrics and readiness.
struct router_stats {
    base::epoch number;
    bool is_lease_valid = false;
    bool is_ready = false; ///< All reports of the epoch have arrived.
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

/// The request path on one host: entry table, team owner and target home. Not thread-safe; no
/// sockets, files or clocks. A broken invariant ends the process with a log line on stderr.
class router {
public:
    class implementation;

    explicit router(std::unique_ptr<implementation> impl);
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;
    ~router();

    /// Handles one event at `now`, which never goes back. Bodies inside `input` are moved from.
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
    /// Seeds jitter, spreading and the incarnation, which names this run of the process in ids of
    /// requests and attempts: two runs on one host must have different seeds.
    router_builder& with_seed(std::uint64_t seed);
    [[nodiscard]] router build() const;

private:
    base::node_id m_self;
    router_settings m_settings;
    const limits_source* m_limits = nullptr;
    std::uint64_t m_seed = 1;
};

} // namespace lovagebeam::routing
