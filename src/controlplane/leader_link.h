#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/targets/http_client.h"

#include "controlplane.pb.h"
#include "decision_loop.h"
#include "internal_calls.h"
#include "retry_policy.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::controlplane {

/// An entry process's connection to the leader of the core: finds the leader, reports the presence
/// of this entry process to it several times a second, and forwards callers' requests. Not
/// thread-safe; used on the decisions thread only.
class leader_link {
public:
    /// Result of a forwarded request.
    struct outcome {
        enum class kind {
            answered,
            not_run, ///< no leader accepted it; it will never take effect
            unknown, ///< it may have taken effect, or may still do so
        };
        kind how = kind::not_run;
        proto::controlplane::CallerAnswer answer;
        std::string_view why; ///< for the log, unless answered
    };
    using done = std::function<void(outcome)>;

    leader_link(const settings::process_settings& settings, targets::http_client& client,
                daemon::decision_loop& loop);

    void tick(base::time_point now);

    /// Forwards the call to the leader, with retries, which may go to a new leader, until
    /// `deadline`. Gives up earlier when nothing was sent and no leader answers, when too many
    /// calls wait already, or when the call may not be sent again.
    void forward(base::time_point now, proto::controlplane::CallerCall call,
                 base::time_point deadline, done on_finished);

    /// Whether a leader has answered a sync within the confirmation timeout.
    [[nodiscard]] bool is_connected(base::time_point now) const;
    [[nodiscard]] const std::string& leader() const { return m_leader; }

private:
    struct forwarded_call {
        proto::controlplane::CallerCall call;
        base::time_point deadline;
        base::time_point received_at;
        bool may_have_run = false;
        std::uint32_t attempts = 0;
        std::uint32_t failures = 0;  ///< in a row, to send the call
        base::time_point sent_at;    ///< of the last attempt
        base::time_point not_before; ///< of the next attempt
        done on_finished;
    };
    using shared_call = std::shared_ptr<forwarded_call>;

    void sync(base::time_point now);
    /// Asks a core process other than the leader for the leader's address.
    void query_other_core(base::time_point now);
    void send_sync(const std::string& to, std::uint32_t& pending);
    [[nodiscard]] bool is_leader_late(base::time_point now) const;
    /// Whether calls are held back because there is no leader or it doesn't answer syncs.
    [[nodiscard]] bool is_leader_silent(base::time_point now) const;
    void on_sync(base::time_point now, const std::string& queried,
                 const std::optional<proto::controlplane::SyncAnswer>& answer);
    void send(base::time_point now, const shared_call& call);
    void on_answer(base::time_point now, const shared_call& call, const std::string& queried,
                   std::optional<proto::controlplane::CallerAnswer> answer, call_failure failure);
    void finish(const shared_call& call, proto::controlplane::CallerAnswer answer);
    /// Decides what becomes of a call that got no conclusive answer.
    void retry(base::time_point now, const shared_call& call, const std::string& queried,
               bool is_answered, call_failure failure);
    void enqueue(const shared_call& call) { m_waiting.push_back(call); }
    void send_waiting(base::time_point now);
    /// Writes one line about the calls of the last second, if any got no answer, and one about the
    /// search for the leader, if none has confirmed itself.
    void write_report(base::time_point now);
    void set_leader(base::time_point now, const std::string& leader, std::string_view why);
    void close_connections(const std::string& leader);
    void give_up(const shared_call& call, std::string_view why);

    const settings::process_settings& m_settings;
    targets::http_client& m_client;
    daemon::decision_loop& m_loop;
    std::set<std::string> m_cores;
    std::string m_leader;
    base::time_point m_last_confirmation;
    std::string m_denied_by; ///< the process that last refused a call as not the leader
    base::time_point m_denied_until;
    base::time_point m_next_sync;
    base::time_point m_next_query; ///< to a core process other than the leader
    std::uint64_t m_next_core = 0;
    std::uint32_t m_pending_syncs = 0;   ///< without an answer yet
    std::uint32_t m_pending_queries = 0; ///< to core processes other than the leader
    std::vector<shared_call> m_waiting;
    std::size_t m_pending_calls = 0; ///< waiting or sent
    retry_policy m_retries;
    base::random_source m_random;

    /// Calls to the leader since the last report.
    struct call_counts {
        std::uint64_t sent = 0;
        std::uint64_t resent = 0; ///< among `sent`, other than for the first time
        std::uint64_t unanswered =
            0;                       ///< sent without a usable answer; the leader may have got them
        std::uint64_t unreached = 0; ///< not sent: no connection
        std::uint64_t given_up = 0;
        std::uint64_t syncs = 0;
        std::uint64_t syncs_unanswered = 0;
        std::uint64_t syncs_without_leader = 0; ///< answered by a process that knows no leader
    };
    call_counts m_counts;
    std::string m_last_answered_by;  ///< the process that answered the last sync
    std::string m_last_named_leader; ///< in that answer
    base::time_point m_last_report;
};

} // namespace lovagebeam::controlplane
