#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/events.h"
#include "lovagebeam/consensus/replica.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagebeam::consensus {

/// A host with a disk that can become a voter, with the incarnation that it currently reports.
struct disk_host {
    consensus::member member;
    base::failure_domain domain;
    /// False if the host is known to be down or leaving.
    bool available = true;
};

struct repair_settings {
    std::size_t target_voters = 5;
    /// A voter that hasn't responded for this long is lost. Longer than an ordinary restart.
    std::chrono::milliseconds lost_voter_timeout{30'000};
    /// A member counts as present if it responded within this time.
    std::chrono::milliseconds presence_timeout{1'000};
};

/// Input of the planner: the group as seen by the leader.
struct repair_view {
    base::time_point now;
    base::node_id leader;
    std::vector<member_status> members;
    std::vector<disk_host> hosts;
    /// True if the active configuration isn't committed.
    bool change_pending = false;
};

/// Plans the next change towards the target number of voters on present hosts, spread evenly across
/// the failure domains. Stateless: the plan depends only on the view.
class repair_planner {
public:
    explicit repair_planner(repair_settings settings) : m_settings{settings} {}

    /// Returns the next change to submit to the leader's replica. Returns nothing while a change is
    /// pending, when no change is needed, or when the change would leave the new group without a
    /// majority of present and caught-up voters.
    [[nodiscard]] std::optional<membership_change> plan(const repair_view& view) const;

private:
    repair_settings m_settings;
};

} // namespace lovagebeam::consensus
