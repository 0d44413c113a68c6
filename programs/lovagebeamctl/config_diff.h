#pragma once

#include "lovagebeam/state/model.h"

#include <string>

namespace lovagebeam::ctl {

/// Returns a line for each field that differs, "-" for what `present` has and "+" for what `wanted`
/// has; "no difference" when they are equal.
std::string diff_configurations(const state::configuration& present,
                                const state::configuration& wanted);

} // namespace lovagebeam::ctl
