#pragma once

#include "lovagebeam/jobs/model.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace lovagebeam::jobs {

/// The id of a job as callers write it: 16 hexadecimal digits.
inline std::string text_of(job_number id)
{
    return absl::StrCat(absl::Hex(id.value(), absl::kZeroPad16));
}

inline std::string text_of(const run_key& run)
{
    return absl::StrCat(text_of(run.task.job), ".", run.task.occurrence, ".", run.task.step, ".",
                        run.task.index, "#", run.attempt);
}

} // namespace lovagebeam::jobs
