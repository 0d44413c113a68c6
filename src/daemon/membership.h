#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/repair_planner.h"
#include "lovagebeam/settings/daemon_settings.h"

#include "cluster.pb.h"
#include "epoch_planner.h"
#include "ports.h"
#include "replication.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lovagebeam::daemon {

/// Keeps this host's member lease with the leader and, on the leader, the membership epoch and the
/// voters. Not thread-safe; lives on the decisions thread.
class membership {
public:
    /// Called when the leader confirmed this host's lease: `asked_at` is when this host asked. The
    /// state applied here held, at `asked_at`, everything that was committed by then.
    using confirmed = std::function<void(base::time_point now, base::time_point asked_at)>;

    membership(const settings::daemon_settings& settings, consensus::member identity,
               std::uint64_t run, peer_sender& sender, replication& log, confirmed on_confirmed);

    void tick(base::time_point now);
    void on_role_changed(base::time_point now, const consensus::role_change& change);
    void on_epoch_installed(base::time_point now);
    void on_hello(base::time_point now, const base::node_id& from, const proto::Hello& message);
    void on_hello_answer(base::time_point now, const proto::HelloAnswer& message);

    /// Asks for an epoch without this host from now on.
    void leave() { m_is_leaving = true; }

    [[nodiscard]] std::uint64_t run() const { return m_run; }
    /// Tells whether the present epoch has this run of the process as a member.
    [[nodiscard]] bool is_joined() const;
    /// Tells whether this host votes under its present identity.
    [[nodiscard]] bool is_voter() const;

private:
    struct asked {
        std::uint64_t sequence = 0;
        base::time_point at;
    };
    struct unconfirmed {
        base::time_point asked_at;
        std::uint64_t commit_index = 0;
    };
    struct host_disk {
        consensus::member identity;
        bool is_durable = false;
        base::time_point heard;
    };

    void say_hello(base::time_point now);
    void confirm_as_leader(base::time_point now);
    void confirm_applied(base::time_point now);
    void plan_epoch(base::time_point now);
    void plan_voters(base::time_point now);
    [[nodiscard]] bool add_missing_learner(base::time_point now);
    [[nodiscard]] consensus::repair_view repair_view(base::time_point now) const;
    [[nodiscard]] std::vector<host_run> members() const;

    const settings::daemon_settings& m_settings;
    consensus::member m_identity;
    std::uint64_t m_run;
    peer_sender& m_sender;
    replication& m_log;
    confirmed m_on_confirmed;
    bool m_is_leaving = false;
    epoch_planner m_planner;
    consensus::repair_planner m_repair;
    bool m_is_established = false;
    bool m_is_epoch_pending = false;
    std::uint64_t m_sequence = 0;
    base::time_point m_last_hello;
    base::time_point m_last_voter_plan;
    std::deque<asked> m_asked;
    std::deque<unconfirmed> m_unconfirmed;
    std::map<base::node_id, host_disk> m_disks;
};

} // namespace lovagebeam::daemon
