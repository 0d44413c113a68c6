#pragma once

#include "lovagebeam/routing/limits.h"
#include "lovagebeam/state/cell_state.h"

#include <map>

namespace lovagebeam::daemon {

/// Provides the router with the effective settings from the replicated state. Results are cached
/// until the configuration version changes, since each lookup scans all exceptions.
class state_limits_source : public routing::limits_source {
public:
    explicit state_limits_source(const state::cell_state& cell) : m_cell{cell} {}

    [[nodiscard]] routing::team_limits team(const base::team_id& team) const override;
    [[nodiscard]] bool is_target_draining(const base::target_id& target) const override;
    [[nodiscard]] bool is_host_draining(const base::node_id& host) const override;
    [[nodiscard]] std::chrono::milliseconds longest_deadline() const override;

private:
    void clear_stale_cache() const;

    const state::cell_state& m_cell;
    mutable base::config_version m_cached_version;
    mutable std::map<base::team_id, routing::team_limits> m_teams;
    mutable std::map<base::target_id, bool> m_draining_targets;
};

} // namespace lovagebeam::daemon
