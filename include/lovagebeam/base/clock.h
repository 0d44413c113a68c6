#pragma once

#include "lovagebeam/base/types.h"

namespace lovagebeam::base {

/// Returns the time since the machine started, including the time during which it was suspended.
/// Leases and the ages of confirmations are measured on this clock, since the steady clock does not
/// advance while the machine is suspended. Not comparable with times of the steady clock.
time_point boot_time();

/// Returns the time of day on this host's clock, which may jump. Nothing that expires on one host
/// is measured with it.
wall_time wall_now();

} // namespace lovagebeam::base
