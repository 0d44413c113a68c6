#pragma once

#include "cell.h"

#include <memory>

namespace lovagebeam::placement::internal {

/// Estimates the resource use and run time of each team's commands from reports of ended tasks.
class corrector {
public:
    explicit corrector(cell& state);
    corrector(const corrector&) = delete;
    corrector& operator=(const corrector&) = delete;
    ~corrector();

    /// Records the peak use and the run time of a task that ended.
    void record_usage(const job_record& job, std::optional<base::duration> run_time,
                      std::optional<resources> peak);

    /// Returns the size to book for a task: a high quantile of the reported use plus a margin, at
    /// most what the largest worker has and the team's upper limit allows. The worker enforces the
    /// size, so an underestimate slows or ends the task but never overcommits the host. Returns the
    /// declared size while there are too few reports.
    [[nodiscard]] resources size_of(const job_record& job) const;

    /// Returns a high quantile of the reported run times, or the declared run time while there are
    /// too few reports.
    [[nodiscard]] base::duration run_time_of(const job_record& job) const;

private:
    struct store;

    cell& m_state;
    std::unique_ptr<store> m_store;
};

} // namespace lovagebeam::placement::internal
