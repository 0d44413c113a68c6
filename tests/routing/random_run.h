#pragma once

#include "sim_cluster.h"

#include <memory>

namespace lovagebeam::test {

/// Which faults a run injects.
enum class fault_mix : std::uint8_t {
    all,
    planned, ///< Only planned changes: hosts leave gracefully and come back.
};

/// One seeded run: load and faults, then a quiet time in which everything must end.
class random_run {
public:
    random_run(std::uint64_t seed, fault_mix mix);

    /// Throws `broken_guarantee`.
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
    std::vector<routing::caller_request> m_sent; ///< With a key, for repeats.
    std::uint64_t m_next_key = 1;
    std::uint32_t m_absent_host = 0; ///< The host that is away, plus 1.
};

/// Writes the seed of the present run to stderr when an invariant ends the process.
void print_seed_on_abort(std::uint64_t seed);

} // namespace lovagebeam::test
