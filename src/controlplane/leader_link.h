#pragma once

#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/targets/http_client.h"

#include "controlplane.pb.h"
#include "decision_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// An entry process's link to the leader of the core: finds it, tells it several times a second
/// that this entry process is there, and passes callers' requests on. Not thread-safe; lives on
/// the decisions thread.
class leader_link {
public:
    /// How a passed request ended.
    struct outcome {
        enum class kind {
            answered,
            not_run, ///< no leader took it; it will never take effect
            unknown, ///< it may have taken effect, or may still
        };
        kind how = kind::not_run;
        proto::controlplane::CallerAnswer answer;
    };
    using done = std::function<void(outcome)>;

    leader_link(const settings::process_settings& settings, targets::http_client& client,
                daemon::decision_loop& loop);

    void tick(base::time_point now);

    /// Passes the call to the leader, again and to a new leader where needed, until `deadline`.
    /// Gives up earlier when nothing was sent and no leader shows up.
    void pass(base::time_point now, proto::controlplane::CallerCall call, base::time_point deadline,
              done finished);

    /// Whether a leader confirmed this entry process lately.
    [[nodiscard]] bool is_connected(base::time_point now) const;
    [[nodiscard]] const std::string& leader() const { return m_leader; }

private:
    struct passed_call {
        proto::controlplane::CallerCall call;
        base::time_point deadline;
        base::time_point waiting_since; ///< without anything sent
        bool maybe_run = false;
        std::uint32_t attempts = 0;
        done finished;
    };
    using shared_call = std::shared_ptr<passed_call>;

    void sync(base::time_point now);
    /// Asks another core process than the leader who leads.
    void ask_another(base::time_point now);
    void send_sync(const std::string& to);
    [[nodiscard]] bool is_leader_late(base::time_point now) const;
    void on_sync(base::time_point now, const std::string& asked,
                 const std::optional<proto::controlplane::SyncAnswer>& answer);
    void send(base::time_point now, const shared_call& call);
    void on_answer(base::time_point now, const shared_call& call, const std::string& asked,
                   std::optional<proto::controlplane::CallerAnswer> answer, bool maybe_sent);
    void wait(const shared_call& call) { m_waiting.push_back(call); }
    void send_waiting(base::time_point now);
    void set_leader(base::time_point now, const std::string& leader, std::string_view why);
    void leave(const std::string& leader);
    void give_up(const shared_call& call);

    const settings::process_settings& m_settings;
    targets::http_client& m_client;
    daemon::decision_loop& m_loop;
    std::set<std::string> m_cores;
    std::string m_leader;
    base::time_point m_confirmed;
    std::string m_denied_by; ///< the process that last said that it doesn't lead
    base::time_point m_denied_until;
    base::time_point m_next_sync;
    base::time_point m_next_question; ///< to another core process than the leader
    std::uint64_t m_next_core = 0;
    std::uint32_t m_syncs = 0;      ///< under way
    std::uint32_t m_unanswered = 0; ///< by the leader, one after the other
    std::vector<shared_call> m_waiting;
};

} // namespace lovagebeam::controlplane
