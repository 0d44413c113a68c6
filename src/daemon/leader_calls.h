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

/// Carries calls to the leader that aren't commands. A call is sent once; without an answer within
/// its time it fails. Not thread-safe; lives on the decisions thread.
class leader_calls {
public:
    using answer = absl::StatusOr<std::string>;
    using done = std::function<void(answer)>;
    /// Answers a call on the leader.
    using service = std::function<answer(base::time_point, proto::LeaderMethod,
                                         const base::node_id& from, const std::string& argument)>;

    leader_calls(base::node_id self, peer_sender& sender, const replication& log, service serve);

    void call(base::time_point now, proto::LeaderMethod method, std::string argument,
              done finished);
    void on_call(base::time_point now, const base::node_id& from, const proto::LeaderCall& message);
    void on_answer(const proto::LeaderAnswer& message);
    void tick(base::time_point now);

private:
    struct pending {
        base::time_point deadline;
        done finished;
    };

    [[nodiscard]] answer serve(base::time_point now, proto::LeaderMethod method,
                               const base::node_id& from, const std::string& argument) const;

    base::node_id m_self;
    peer_sender& m_sender;
    const replication& m_log;
    service m_serve;
    std::uint64_t m_last_tag = 0;
    std::map<std::uint64_t, pending> m_pending;
};

} // namespace lovagebeam::daemon
