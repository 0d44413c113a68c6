#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/events.h"
#include "lovagebeam/consensus/replica.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace lovagebeam::consensus {

/// A host that has a disk and could be a voter, under the incarnation that it reports now.
struct disk_host {
    consensus::member member;
    base::failure_domain domain;
    /// False if the host is known to be down or leaving.
    bool available = true;
};

struct repair_settings {
    std::size_t target_voters = 5;
    /// A voter that hasn't answered for this long is lost. Longer than an ordinary restart.
    std::chrono::milliseconds lost_voter_timeout{30'000};
    /// A voter counts as present if it answered within this time.
    std::chrono::milliseconds presence_timeout{1'000};
};

/// What the planner decides from: the leader's own view.
struct repair_view {
    base::time_point now;
    base::node_id leader;
    std::vector<member_status> members;
    std::vector<disk_host> hosts;
    /// True if the configuration in force isn't committed.
    bool change_pending = false;
};

/// Decides the next step towards the wanted number of voters on present hosts, spread evenly over
/// the failure domains. Keeps no state: the plan follows from the view.
class repair_planner {
public:
    explicit repair_planner(repair_settings settings) : m_settings{settings} {}

    /// Returns at most one change, to be given to the leader's replica. Returns nothing while a
    /// change is pending, when nothing is to be done, or when the change would leave the new
    /// group without a majority of present and caught-up voters.
    [[nodiscard]] std::optional<membership_change> plan(const repair_view& view) const;

private:
    repair_settings m_settings;
};

} // namespace lovagebeam::consensus
