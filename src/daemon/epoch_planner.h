#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace lovagebeam::daemon {

/// One run of the daemon process on one host.
struct host_run {
    base::node_id node;
    std::uint64_t run = 0;

    friend auto operator<=>(const host_run&, const host_run&) = default;
};

/// Why the leader proposes a new epoch.
enum class epoch_reason { join, silent, planned_leave };

std::string_view name_of(epoch_reason reason);

struct epoch_plan {
    std::vector<host_run> members;
    epoch_reason reason = epoch_reason::join;
};

struct epoch_timing {
    /// A member is removed after this time without contact: the member lease of 2 s plus 1% clock
    /// drift. The member itself measures its lease from an earlier moment.
    std::chrono::milliseconds contact_timeout{2'020};
    /// Minimum time between an epoch and the next one that only adds members. Joins are batched
    /// because every home and owner exchanges reports in each epoch.
    std::chrono::milliseconds join_delay{300};
};

/// Decides, on the leader, which hosts belong to the membership epoch. Does no I/O and reads no
/// clock.
class epoch_planner {
public:
    explicit epoch_planner(epoch_timing timing = {}) : m_timing{timing} {}

    /// Called when this host becomes the leader. `granted_until` counts as the last contact of each
    /// current member, since the former leader may have renewed leases until then.
    void start(base::time_point granted_until, const std::vector<host_run>& members);

    /// Called when `host` requests a renewal of its member lease.
    void record_contact(base::time_point now, const host_run& host, bool is_leaving);

    /// Called when a new epoch is installed.
    void on_epoch_installed(base::time_point now);

    /// Returns the epoch to propose after the one with `members`, or nothing if no change is
    /// needed.
    [[nodiscard]] std::optional<epoch_plan> plan(base::time_point now,
                                                 const std::vector<host_run>& members) const;

private:
    struct contact {
        std::uint64_t run = 0;
        base::time_point last_contact;
        bool is_leaving = false;
    };

    [[nodiscard]] bool is_eligible(base::time_point now, const host_run& host) const;
    [[nodiscard]] bool is_leaving(const host_run& host) const;

    epoch_timing m_timing;
    std::map<base::node_id, contact> m_contacts;
    base::time_point m_epoch_installed_at;
};

} // namespace lovagebeam::daemon
