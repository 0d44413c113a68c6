#include "leader_link.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/telemetry/log.h"

#include "internal_calls.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::milliseconds sync_interval{450};
constexpr std::chrono::milliseconds search_interval{60};
constexpr std::chrono::milliseconds sync_timeout{600};
constexpr std::uint32_t max_pending_syncs = 3;
constexpr std::uint32_t max_pending_queries = 4;
/// A leader without a confirmation for this long may have failed, so the other core processes are
/// queried. The sync interval plus several times the usual response time.
constexpr std::chrono::milliseconds late_leader_threshold{600};
/// Interval of the queries to other core processes while the leader is late. Several times the
/// usual response time.
constexpr std::chrono::milliseconds query_interval{150};
/// An entry process counts as connected for this long after the leader's last confirmation.
constexpr std::chrono::milliseconds confirmation_timeout{1'500};
/// No calls are sent to a leader without a confirmation for this long, twice the sync interval: it
/// may be gone, or have more load than it can serve.
constexpr std::chrono::milliseconds silent_leader_threshold{900};
/// Further calls are refused at once. Far more than an entry process has on their way to a leader
/// that answers.
constexpr std::size_t max_pending_calls = 256;
/// A process that refused a call as not the leader isn't used for this long, about the time of an
/// election, because other processes may still report it as the leader.
constexpr std::chrono::milliseconds denial_period{300};
constexpr unsigned status_bad_request = 400;
/// Longer than an election. A longer wait for a leader would only delay the caller's retry.
constexpr std::chrono::milliseconds leaderless_timeout{900};
constexpr std::chrono::seconds report_interval{1};
/// Subtracted from the caller's deadline, so that the final answer reaches the caller in time.
constexpr std::chrono::milliseconds answer_margin{60};

} // namespace

leader_link::leader_link(const settings::process_settings& settings, targets::http_client& client,
                         daemon::decision_loop& loop)
    : m_settings{settings}, m_client{client}, m_loop{loop}, m_random{std::hash<std::string>{}(
                                                                settings.address)}
{
    for (const auto& seed : settings.seeds) {
        m_cores.insert(seed.address);
    }
}

bool leader_link::is_connected(base::time_point now) const
{
    return m_last_confirmation != base::time_point{} &&
           now - m_last_confirmation < confirmation_timeout;
}

void leader_link::tick(base::time_point now)
{
    if (now >= m_next_sync && m_pending_syncs < max_pending_syncs) {
        sync(now);
    }
    if (is_leader_late(now) && now >= m_next_query && m_pending_queries < max_pending_queries) {
        query_other_core(now);
    }
    send_waiting(now);
    if (now - m_last_report >= report_interval) {
        write_report(now);
    }
}

void leader_link::write_report(base::time_point now)
{
    m_last_report = now;
    const auto last = std::exchange(m_counts, {});
    if (!is_connected(now)) {
        log_event{severity::info, "leader_search"}
            .with("leader", m_leader)
            .with("known", absl::StrJoin(m_cores, ","))
            .with("syncs", last.syncs)
            .with("unanswered", last.syncs_unanswered)
            .with("without_leader", last.syncs_without_leader)
            .with("pending", m_pending_syncs + m_pending_queries)
            .with("last_answered_by", m_last_answered_by)
            .with("named_leader", m_last_named_leader)
            .write();
    }
    if (last.resent + last.unanswered + last.unreached + last.syncs_unanswered == 0) {
        return;
    }
    log_event{severity::info, "leader_calls"}
        .with("leader", m_leader)
        .with("sent", last.sent)
        .with("resent", last.resent)
        .with("unanswered", last.unanswered)
        .with("unreached", last.unreached)
        .with("given_up", last.given_up)
        .with("syncs_unanswered", last.syncs_unanswered)
        .with("waiting", m_waiting.size())
        .write();
}

bool leader_link::is_leader_late(base::time_point now) const
{
    return !m_leader.empty() && now - m_last_confirmation >= late_leader_threshold;
}

bool leader_link::is_leader_silent(base::time_point now) const
{
    return m_leader.empty() || now - m_last_confirmation >= silent_leader_threshold;
}

