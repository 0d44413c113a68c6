#pragma once

#include "lovagebeam/base/types.h"

#include "cluster.pb.h"
#include "ports.h"
#include "replication.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace lovagebeam::daemon {

/// Remote procedure calls to the leader that don't go through the replicated log. A call is sent
/// once and fails if no answer arrives within its timeout. Not thread-safe; used on the decisions
/// thread only.
class leader_calls {
public:
    using answer = absl::StatusOr<std::string>;
    using completion = std::function<void(answer)>;
    /// Handles a call on the leader.
    using handler = std::function<answer(base::time_point, proto::LeaderMethod,
                                         const base::node_id& from, const std::string& argument)>;

    leader_calls(base::node_id self, peer_sender& sender, const replication& log, handler serve);

    void call(base::time_point now, proto::LeaderMethod method, std::string argument,
              completion on_done);
    void on_call(base::time_point now, const base::node_id& from, const proto::LeaderCall& message);
    void on_answer(const proto::LeaderAnswer& message);
    void tick(base::time_point now);

private:
    struct pending {
        base::time_point deadline;
        completion on_done;
    };

    [[nodiscard]] answer serve(base::time_point now, proto::LeaderMethod method,
                               const base::node_id& from, const std::string& argument) const;

    base::node_id m_self;
    peer_sender& m_sender;
    const replication& m_log;
    handler m_handler;
    std::uint64_t m_last_tag = 0;
    std::map<std::uint64_t, pending> m_pending;
};

} // namespace lovagebeam::daemon
