#pragma once

#include "lovagebeam/jobs/model.h"
#include "lovagebeam/scheduling/preemption_planner.h"

#include <cstddef>

namespace lovagebeam::jobs {

/// When and how far the coordinator stops runs for urgent steps. With a stop that takes 200 ms, a
/// step has room within the 500 ms that urgent work may wait.
struct preemption_policy {
    scheduling::preemption_settings planner;
    /// An urgent step waits this long, from when it became ready, for runs that end by themselves.
    milliseconds grace{100};
    /// A new leader stops nothing for this time: until its workers have answered their first holds,
    /// it doesn't know what is free.
    milliseconds settle_time{500};
    /// A step for which no room could be made is looked at again after this time.
    milliseconds retry{20};
    /// Room that is booked for a step is given back after this time: the stop has failed or the
    /// step can't use it. Twice `stop_timeout`, so that a second worker can be tried before.
    milliseconds room_timeout{2'000};
    /// While a call about a step is open, its answer is awaited this long: it may allow a worker
    /// with room.
    milliseconds answer_wait{100};
    /// Tickets for the workers where room is being made are renewed if they end before this time.
    milliseconds ticket_need{500};
    /// Bounds the cost of a planning pass: workers compared for one step, workers whose runs are
    /// listed, and steps for which runs are chosen.
    std::size_t workers_per_step = 64;
    std::size_t workers_per_pass = 128;
    std::size_t steps_per_pass = 32;
};

} // namespace lovagebeam::jobs
