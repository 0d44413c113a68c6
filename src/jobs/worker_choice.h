#pragma once

#include "lovagebeam/jobs/candidate_list.h"
#include "lovagebeam/jobs/model.h"

#include <cstdint>
#include <set>
#include <vector>

// Which workers suit a step, where workers differ in speed.

namespace lovagebeam::jobs {

/// How long the step and the longest chain of steps after it take by their estimates.
milliseconds remaining_chain(const job_spec& job, std::uint32_t step);

/// The least speed of a worker with which the remaining steps end by their objective, although they
/// take longer than estimated. Unbounded if no time is left.
double needed_speed(milliseconds remaining, milliseconds left);

/// Place of a worker of `speed` in the order of preference: the slowest class of workers that are
/// fast enough comes first, so that faster ones stay free for work that needs them; then those that
/// aren't, the fastest first.
int preference(double speed, double needed);

/// The workers to which a gang is confined, because it is as slow as its slowest member: those of
/// one class, the fastest that has room for `tasks`, else of two classes, else all. `avoided` may
/// be nullptr; workers in it don't count as room.
std::vector<candidate_list::candidate*>
select_for_gang(const step_spec& step, const std::vector<candidate_list::candidate*>& eligible,
                std::size_t tasks, const std::set<base::worker_id>* avoided);

} // namespace lovagebeam::jobs
