#pragma once

#include "lovagebeam/base/types.h"

namespace lovagebeam::base {

/// Returns the time since the machine started, including the time during which it was suspended.
/// Leases and the ages of confirmations are measured on this clock, since the steady clock does not
/// advance while the machine is suspended. Not comparable with times of the steady clock.
time_point boot_time();

} // namespace lovagebeam::base
