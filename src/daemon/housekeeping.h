#pragma once

#include "lovagebeam/base/types.h"

#include "replication.h"

namespace lovagebeam::daemon {

/// Removes expired records from the replicated state while this host leads. Not thread-safe; lives
/// on the decisions thread.
class housekeeping {
public:
    explicit housekeeping(replication& log) : m_log{log} {}

    void tick(base::time_point now);

private:
    replication& m_log;
    base::time_point m_next;
    bool m_is_pending = false;
};

} // namespace lovagebeam::daemon
