#pragma once

#include "process_context.h"

namespace lovagebeam::programs {

/// Runs a core process until a stop signal. Returns the exit code.
int run_core(const process_context& context);

} // namespace lovagebeam::programs
