#include "leader_link.h"

#include "lovagebeam/telemetry/log.h"

#include "internal_calls.h"

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
constexpr std::chrono::milliseconds sync_time{600};
constexpr std::uint32_t most_syncs = 3;
/// A leader that hasn't confirmed for this long may be gone, so the other core processes are asked:
/// the interval between calls and several times what an answer takes.
constexpr std::chrono::milliseconds late_leader_time{600};
/// While the leader is late, one of the others is asked this often: several times what an answer
/// takes.
constexpr std::chrono::milliseconds question_interval{150};
/// An entry process is connected this long after the leader's last confirmation.
constexpr std::chrono::milliseconds confirmation_time{1'500};
/// A call to the leader that isn't answered by then is sent again.
constexpr std::chrono::milliseconds attempt_time{1'800};
/// Calls about itself that a leader leaves unanswered one after the other before another process
/// is asked. One alone may be late because the leader is busy.
constexpr std::uint32_t unanswered_syncs = 2;
/// Others may still name a process that denied leading; it isn't believed for about the time of an
/// election.
constexpr std::chrono::milliseconds denial_time{300};
constexpr unsigned status_bad_request = 400;
/// An election takes less; a longer wait for a leader only delays the caller's next attempt.
constexpr std::chrono::milliseconds leaderless_patience{900};
/// The final answer has to reach the caller before its deadline.
constexpr std::chrono::milliseconds answer_margin{60};

} // namespace

leader_link::leader_link(const settings::process_settings& settings, targets::http_client& client,
                         daemon::decision_loop& loop)
    : m_settings{settings}, m_client{client}, m_loop{loop}
{
    for (const auto& seed : settings.seeds) {
        m_cores.insert(seed.address);
    }
}

bool leader_link::is_connected(base::time_point now) const
{
    return m_confirmed != base::time_point{} && now - m_confirmed < confirmation_time;
}

void leader_link::tick(base::time_point now)
{
    if (now >= m_next_sync && m_syncs < most_syncs) {
        sync(now);
    }
    if (is_leader_late(now) && now >= m_next_question) {
        ask_another(now);
    }
    send_waiting(now);
}

bool leader_link::is_leader_late(base::time_point now) const
{
    return !m_leader.empty() && now - m_confirmed >= late_leader_time;
}

void leader_link::sync(base::time_point now)
{
    m_next_sync = now + (m_leader.empty() ? search_interval : sync_interval);
    if (!m_leader.empty()) {
        send_sync(m_leader);
    }
    else if (!m_cores.empty()) {
        send_sync(*std::next(m_cores.begin(),
                             static_cast<std::ptrdiff_t>(m_next_core++ % m_cores.size())));
    }
}

void leader_link::ask_another(base::time_point now)
{
    m_next_question = now + question_interval;
    std::vector<std::string> others;
    std::ranges::remove_copy(m_cores, std::back_inserter(others), m_leader);
    if (!others.empty()) {
        send_sync(others[m_next_core++ % others.size()]);
    }
}

void leader_link::send_sync(const std::string& to)
{
    ++m_syncs;
    pb::SyncRequest request;
    request.set_entry(m_settings.address);
    post_message<pb::SyncAnswer>(
        m_client, to, core_port(m_settings), sync_path, request, sync_time,
        [this, to](std::optional<pb::SyncAnswer> answer, call_failure) {
            m_loop.post_completion([this, to, answer = std::move(answer)](base::time_point when) {
                on_sync(when, to, answer);
            });
        });
}

void leader_link::on_sync(base::time_point now, const std::string& asked,
                          const std::optional<pb::SyncAnswer>& answer)
{
    --m_syncs;
    if (!answer) {
        if (asked == m_leader && ++m_unanswered >= unanswered_syncs) {
            set_leader(now, {}, "no answer");
        }
        return;
    }
    if (asked == m_leader) {
        m_unanswered = 0;
    }
    for (const auto& core : answer->cores()) {
        m_cores.insert(core);
    }
    if (answer->is_leader()) {
        m_confirmed = now;
        if (asked != m_leader && !m_leader.empty()) {
            leave(m_leader);
        }
        set_leader(now, asked, "confirmed");
    }
    else if (asked != m_leader && is_leader_late(now)) {
        // Its answer may still name the late leader, which says nothing new.
        if (!answer->leader().empty() && answer->leader() != m_leader) {
            leave(m_leader);
            set_leader(now, answer->leader(), "told while the leader is late");
        }
    }
    else if (asked == m_leader || m_leader.empty()) {
        const bool is_denied = answer->leader() == m_denied_by && now < m_denied_until;
        const bool is_usable = answer->leader() != asked && !is_denied;
        set_leader(now, is_usable ? answer->leader() : std::string{}, "told");
    }
}

// Calls that wait for a former leader are cancelled here and sent again to the next one.
void leader_link::leave(const std::string& leader)
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
    m_unanswered = 0;
    m_next_sync = now;
    if (!leader.empty()) {
        m_cores.insert(leader);
        send_waiting(now);
    }
}

