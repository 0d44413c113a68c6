#pragma once

#include "lovagebeam/base/types.h"

namespace lovagebeam::base {

/// Returns the time since the machine started, including the time during which it was suspended.
/// Leases and the age of confirmations count on this clock, since the steady clock stands still on
/// a suspended machine. Not comparable with times of the steady clock.
time_point boot_time();

} // namespace lovagebeam::base
