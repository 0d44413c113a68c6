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

/// Renews this host's member lease with the leader and, on the leader, manages the membership epoch
/// and the set of voters. Not thread-safe; used on the decisions thread only.
class membership {
public:
    /// Called when the leader has confirmed this host's lease. `request_sent_at` is when this host
    /// sent the request. The local state includes everything that was committed by that time.
    using confirmation_handler =
        std::function<void(base::time_point now, base::time_point request_sent_at)>;

    membership(const settings::daemon_settings& settings, consensus::member identity,
               std::uint64_t run, peer_sender& sender, replication& log,
               confirmation_handler on_confirmed);

    void tick(base::time_point now);
    void on_role_changed(base::time_point now, const consensus::role_change& change);
    void on_epoch_installed(base::time_point now);
    void on_hello(base::time_point now, const base::node_id& from, const proto::Hello& message);
    void on_hello_answer(base::time_point now, const proto::HelloAnswer& message);

    /// Requests an epoch without this host in every further hello message.
    void leave() { m_is_leaving = true; }

    [[nodiscard]] std::uint64_t run() const { return m_run; }
    /// Returns whether this run of the process is a member of the current epoch.
    [[nodiscard]] bool is_joined() const;
    /// Returns whether this host is a voter under its current identity.
    [[nodiscard]] bool is_voter() const;

private:
    struct sent_hello {
        std::uint64_t sequence = 0;
        base::time_point sent_at;
    };
    struct pending_confirmation {
        base::time_point request_sent_at;
        std::uint64_t commit_index = 0;
    };
    struct reported_host {
        consensus::member identity;
        bool is_durable = false;
        base::time_point last_contact;
    };

    void send_hello(base::time_point now);
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
    confirmation_handler m_on_confirmed;
    bool m_is_leaving = false;
    epoch_planner m_planner;
    consensus::repair_planner m_repair;
    bool m_is_established = false;
    bool m_is_epoch_pending = false;
    std::uint64_t m_sequence = 0;
    base::time_point m_last_hello;
    base::time_point m_last_voter_check;
    std::deque<sent_hello> m_unanswered_hellos;
    std::deque<pending_confirmation> m_pending_confirmations;
    std::map<base::node_id, reported_host> m_reported_hosts;
};

} // namespace lovagebeam::daemon
