#pragma once

#include "lovagebeam/base/types.h"

#include "replication.h"

namespace lovagebeam::daemon {

/// Removes expired records from the replicated state while this host is the leader. Not
/// thread-safe; used on the decisions thread only.
class housekeeping {
public:
    explicit housekeeping(replication& log) : m_log{log} {}

    void tick(base::time_point now);

private:
    replication& m_log;
    base::time_point m_next_check;
    bool m_is_commit_pending = false;
};

} // namespace lovagebeam::daemon
