#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/operators/protocol.h"

#include "leader_calls.h"
#include "replication.h"

#include <functional>
#include <string>

namespace lovagebeam::daemon {

/// Handles the operator API. All calls require the operator credential. Not thread-safe; used on
/// the decisions thread only.
class operator_api {
public:
    struct dependencies {
        replication* log = nullptr;
        leader_calls* leader = nullptr;
        std::string credential;
        std::string cluster_secret;
    };

    explicit operator_api(dependencies deps);

    /// Handles a call of this API and returns true, or returns false if the path isn't part of it.
    bool handle(base::time_point now, const callers::http_request& request,
                const callers::reply& reply);

private:
    using renderer = std::function<std::string(const state::cell_state&)>;

    [[nodiscard]] bool is_authorised(const callers::http_request& request) const;
    void handle_change(base::time_point now, const callers::http_request& request,
                       const callers::reply& reply);
    void handle_read(base::time_point now, const callers::http_request& request,
                     const callers::reply& reply);
    void change_config(base::time_point now, const callers::http_request& request,
                       const callers::reply& reply);
    void give_key(base::time_point now, const callers::http_request& request,
                  const callers::reply& reply);
    void withdraw_key(base::time_point now, const callers::http_request& request,
                      const callers::reply& reply);
    void propose(base::time_point now, state::command command, const operators::change_call& call,
                 const callers::reply& reply);
    void answer_change(const absl::StatusOr<state::apply_result>& result,
                       const callers::reply& reply) const;
    void read(base::time_point now, const callers::reply& reply, renderer render);
    void call_leader(base::time_point now, proto::LeaderMethod method, std::string argument,
                     const callers::reply& reply);

    dependencies m_dependencies;
};

} // namespace lovagebeam::daemon
