#pragma once

#include "lovagebeam/consensus/repair_planner.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/targets/http_client.h"

#include "controlplane.pb.h"
#include "decision_loop.h"
#include "peer_links.h"
#include "replication.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// Keeps the core processes together: a process says hello to the leader, which adds it to the
/// group and replaces lost voters; each process dials those that it knows. A core process is
/// identified by the IP address of its host. Not thread-safe; lives on the decisions thread.
class core_group {
public:
    /// `founders` are the first voters, if this process was among them.
    core_group(const settings::process_settings& settings, std::vector<std::string> founders,
               consensus::member identity, daemon::replication& log, daemon::peer_links& links,
               targets::http_client& client, daemon::decision_loop& loop);

    void tick(base::time_point now);
    proto::controlplane::CoreHelloAnswer on_hello(base::time_point now,
                                                  const proto::controlplane::CoreHello& message);

    /// Addresses of the core processes that this one knows.
    [[nodiscard]] std::vector<std::string> cores() const;
    /// Addresses of the other core processes that may call workers for the leader: those with a
    /// disk, whose hosts are as large as the leader's.
    [[nodiscard]] std::vector<std::string> relays(base::time_point now) const;
    /// Address of the leader as far as known; empty otherwise.
    [[nodiscard]] std::string leader(base::time_point now) const;

private:
    struct heard_core {
        consensus::member identity;
        base::failure_domain domain;
        bool is_durable = false;
        base::time_point heard;
    };

    void say_hello(base::time_point now);
    void on_hello_answer(base::time_point now, const std::string& asked,
                         const proto::controlplane::CoreHelloAnswer& answer);
    void update_peers();
    void plan_members(base::time_point now);
    [[nodiscard]] bool add_missing_learner(base::time_point now);
    [[nodiscard]] bool remove_silent_learner(base::time_point now);
    [[nodiscard]] bool is_member(const base::node_id& id) const;
    [[nodiscard]] consensus::repair_view repair_view(base::time_point now) const;

    void look_for_founders(base::time_point now);

    const settings::process_settings& m_settings;
    std::vector<std::string> m_founders;
    std::map<std::string, bool> m_durable; ///< of the hosts that were heard at the first start
    base::time_point m_started;
    consensus::member m_identity;
    daemon::replication& m_log;
    daemon::peer_links& m_links;
    targets::http_client& m_client;
    daemon::decision_loop& m_loop;
    consensus::repair_planner m_planner;
    std::set<std::string> m_seeds;
    std::map<base::node_id, heard_core> m_heard;
    std::set<std::string> m_told; ///< cores that another process named
    std::string m_told_leader;
    base::time_point m_told_at;
    std::set<std::string> m_dialled;
    std::uint64_t m_next_core = 0;
    base::time_point m_last_hello;
    base::time_point m_last_plan;
    base::time_point m_leading_since;
    base::node_id m_previous_leader; ///< the last one besides this process
    bool m_is_leading = false;
};

} // namespace lovagebeam::controlplane
