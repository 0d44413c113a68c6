#pragma once

#include "lovagebeam/routing/events.h"

#include "context.h"
#include "owner_records.h"
#include "replay_window.h"
#include "timer_queue.h"

#include <map>
#include <memory>

namespace lovagebeam::routing {

/// The component of a router that owns teams. It holds their idempotency tables, work key locks,
/// queues and running counts, enforces their upper limits, and chooses homes for their attempts.
class team_owner {
public:
    explicit team_owner(context& shared) : m_shared{shared} {}

    void on_submit(const base::node_id& from, base::epoch number, proto::Submit&& message);
    /// Refuses a submission of an epoch that this host has not installed yet.
    void refuse_unready(const base::node_id& from, const proto::Submit& message);
    void on_poll(const base::node_id& from, const proto::SubmitPoll& message);
    void on_ended_ack(const proto::SubmitEndedAck& message);
    void on_lookup(const base::node_id& from, const proto::Lookup& message);
    void on_progress(const base::node_id& from, base::epoch number,
                     const proto::AttemptProgress& message);
    void on_attempt_ended(const base::node_id& from, base::epoch number,
                          proto::AttemptEnded&& message);
    void on_status(const base::node_id& from, const proto::HomeStatus& message);
    void on_intent_committed(const intent_committed& result);
    void on_limits_changed();
    void on_tick();

    /// Starts a new epoch: releases the teams that moved away and blocks dispatch for those that
    /// moved here until the reports are complete.
    void on_epoch_installed(std::vector<intent>&& intents);
    /// Takes over an attempt that a home reports as running.
    void adopt(const base::node_id& home, const proto::RunningAttempt& attempt);
    /// Takes over a result from its previous owner.
    void adopt_result(proto::AttemptEnded& message);
    /// Called when all reports have arrived. `has_unconfirmed_targets` is true if some target could
    /// not be fenced; then called again when no unconfirmed target is left.
    void on_reports_complete(bool has_unconfirmed_targets);
    /// Adds the results of the teams that moved from this host to `to`.
    void hand_over(const base::node_id& to, proto::EpochReport& report);

    [[nodiscard]] std::size_t team_count() const { return m_teams.size(); }
    [[nodiscard]] std::size_t waiting_count() const;
    [[nodiscard]] std::size_t outstanding_count() const;
    [[nodiscard]] std::size_t stored_count() const { return m_requests.size(); }
    /// Whether no request waits or runs and every submission has been acknowledged.
    [[nodiscard]] bool is_idle() const;

private:
    // Submissions.
    bool refuse_early(const base::node_id& from, base::epoch number, const proto::Submit& message);
    void accept(const base::node_id& from, proto::Submit&& message, owner_team& team);
    [[nodiscard]] std::optional<base::error_code>
    admission_error(const owner_team& team, work_class priority, base::duration remaining) const;
    void attach(const base::node_id& from, const proto::RoutingId& id, serial number);
    void reply_state(const submission& item);
    void reply_ended(const base::node_id& to, const proto::RoutingId& id, outcome result,
                     base::error_code code, bool is_refused);
    void send_result(const submission& item, const owner_request& request);
    void expire_request(serial number, owner_request& request);
    void finish(serial number, owner_request& request, outcome result, base::error_code code);
    void answer_submissions(serial number, owner_request& request);
    void store(serial number, owner_request& request);
    void erase(serial number);

    // Dispatching.
    owner_team& team_of(const std::string& name);
    serial add_request(owner_team& team, const std::string& key);
    void enqueue(serial number, owner_request& request, bool at_front);
    void decrement_waiting(owner_request& request);
    void dispatch_waiting(owner_team& team);
    bool dispatch_next(owner_team& team, std::size_t priority, std::uint32_t limit);
    [[nodiscard]] const base::node_id* choose_home(const owner_team& team, std::size_t priority);
    void dispatch(serial number, owner_request& request, const base::node_id& home);
    void send_dispatch(owner_request& request);
    void take_lock(serial number, owner_request& request);
    void release(serial number, owner_request& request);
    void set_waiting_at_home(owner_request& request, bool is_waiting);
    void advance(serial number);
    void advance_attempt(serial number, owner_request& request);
    void retry_or_refuse(serial number, owner_request& request, base::error_code code);
    void record_service(owner_request& request, std::uint64_t service_us);
    void handle_end(serial number, owner_request& request, proto::AttemptEnded& message);
    void release_team(owner_team& team);
    void confirm_running(serial number, owner_request& request, const base::node_id& home);
    void resolve(serial number, owner_request& request);
    void check_orphans();
    void adopt_intent(const intent& item);

    context& m_shared;
    serial m_next_serial = 1;
    std::unordered_map<serial, owner_request> m_requests;
    std::map<std::string, std::unique_ptr<owner_team>> m_teams;
    std::unordered_map<std::string, serial> m_by_attempt;
    std::unordered_map<std::string, submission> m_submissions;
    std::unordered_map<std::string, replay_window> m_windows; ///< By entry host and instance.
    std::map<base::node_id, home_view, node_order> m_homes;
    timer_queue<serial> m_timers;
    timer_queue<std::string> m_submission_timers;
    std::deque<serial> m_stored; ///< Requests with a stored body, oldest first.
    std::size_t m_stored_bytes = 0;
    bool m_is_complete = false;
    /// Teams that moved here are not dispatched before this time while a target is unconfirmed.
    base::time_point m_held_until;
    base::time_point m_orphans_at = base::time_point::max();
};

} // namespace lovagebeam::routing
