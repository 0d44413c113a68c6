#pragma once

#include "lovagebeam/jobs/model.h"
#include "lovagebeam/scheduling/run_id.h"

namespace lovagebeam::jobs {

inline scheduling::step_id to_step_id(const step_key& step)
{
    return {step.job.value(), step.occurrence, step.step};
}

inline scheduling::run_id to_run_id(const run_key& run)
{
    return {to_step_id(step_of(run.task)), run.attempt, run.task.index};
}

} // namespace lovagebeam::jobs