void leader_link::pass(base::time_point now, pb::CallerCall call, base::time_point deadline,
                       done finished)
{
    auto next = std::make_shared<passed_call>();
    next->call = std::move(call);
    next->deadline = deadline - answer_margin;
    next->waiting_since = now;
    next->finished = std::move(finished);
    send(now, next);
}

void leader_link::send(base::time_point now, const shared_call& call)
{
    if (m_leader.empty()) {
        wait(call);
        return;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call->deadline - now);
    if (left <= std::chrono::milliseconds{0}) {
        give_up(call);
        return;
    }
    ++call->attempts;
    post_message<pb::CallerAnswer>(
        m_client, m_leader, core_port(m_settings), caller_path, call->call,
        std::min(left, attempt_time),
        [this, call, to = m_leader](std::optional<pb::CallerAnswer> answer, call_failure failure) {
            m_loop.post_completion(
                [this, call, to, answer = std::move(answer), failure](base::time_point when) {
                    on_answer(when, call, to, answer, failure == call_failure::unknown);
                });
        });
}

void leader_link::on_answer(base::time_point now, const shared_call& call, const std::string& asked,
                            std::optional<pb::CallerAnswer> answer, bool maybe_sent)
{
    if (answer && !answer->not_leader() && !answer->in_doubt()) {
        // An earlier attempt may have been accepted before the key or queue went, so a refusal of
        // this one isn't the whole truth.
        const bool may_be_false = call->maybe_run && call->call.method() == "POST" &&
                                  answer->status() > status_bad_request;
        if (may_be_false) {
            give_up(call);
        }
        else {
            call->finished({outcome::kind::answered, *std::move(answer)});
        }
        return;
    }
    call->maybe_run |= answer ? answer->in_doubt() : maybe_sent;
    const bool is_unreached = !answer && !maybe_sent;
    if (asked == m_leader && (is_unreached || (answer && answer->not_leader()))) {
        const std::string other =
            answer && answer->leader() != asked ? answer->leader() : std::string{};
        if (answer) {
            m_denied_by = asked;
            m_denied_until = now + denial_time;
        }
        set_leader(now, other, answer ? "doesn't lead" : "no answer");
    }
    wait(call);
}

void leader_link::send_waiting(base::time_point now)
{
    for (const auto& call : std::exchange(m_waiting, {})) {
        const bool is_hopeless =
            !call->maybe_run && now - call->waiting_since >= leaderless_patience;
        if (now >= call->deadline || (m_leader.empty() && is_hopeless)) {
            give_up(call);
        }
        else {
            send(now, call);
        }
    }
}

void leader_link::give_up(const shared_call& call)
{
    call->finished({call->maybe_run ? outcome::kind::unknown : outcome::kind::not_run, {}});
}

} // namespace lovagebeam::controlplane
