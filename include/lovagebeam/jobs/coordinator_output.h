#pragma once

#include "lovagebeam/jobs/model.h"
#include "lovagebeam/jobs/orders.h"

#include "jobs.pb.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::jobs {

/// A run that was ordered to stop so that urgent work finds room.
struct preempted_run {
    run_key run;
    double lost_core_seconds = 0; ///< work since its last checkpoint
};

/// The end of a job whose end was forecast when it was admitted.
struct forecast_outcome {
    std::string queue;
    milliseconds error{};      ///< the actual end minus the forecast one
    bool is_worthless = false; ///< it ended too late to be worth anything
};

/// Actions that the coordinator requests. Only the order of `batches` matters.
struct coordinator_output {
    /// Operations to commit as one command each. Call `on_batch_committed` after the commit; if a
    /// batch can't be committed, the coordinator must be replaced by a new one.
    std::vector<std::pair<std::uint64_t, proto::jobs::Batch>> batches;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<hold_order> holds;
    std::vector<advice_order> advice;
    std::vector<preempted_run> preempted; ///< their stops are among `stops`
    std::vector<decision_log_entry> log_entries;
    /// Number of starts that weren't sent because their worker's failure domain is evacuated.
    std::uint64_t withheld_starts = 0;
    std::vector<forecast_outcome> forecasts;
};

} // namespace lovagebeam::jobs
