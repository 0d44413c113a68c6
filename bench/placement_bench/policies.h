#pragma once

#include "lovagebeam/placement/scheduler.h"

#include "workload.h"

#include <memory>
#include <string>

namespace lovagebeam::bench {

/// A scheduling policy that the benchmark compares. It takes the events of `placement` and returns
/// its decisions.
class scheduling_policy {
public:
    scheduling_policy() = default;
    scheduling_policy(const scheduling_policy&) = delete;
    scheduling_policy& operator=(const scheduling_policy&) = delete;
    virtual ~scheduling_policy() = default;

    virtual placement::decisions step(time_point now, const placement::event& input) = 0;
    [[nodiscard]] virtual std::string name() const = 0;
};

/// Wraps placement::scheduler.
std::unique_ptr<scheduling_policy> make_scheduler(const workload& work,
                                                  const placement::scheduler_settings& settings,
                                                  time_point now, std::string name);

/// Places jobs in order of arrival on the first worker with room for the declared size.
std::unique_ptr<scheduling_policy> make_first_fit(const workload& work);

/// Places jobs by class (urgent, service, gang, batch), then by arrival, on the most booked worker
/// with room for the declared size. Neither baseline preempts, enforces shares or corrects declared
/// sizes; both respect the upper limits of teams.
std::unique_ptr<scheduling_policy> make_best_fit(const workload& work);

} // namespace lovagebeam::bench
