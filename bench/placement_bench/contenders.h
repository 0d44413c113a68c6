#pragma once

#include "lovagebeam/placement/scheduler.h"

#include "workload.h"

#include <memory>
#include <string>

namespace lovagebeam::bench {

/// A way of scheduling that takes the events and returns the decisions of `placement`.
class contender {
public:
    contender() = default;
    contender(const contender&) = delete;
    contender& operator=(const contender&) = delete;
    virtual ~contender() = default;

    virtual placement::decisions step(time_point now, const placement::event& input) = 0;
    [[nodiscard]] virtual std::string name() const = 0;
};

/// Our scheduler.
std::unique_ptr<contender> make_scheduler(const workload& work,
                                          const placement::scheduler_settings& settings,
                                          time_point now, std::string name);

/// Places in order of arrival on the first worker that fits, at declared sizes.
std::unique_ptr<contender> make_first_fit(const workload& work);

/// Places by class (urgent, service, gang, batch) and arrival on the tightest worker, at declared
/// sizes. Neither baseline preempts, shares or corrects; both keep the upper limits.
std::unique_ptr<contender> make_best_fit(const workload& work);

} // namespace lovagebeam::bench
