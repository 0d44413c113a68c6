#pragma once

#include "process_context.h"

namespace lovagebeam::programs {

/// Runs an entry process until a stop signal. Returns the exit code.
int run_entry(const process_context& context);

} // namespace lovagebeam::programs
