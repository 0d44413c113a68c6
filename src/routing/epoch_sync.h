#pragma once

#include "context.h"
#include "target_home.h"
#include "target_registry.h"
#include "team_owner.h"

#include <map>
#include <set>

namespace lovagebeam::routing {

/// Performs a change of the membership epoch: exchanges the known targets, waits for fencing,
/// exchanges reports of running attempts, and then lets owners and homes start new work.
class epoch_sync {
public:
    epoch_sync(context& shared, target_registry& registry, target_home& home, team_owner& owner)
        : m_shared{shared}, m_registry{registry}, m_home{home}, m_owner{owner}
    {
    }

    void on_epoch_installed();
    void on_targets(const base::node_id& from, const proto::EpochTargets& message);
    void on_targets_ack(const base::node_id& from);
    void on_report(const base::node_id& from, proto::EpochReport&& message);
    void on_report_ack(const base::node_id& from, const proto::EpochReportAck& message);
    void on_home_targets(const base::node_id& from, const proto::HomeTargets& message);
    /// A member announced that it will leave.
    void on_leaving(const base::node_id& from) { m_leaving.insert(from); }
    void on_tick();

    [[nodiscard]] bool is_complete() const { return m_is_complete; }

    /// Whether every member has acknowledged this host's report. After that, none sends it new
    /// work.
    [[nodiscard]] bool is_handed_over() const;

private:
    struct member_state {
        bool has_sent_targets = false;
        bool has_acked_targets = false;
        std::uint64_t report = 0;       ///< Version of the last report received.
        std::uint64_t acked_report = 0; ///< Version of this host's report that it acknowledged.
        std::vector<std::string> unconfirmed_targets;
    };

    void send_targets();
    void send_reports();
    void make_report();
    void check_complete();
    [[nodiscard]] bool is_waiting_for_departed() const;

    context& m_shared;
    target_registry& m_registry;
    target_home& m_home;
    team_owner& m_owner;
    std::map<base::node_id, member_state, node_order> m_members;
    std::map<base::node_id, std::uint64_t, node_order> m_list_versions;
    std::set<base::node_id, node_order> m_leaving; ///< Members that announced their departure.
    /// Hosts that left in this epoch and whose reports have not arrived.
    std::set<base::node_id, node_order> m_departed;
    std::set<base::node_id, node_order> m_departed_reported;
    base::time_point m_departed_until;
    bool m_are_targets_known = false;
    bool m_is_complete = false;
    bool m_had_unconfirmed_targets = false;
    std::uint64_t m_version = 0; ///< Of this host's report; 0 until the report is ready.
    std::vector<std::string> m_reported_unconfirmed;
    base::time_point m_next_send;
};

} // namespace lovagebeam::routing
