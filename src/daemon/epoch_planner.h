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

/// One run of the daemon on one host.
struct host_run {
    base::node_id node;
    std::uint64_t run = 0;

    friend auto operator<=>(const host_run&, const host_run&) = default;
};

/// Why the leader wants another epoch.
enum class epoch_reason { join, silent, planned_leave };

std::string_view name_of(epoch_reason reason);

struct epoch_plan {
    std::vector<host_run> members;
    epoch_reason reason = epoch_reason::join;
};

struct epoch_timing {
    /// A member that the leader hasn't heard for this long is removed: the member lease of 2 s,
    /// which the member counts from an earlier moment, plus 1% drift.
    std::chrono::milliseconds silence{2'020};
    /// New members are gathered for this long after an epoch, since each epoch makes every home
    /// and owner exchange reports.
    std::chrono::milliseconds gather{300};
};

/// Decides on the leader which hosts belong to the membership epoch. A decision object without
/// clocks or I/O.
class epoch_planner {
public:
    explicit epoch_planner(epoch_timing timing = {}) : m_timing{timing} {}

    /// This host became the leader. Every present member counts as heard until `granted_until`: an
    /// earlier leader may have renewed its lease until then.
    void start(base::time_point granted_until, const std::vector<host_run>& members);

    /// `host` asked for a renewal of its member lease.
    void heard(base::time_point now, const host_run& host, bool is_leaving);

    /// `members` came into force.
    void installed(base::time_point now);

    /// Returns the epoch that should follow the one with `members`, or nothing if it still fits.
    [[nodiscard]] std::optional<epoch_plan> plan(base::time_point now,
                                                 const std::vector<host_run>& members) const;

private:
    struct contact {
        std::uint64_t run = 0;
        base::time_point heard;
        bool is_leaving = false;
    };

    [[nodiscard]] bool is_wanted(base::time_point now, const host_run& host) const;
    [[nodiscard]] bool is_leaving(const host_run& host) const;

    epoch_timing m_timing;
    std::map<base::node_id, contact> m_contacts;
    base::time_point m_installed;
};

} // namespace lovagebeam::daemon
