#pragma once

#include "context.h"
#include "target_home.h"
#include "target_registry.h"
#include "team_owner.h"

#include <map>
#include <set>

namespace lovagebeam::routing {

/// Carries out a change of the membership epoch: exchange of known targets, fencing, reports of
/// what runs, and the moment from which owners and homes may act.
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

    /// Whether every member has the report of this host. From then on none sends it new work.
    [[nodiscard]] bool is_handed_over() const;

private:
    struct member_state {
        bool has_sent_targets = false;
        bool has_acked_targets = false;
        std::uint64_t report = 0;       ///< Version of the last one that arrived.
        std::uint64_t acked_report = 0; ///< Of ours.
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
    std::set<base::node_id, node_order> m_leaving; ///< Members that announced that they will leave.
    std::set<base::node_id, node_order>
        m_departed; ///< Left with this epoch; their reports are still missing.
    std::set<base::node_id, node_order> m_departed_reported;
    base::time_point m_departed_until;
    bool m_are_targets_known = false;
    bool m_is_complete = false;
    bool m_had_unconfirmed_targets = false;
    std::uint64_t m_version = 0; ///< Of our report; 0 until it can be made.
    std::vector<std::string> m_reported_unconfirmed;
    base::time_point m_next_send;
};

} // namespace lovagebeam::routing