void leader_link::sync(base::time_point now)
{
    m_next_sync = now + (m_leader.empty() ? search_interval : sync_interval);
    if (!m_leader.empty()) {
        send_sync(m_leader, m_pending_syncs);
    }
    else if (!m_cores.empty()) {
        send_sync(*std::next(m_cores.begin(),
                             static_cast<std::ptrdiff_t>(m_next_core++ % m_cores.size())),
                  m_pending_syncs);
    }
}

void leader_link::query_other_core(base::time_point now)
{
    m_next_query = now + query_interval;
    std::vector<std::string> others;
    std::ranges::remove_copy(m_cores, std::back_inserter(others), m_leader);
    if (!others.empty()) {
        send_sync(others[m_next_core++ % others.size()], m_pending_queries);
    }
}

void leader_link::send_sync(const std::string& to, std::uint32_t& pending)
{
    ++pending;
    ++m_counts.syncs;
    pb::SyncRequest request;
    request.set_entry(m_settings.address);
    request.set_wall_ms(base::wall_now().time_since_epoch().count());
    post_message<pb::SyncAnswer>(
        m_client, to, core_port(m_settings), sync_path, request, sync_timeout,
        [this, to, &pending](std::optional<pb::SyncAnswer> answer, call_failure) {
            m_loop.post_completion(
                [this, to, &pending, answer = std::move(answer)](base::time_point when) {
                    --pending;
                    on_sync(when, to, answer);
                });
        },
        call_urgency::urgent);
}

void leader_link::on_sync(base::time_point now, const std::string& queried,
                          const std::optional<pb::SyncAnswer>& answer)
{
    if (!answer) {
        ++m_counts.syncs_unanswered;
        return;
    }
    m_counts.syncs_without_leader += answer->leader().empty() ? 1 : 0;
    m_last_answered_by = queried;
    m_last_named_leader = answer->leader();
    for (const auto& core : answer->cores()) {
        m_cores.insert(core);
    }
    if (answer->is_leader()) {
        m_last_confirmation = now;
        if (queried != m_leader && !m_leader.empty()) {
            close_connections(m_leader);
        }
        set_leader(now, queried, "confirmed");
        send_waiting(now);
    }
    else if (queried != m_leader && is_leader_late(now)) {
        // An answer that still names the late leader gives no new information.
        if (!answer->leader().empty() && answer->leader() != m_leader) {
            close_connections(m_leader);
            set_leader(now, answer->leader(), "told while the leader is late");
        }
    }
    else if (queried == m_leader || m_leader.empty()) {
        const bool is_denied = answer->leader() == m_denied_by && now < m_denied_until;
        const bool is_usable = answer->leader() != queried && !is_denied;
        set_leader(now, is_usable ? answer->leader() : std::string{}, "told");
    }
}

// Cancels the calls that are pending at a former leader; they are sent again to the next one.
void leader_link::close_connections(const std::string& leader)
{
    m_client.close_endpoint({leader, core_port(m_settings)});
}

void leader_link::set_leader(base::time_point now, const std::string& leader, std::string_view why)
{
    if (leader == m_leader) {
        return;
    }
    log_event{severity::info, leader.empty() ? "leader_lost" : "leader_found"}
        .with("leader", leader.empty() ? m_leader : leader)
        .with("why", why)
        .write();
    m_leader = leader;
    m_next_sync = now;
    if (!leader.empty()) {
        m_cores.insert(leader);
        m_retries.on_new_leader();
    }
}

void leader_link::forward(base::time_point now, pb::CallerCall call, base::time_point deadline,
                          done on_finished)
{
    auto next = std::make_shared<forwarded_call>();
    next->call = std::move(call);
    next->deadline = deadline - answer_margin;
    next->received_at = now;
    next->on_finished = std::move(on_finished);
    ++m_pending_calls;
    if (m_pending_calls > max_pending_calls) {
        give_up(next, "too many calls wait");
        return;
    }
    send(now, next);
}

