#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/state/keys.h"

#include "leader_calls.h"
#include "replication.h"
#include "request_path.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace lovagebeam::daemon {

/// Handles calls to `/v1/work` and `/v1/jobs` and the announcements of targets and workers. Not
/// thread-safe; used on the decisions thread only.
class caller_api {
public:
    struct dependencies {
        base::node_id self;
        replication* log = nullptr;
        request_path* path = nullptr;
        leader_calls* leader = nullptr;
        state::key_verifier* keys = nullptr;
        /// Prefix of the ids of all jobs accepted by this run of the process.
        std::string job_prefix;
    };

    explicit caller_api(dependencies deps);

    /// Handles a call of this API and returns true, or returns false if the path isn't part of it.
    bool handle(base::time_point now, callers::http_request& request, const callers::reply& reply);

private:
    /// The authenticated team, and the key that authenticated it (empty for an open queue).
    struct caller_identity {
        base::team_id team;
        base::key_id key;
    };

    [[nodiscard]] absl::StatusOr<caller_identity> authenticate(base::time_point now,
                                                               const callers::http_request& request,
                                                               bool allow_open_queue) const;
    void handle_work(base::time_point now, callers::http_request& request,
                     const callers::reply& reply);
    void handle_work_query(base::time_point now, const callers::http_request& request,
                           const callers::reply& reply);
    void handle_job(base::time_point now, const callers::http_request& request,
                    const callers::reply& reply);
    void submit_job(base::time_point now, const callers::http_request& request,
                    const callers::reply& reply);
    void read_job(base::time_point now, const callers::http_request& request,
                  const caller_identity& identity, const callers::reply& reply);
    void answer_job(const base::job_id& id, const base::team_id& team, bool wants_result,
                    const callers::reply& reply) const;
    void cancel_job(base::time_point now, const base::job_id& id, const base::team_id& team,
                    const callers::reply& reply);
    void handle_target(base::time_point now, const callers::http_request& request,
                       const callers::reply& reply);
    void handle_worker(base::time_point now, const callers::http_request& request,
                       const callers::reply& reply);

    dependencies m_dependencies;
    std::uint64_t m_last_job = 0;
};

} // namespace lovagebeam::daemon
