#pragma once

#include "lovagebeam/jobs/model.h"
#include "lovagebeam/scheduling/duration_estimates.h"

#include <vector>

namespace lovagebeam::jobs {

/// Duration of one advice call about a step; 0 for a queue without advice.
milliseconds advice_time(const advice_policy* policy);

/// The estimate of the step's tasks, corrected by `factor`.
milliseconds corrected_estimate(const step_spec& step, double factor);

/// For each step, the duration of the longest chain of steps that begins with it, from corrected
/// estimates, with `advice` added for each step.
std::vector<milliseconds> remaining_chains(const job_spec& job, milliseconds advice,
                                           const scheduling::duration_estimates& estimates);

/// Duration of the critical path: the longest of the remaining chains.
milliseconds longest_chain(const std::vector<milliseconds>& remaining);

/// The time within which a job whose critical path takes `chain` should end, times `objectives`.
milliseconds objective_of(const job_spec& job, milliseconds chain, double objectives);

} // namespace lovagebeam::jobs