void leader_link::send(base::time_point now, const shared_call& call)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(call->deadline - now);
    if (remaining <= std::chrono::milliseconds{0}) {
        give_up(call, "deadline");
        return;
    }
    if (is_leader_silent(now)) {
        enqueue(call);
        return;
    }
    if (call->attempts == 0) {
        m_retries.on_first_attempt();
    }
    const auto timeout = m_retries.attempt_timeout(remaining);
    call->sent_at = now;
    call->call.set_attempt(++call->attempts);
    ++m_counts.sent;
    m_counts.resent += call->attempts > 1 ? 1 : 0;
    call->call.set_remaining_ms(timeout.count());
    post_message<pb::CallerAnswer>(
        m_client, m_leader, core_port(m_settings), caller_path, call->call, timeout,
        [this, call, to = m_leader](std::optional<pb::CallerAnswer> answer, call_failure failure) {
            m_loop.post_completion(
                [this, call, to, answer = std::move(answer), failure](base::time_point when) {
                    on_answer(when, call, to, answer, failure);
                });
        });
}

void leader_link::on_answer(base::time_point now, const shared_call& call,
                            const std::string& queried, std::optional<pb::CallerAnswer> answer,
                            call_failure failure)
{
    if (answer && !answer->not_leader() && !answer->in_doubt()) {
        if (call->attempts == 1) {
            m_retries.on_answer(now - call->sent_at);
        }
        finish(call, *std::move(answer));
        return;
    }
    call->may_have_run |= answer ? answer->in_doubt() : may_have_run(failure);
    const bool is_refused = !answer && failure == call_failure::refused;
    m_counts.unreached += !answer && !may_have_run(failure) ? 1 : 0;
    m_counts.unanswered += !answer && may_have_run(failure) ? 1 : 0;
    if (queried == m_leader && (is_refused || (answer && answer->not_leader()))) {
        const std::string other =
            answer && answer->leader() != queried ? answer->leader() : std::string{};
        if (answer) {
            m_denied_by = queried;
            m_denied_until = now + denial_period;
        }
        set_leader(now, other, answer ? "doesn't lead" : "refuses connections");
    }
    retry(now, call, queried, answer.has_value(), failure);
}

void leader_link::finish(const shared_call& call, pb::CallerAnswer answer)
{
    // An earlier attempt may have been accepted before the key or queue was removed, so a refusal
    // of this attempt doesn't mean that the job was refused.
    const bool is_inconclusive =
        call->may_have_run && call->call.method() == "POST" && answer.status() > status_bad_request;
    if (is_inconclusive) {
        give_up(call, "an earlier attempt may have been accepted");
        return;
    }
    --m_pending_calls;
    call->on_finished({outcome::kind::answered, std::move(answer), {}});
}

void leader_link::retry(base::time_point now, const shared_call& call, const std::string& queried,
                        bool is_answered, call_failure failure)
{
    if (now >= call->deadline) {
        give_up(call, "deadline");
        return;
    }
    // Calls to a former leader and those that it refused go to the next one.
    if (queried != m_leader) {
        call->failures = 0;
        enqueue(call);
        return;
    }
    if (is_answered || failure == call_failure::timed_out) {
        if (!is_answered) {
            m_retries.on_timeout();
        }
        if (!m_retries.take_retry()) {
            give_up(call, "no answer");
            return;
        }
        enqueue(call);
        return;
    }
    call->not_before = now + m_retries.delay_after(call->failures++, m_random.unit());
    enqueue(call);
}

void leader_link::send_waiting(base::time_point now)
{
    const bool is_silent = is_leader_silent(now);
    for (const auto& call : std::exchange(m_waiting, {})) {
        const bool is_expired =
            !call->may_have_run && now - call->received_at >= leaderless_timeout;
        if (now >= call->deadline || (is_silent && is_expired)) {
            give_up(call, m_leader.empty() ? "no leader" : "the leader doesn't answer");
        }
        else if (now < call->not_before) {
            enqueue(call);
        }
        else {
            send(now, call);
        }
    }
}

void leader_link::give_up(const shared_call& call, std::string_view why)
{
    ++m_counts.given_up;
    --m_pending_calls;
    call->on_finished(
        {call->may_have_run ? outcome::kind::unknown : outcome::kind::not_run, {}, why});
}

} // namespace lovagebeam::controlplane
