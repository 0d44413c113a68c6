#pragma once

#include "lovagebeam/consensus/repair_planner.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/targets/http_client.h"

#include "controlplane.pb.h"
#include "core_directory.h"
#include "decision_loop.h"
#include "peer_links.h"
#include "replication.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// Manages the membership of the core group. Each process sends hello messages to the leader, which
/// adds it to the group and replaces lost voters. Every process, the leader included, also sends
/// them to all others that it knows in turn, so that a process that knows only processes without a
/// copy of the state finds the group. Those with a disk connect to each other. A core process is
/// identified by the IP address of its host. Not thread-safe; used on the decisions thread only.
class core_group {
public:
    /// `initial_voters` is empty if this process isn't one of them.
    core_group(const settings::process_settings& settings, std::vector<std::string> initial_voters,
               consensus::member identity, daemon::replication& log, daemon::peer_links& links,
               targets::http_client& client, daemon::decision_loop& loop);

    void tick(base::time_point now);
    proto::controlplane::CoreHelloAnswer on_hello(base::time_point now,
                                                  const proto::controlplane::CoreHello& message);

    /// Returns the addresses that entry processes are told, this one included. They never forget
    /// one, so none at second hand is among them.
    [[nodiscard]] std::set<std::string> cores(base::time_point now) const
    {
        return m_directory.confirmed_or_recorded(now);
    }
    /// Sets the addresses in the replicated state.
    void set_recorded_addresses(std::set<std::string> recorded)
    {
        m_directory.set_recorded_addresses(std::move(recorded));
    }
    /// Returns the addresses that the leader records in place of `recorded`: those that it knows at
    /// first hand, and at first also the recorded ones, which it may not have heard yet.
    [[nodiscard]] std::set<std::string>
    addresses_to_record(base::time_point now, const std::set<std::string>& recorded) const;
    /// Returns the addresses of the other core processes that may call workers on behalf of the
    /// leader: those with a disk, whose hosts are as large as the leader's.
    [[nodiscard]] std::vector<std::string> relays(base::time_point now) const;
    /// Returns the address of the leader; empty if unknown.
    [[nodiscard]] std::string leader(base::time_point now) const;

private:
    struct core_contact {
        consensus::member identity;
        base::failure_domain domain;
        bool is_durable = false;
        base::time_point last_contact;
    };

    /// Returns the leader of which this process is a member in contact, or itself; empty without
    /// one. Unlike `leader` it wasn't reported by others: two processes could keep such a report
    /// alive by sending it to each other.
    [[nodiscard]] std::string leader_of_group(base::time_point now) const;
    void send_hellos(base::time_point now);
    void send_hello(base::time_point now, const std::string& to);
    void on_hello_answer(base::time_point now, const std::string& queried,
                         const proto::controlplane::CoreHelloAnswer& answer);
    /// Records what another process says of the leader and of other processes.
    template <class Message>
    void on_peer_info(base::time_point now, const Message& message);
    void update_members();
    void update_peers();
    void plan_members(base::time_point now);
    [[nodiscard]] bool add_missing_learner(base::time_point now);
    [[nodiscard]] bool remove_lost_learner(base::time_point now);
    [[nodiscard]] bool is_member(const base::node_id& id) const;
    [[nodiscard]] consensus::repair_view repair_view(base::time_point now) const;

    void update_initial_voters(base::time_point now);
    /// Writes one line about the known processes, if none of them is known to lead.
    void write_report(base::time_point now);

    const settings::process_settings& m_settings;
    std::vector<std::string> m_initial_voters;
    std::map<std::string, bool>
        m_durable_by_host; ///< whether a known host has a disk; for the first start
    base::time_point m_started;
    consensus::member m_identity;
    daemon::replication& m_log;
    daemon::peer_links& m_links;
    targets::http_client& m_client;
    daemon::decision_loop& m_loop;
    consensus::repair_planner m_planner;
    core_directory m_directory;
    std::map<base::node_id, core_contact> m_contacts;
    std::string m_reported_leader;
    base::time_point m_leader_reported_at;
    std::set<std::string> m_peer_addresses;
    base::time_point m_last_hello;
    std::uint64_t m_hellos = 0;          ///< sent since the last report
    std::uint64_t m_hellos_answered = 0; ///< since the last report
    base::time_point m_last_report;
    base::time_point m_last_plan;
    base::time_point m_leading_since;
    base::node_id m_previous_leader; ///< the last leader other than this process
    bool m_is_leading = false;
};

} // namespace lovagebeam::controlplane
