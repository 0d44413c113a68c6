#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/placement/events.h"

#include <vector>

namespace lovagebeam::bench {

using base::time_point;

/// A job with its actual resource use, which the policies learn only from reports.
struct bench_job {
    placement::job_spec spec;
    time_point arrival{};
    placement::resources use;
    base::duration run_time{};
};

struct bench_team {
    base::team_id id;
    placement::team_settings settings;
};

struct workload_options {
    std::uint64_t seed = 1;
    std::uint32_t workers = 50;
    base::duration length = std::chrono::minutes{20};
    /// Offered load as a multiple of the capacity, by actual use.
    double load = 1.2;
};

struct workload {
    std::vector<placement::worker_seen> workers;
    std::vector<bench_team> teams;
    std::vector<bench_job> jobs; ///< sorted by arrival
};

/// Generates a workload modelled on both users. Declared sizes are wrong by a factor of up to 5 and
/// declared run times by up to 10, in both directions. The same options give the same workload.
[[nodiscard]] workload make_workload(const workload_options& options);

} // namespace lovagebeam::bench
