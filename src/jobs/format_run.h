#pragma once

#include "lovagebeam/jobs/model.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace lovagebeam::jobs {

/// Formats a run for log entries: JOB.OCCURRENCE.STEP.INDEX#ATTEMPT.
inline std::string format_run(const run_key& run)
{
    return absl::StrCat(format_job_id(run.task.job), ".", run.task.occurrence, ".", run.task.step,
                        ".", run.task.index, "#", run.attempt);
}

} // namespace lovagebeam::jobs
