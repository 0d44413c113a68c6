#pragma once

#include "sim_cluster.h"

#include <memory>

namespace lovagebeam::test {

/// Which faults a run injects.
enum class fault_mix : std::uint8_t {
    all,
    planned, ///< Only planned changes: hosts leave gracefully and rejoin.
};

/// A seeded run: load with injected faults, then a fault-free period in which all requests must
/// end.
class random_run {
public:
    random_run(std::uint64_t seed, fault_mix mix);

    /// Throws `guarantee_violation` if a guarantee does not hold.
    void run();

    [[nodiscard]] sim_cluster& cluster() { return *m_cluster; }

private:
    static sim_options options_of(std::uint64_t seed, fault_mix mix);
    void call();
    void inject_fault();
    void inject_host_fault();
    void inject_target_fault();
    void inject_planned_change();
    void check_recovery();

    base::random_source m_random;
    fault_mix m_mix;
    std::unique_ptr<sim_cluster> m_cluster;
    std::vector<routing::caller_request> m_sent; ///< Requests with a key, which may be repeated.
    std::uint64_t m_next_key = 1;
    std::uint32_t m_absent_host = 0; ///< Index of the host that left, plus 1; 0 if none.
};

/// Writes the seed of the current run to stderr if a violated invariant aborts the process.
void print_seed_on_abort(std::uint64_t seed);

} // namespace lovagebeam::test
