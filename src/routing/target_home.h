#pragma once

#include "lovagebeam/routing/events.h"

#include "context.h"
#include "fair_queue.h"
#include "home_records.h"
#include "replay_window.h"
#include "target_registry.h"
#include "timer_queue.h"

#include <map>

namespace lovagebeam::routing {

/// The component of a router that is the home of targets. It alone sends to them, manages their
/// slots and connections, fences them and ejects outliers.
class target_home {
public:
    target_home(context& shared, target_registry& registry) : m_shared{shared}, m_registry{registry}
    {
    }

    // Messages from owners.
    void on_dispatch(const base::node_id& from, base::epoch number, proto::Dispatch&& message);
    void on_proceed(const base::node_id& from, const proto::Proceed& message);
    void on_poll(const base::node_id& from, base::epoch number, const proto::AttemptPoll& message);
    void on_ended_ack(const base::node_id& from, const proto::AttemptEndedAck& message);
    void on_resolve(const base::node_id& from, const proto::Resolve& message);

    // Events of targets.
    void on_announcement(const proto::TargetAnnouncement& message);
    void on_attempt_ended(attempt_ended&& ended);
    void on_fence_answered(const fence_answered& answer);
    void on_query_answered(query_answered&& answer);
    void on_limits_changed();

    // Messages from other members.
    void on_targets_ack(const base::node_id& from, const proto::HomeTargetsAck& message);

    /// Starts a new epoch: ends attempts that were not sent and takes over targets that moved here.
    void on_epoch_installed();
    void add_target(const target_info& info, bool is_confirmed);
    /// Called when every member has listed the targets that it knows.
    void on_all_targets_known();
    /// Whether every target is fenced, retained or confirmed, or the fence timeout has passed.
    [[nodiscard]] bool is_report_ready() const;
    /// Returns the targets of this home that are neither fenced nor confirmed in this epoch.
    [[nodiscard]] std::vector<std::string> unconfirmed_targets() const;
    /// Adds the attempts of the teams of `owner` that may be running at targets.
    void fill_report(const base::node_id& owner, proto::EpochReport& report) const;
    /// Adds the known targets whose current home is `home`.
    void fill_targets(const base::node_id& home, proto::EpochTargets& message) const;
    /// Called when all reports have arrived; new work may start.
    void on_reports_complete();
    /// Notifies all members immediately that this host accepts no new work and will leave.
    void announce_leaving();
    void on_tick();

    [[nodiscard]] std::size_t waiting_count() const { return m_waiting; }
    [[nodiscard]] std::size_t running_count() const;
    [[nodiscard]] std::size_t ejected_count() const;
    [[nodiscard]] std::size_t target_count() const;
    /// Whether no attempt is open or waits for the delivery of its end.
    [[nodiscard]] bool is_idle() const;

private:
    // Attempts.
    [[nodiscard]] std::optional<base::error_code> admission_error(const proto::Dispatch& message,
                                                                  base::epoch number) const;
    home_attempt& add_attempt(const base::node_id& from, proto::Dispatch&& message);
    void send_state(const base::node_id& to, const home_attempt& attempt);
    void schedule();
    struct choice {
        home_target* target = nullptr;
        std::uint32_t slots = 0;
        std::uint32_t free_slots = 0;
    };
    choice choose_target(bool is_retry);
    [[nodiscard]] bool is_usable(const home_target& target) const;
    void assign(home_attempt& attempt, const std::string& id, home_target& target);
    void start(home_attempt& attempt, home_target& target);
    void take_slot(home_attempt& attempt, home_target& target);
    void release_slot(home_attempt& attempt);
    void end(home_attempt& attempt, outcome result, base::error_code code, std::string&& body,
             std::uint32_t status);
    void push_end(home_attempt& attempt);
    void send_end(const base::node_id& to, home_attempt& attempt);
    void advance(const std::string& id);
    void advance_open(home_attempt& attempt);
    void advance_ended(const std::string& id, home_attempt& attempt);
    void set_timer(home_attempt& attempt, base::time_point at);
    void query(home_attempt& attempt);
    void handle_state(home_attempt& attempt, query_answered&& answer);

    // Targets.
    void adopt(const running_attempt& running, const std::string& target);
    void fence_targets();
    void fence(const std::string& id, home_target& target);
    void record_health(home_target& target, bool is_success);
    [[nodiscard]] std::size_t ejection_quota() const;
    void send_targets();
    void send_status();
    void remove_inactive_targets();

    context& m_shared;
    target_registry& m_registry;
    std::map<std::string, home_target> m_targets;
    std::unordered_map<std::string, home_attempt> m_attempts;
    std::unordered_map<std::string, replay_window> m_windows; ///< By sending host and instance.
    fair_queue m_queue;
    std::size_t m_waiting = 0;
    timer_queue<std::string> m_timers;
    bool m_is_complete = false;
    base::time_point m_installed_at;
    base::time_point m_fencing_since = base::time_point::max();
    std::uint64_t m_registered_version = 0; ///< Version of the target list that every member has.
    std::uint64_t m_targets_version = 0;
    std::map<base::node_id, std::uint64_t, node_order> m_targets_acked;
    std::uint64_t m_status_number = 0;
    base::time_point m_next_status;
    base::time_point m_next_targets;
};

} // namespace lovagebeam::routing
