#pragma once

#include "lovagebeam/jobs/model.h"

#include <algorithm>
#include <string>

namespace lovagebeam::jobs {

/// Whether the worker has the label. Every worker matches the empty label.
inline bool has_label(const worker_info& worker, const std::string& label)
{
    return label.empty() || std::ranges::find(worker.labels, label) != worker.labels.end();
}

} // namespace lovagebeam::jobs
