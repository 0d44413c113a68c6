#pragma once

#include "lovagebeam/state/model.h"

#include <string>

namespace lovagebeam::ctl {

/// Returns the fields that differ, one value a line: "-" marks the value in `current` and "+" the
/// value in `desired`. Returns "no difference" when they are equal.
std::string diff_configurations(const state::configuration& current,
                                const state::configuration& desired);

} // namespace lovagebeam::ctl
