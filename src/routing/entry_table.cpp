#include "entry_table.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

using base::error_code;

constexpr base::duration resend_interval = 200ms;
constexpr base::duration poll_interval = 500ms;
constexpr base::duration retry_base = 10ms;
constexpr base::duration retry_cap = 500ms;
constexpr base::duration lookup_timeout = 2s;

/// An owner that left the membership but still runs reports the ends of its accepted requests
/// within this time.
constexpr base::duration departed_owner_timeout = 1s;

/// The owner ends a waiting request at the deadline. Its message may arrive this much later before
/// the entry host reports the outcome as unknown.
constexpr base::duration answer_grace = 300ms;

bool is_retryable(error_code code)
{
    return code == error_code::stale_epoch || code == error_code::epoch_not_ready ||
           code == error_code::member_lease_lapsed;
}

} // namespace

std::optional<error_code> entry_table::admission_error(const caller_request& request) const
{
    if (request.team.empty() || (!request.repeatable && request.key.empty())) {
        return error_code::invalid_request;
    }
    if (request.timeout <= base::duration::zero()) {
        return error_code::deadline_too_short;
    }
    if (m_entries.size() >= m_shared.settings.entry_limit) {
        return error_code::queue_full;
    }
    const bool can_forward =
        !m_shared.members.members().empty() && m_shared.members.is_lease_valid(m_shared.now);
    if (!can_forward) {
        return m_shared.is_shutting_down ? error_code::shutting_down
                                         : error_code::member_lease_lapsed;
    }
    if (m_shared.is_shutting_down && m_shared.members.members().size() == 1 &&
        m_shared.members.is_member(m_shared.members.self())) {
        return error_code::shutting_down;
    }
    return std::nullopt;
}

void entry_table::on_request(caller_request&& request)
{
    if (const auto code = admission_error(request)) {
        m_shared.emit(answer_caller{request.caller, outcome::not_run, code, {}, 0});
        return;
    }
    const std::uint64_t serial = m_next_serial++;
    entry& item = m_entries[serial];
    item.caller = request.caller;
    const base::duration longest = m_shared.limits->team(request.team).max_deadline;
    item.deadline = m_shared.now + std::min(request.timeout, longest);
    item.has_caller_key = !request.key.empty();
    item.request = std::move(request);
    m_by_caller[item.caller.value()] = serial;
    m_timers.add(item.deadline + answer_grace, serial);
    advance(serial);
}

void entry_table::on_caller_disconnected(caller_id caller)
{
    m_lookups.erase(caller.value());
    const auto found = m_by_caller.find(caller.value());
    if (found != m_by_caller.end()) {
        // The entry is retained until the request ends, so that the owner's record is acknowledged.
        m_entries.at(found->second).has_caller = false;
        m_by_caller.erase(found);
    }
}

void entry_table::schedule(entry& item, std::uint64_t serial, base::duration delay)
{
    item.next_at = m_shared.now + delay;
    m_timers.add(item.next_at, serial);
}

void entry_table::submit(entry& item, std::uint64_t serial)
{
    m_by_submission.erase(text_of(item.id));
    m_shared.make_id(item.id);
    m_by_submission[text_of(item.id)] = serial;
    if (!item.has_caller_key) {
        item.request.key = base::idempotency_key{"lb/" + text_of(item.id)};
    }
    item.owner = m_shared.members.owner_of(item.request.team.str());
    item.epoch = m_shared.members.number();
    item.state = phase::submitting;
    item.owner_lost_at = base::time_point::max();
    ++item.submissions;
}

void entry_table::send_submit(entry& item)
{
    proto::RoutingMessage message;
    auto& submit = *message.mutable_submit();
    *submit.mutable_id() = item.id;
    submit.set_team(item.request.team.str());
    submit.set_key(item.request.key.str());
    submit.set_work_key(item.request.work_key.str());
    submit.set_priority(static_cast<std::uint32_t>(item.request.priority));
    submit.set_remaining_ms(to_ms(item.deadline - m_shared.now));
    submit.set_repeatable(item.request.repeatable);
    submit.set_has_caller_key(item.has_caller_key);
    if (item.owner == m_shared.members.self()) {
        submit.set_body(item.request.body);
        m_shared.send(item.owner, std::move(message), item.epoch);
        return;
    }
    // The body is swapped into the message only while it is serialized, without a copy, because it
    // may have to be sent again.
    submit.mutable_body()->swap(item.request.body);
    message.set_epoch(item.epoch.value());
    m_shared.emit(send_peer{item.owner, message.SerializeAsString()});
    message.mutable_submit()->mutable_body()->swap(item.request.body);
}

void entry_table::send_poll(const entry& item, const base::node_id& to)
{
    proto::RoutingMessage message;
    auto& poll = *message.mutable_submit_poll();
    *poll.mutable_id() = item.id;
    poll.set_team(item.request.team.str());
    poll.set_key(item.request.key.str());
    m_shared.send(to, std::move(message));
}

void entry_table::advance(std::uint64_t serial)
{
    const auto found = m_entries.find(serial);
    if (found == m_entries.end()) {
        return;
    }
    entry& item = found->second;
    if (m_shared.now >= item.deadline + answer_grace ||
        (item.state == phase::idle && m_shared.now >= item.deadline)) {
        expire(found);
        return;
    }
    const bool is_owner_lost = (item.state == phase::submitting || item.state == phase::accepted) &&
                               m_shared.now >= item.owner_lost_at;
    if (is_owner_lost) {
        item.state = phase::attaching;
    }
    else if (m_shared.now < item.next_at) {
        return;
    }
    if (item.state == phase::idle) {
        if (!m_shared.members.is_lease_valid(m_shared.now) || m_shared.members.members().empty()) {
            schedule(item, serial, retry_cap);
            return;
        }
        submit(item, serial);
    }
    switch (item.state) {
    case phase::submitting:
        send_submit(item);
        schedule(item, serial, resend_interval);
        break;
    case phase::accepted:
        send_poll(item, item.owner);
        schedule(item, serial, poll_interval);
        break;
    default:
        send_poll(item, m_shared.members.owner_of(item.request.team.str()));
        schedule(item, serial, resend_interval);
        break;
    }
}

void entry_table::expire(entries::iterator found)
{
    const bool is_idle = found->second.state == phase::idle;
    finish(found, is_idle ? outcome::not_run : outcome::unknown,
           is_idle ? error_code::deadline_passed : error_code::timed_out, {}, 0);
}

void entry_table::finish(entries::iterator found, outcome result, std::optional<error_code> code,
                         std::string&& body, std::uint32_t status)
{
    entry& item = found->second;
    if (item.has_caller) {
        m_shared.emit(answer_caller{item.caller, result, code, std::move(body), status});
        m_by_caller.erase(item.caller.value());
    }
    m_by_submission.erase(text_of(item.id));
    m_entries.erase(found);
}

void entry_table::on_accepted(const proto::SubmitAccepted& message)
{
    const auto found = m_by_submission.find(text_of(message.id()));
    if (found == m_by_submission.end()) {
        return;
    }
    entry& item = m_entries.at(found->second);
    if (item.state == phase::submitting) {
        item.state = phase::accepted;
        schedule(item, found->second, poll_interval);
    }
}

void entry_table::on_ended(const base::node_id& from, proto::SubmitEnded&& message)
{
    const auto known = m_by_submission.find(text_of(message.id()));
    const bool is_final_for_owner = message.refused() || message.code().empty() ||
                                    message.outcome() == static_cast<int>(outcome::completed);
    if (known == m_by_submission.end() || is_final_for_owner) {
        proto::RoutingMessage ack;
        *ack.mutable_submit_ended_ack()->mutable_id() = message.id();
        m_shared.send(from, std::move(ack));
    }
    if (known == m_by_submission.end()) {
        return;
    }
    const auto found = m_entries.find(known->second);
    entry& item = found->second;
    const auto result = static_cast<outcome>(std::min(message.outcome(), 2U));
    const error_code code = code_from(message.code());
    if (result == outcome::completed) {
        finish(found, result, std::nullopt, std::move(*message.mutable_body()), message.status());
        return;
    }
    if (m_shared.now >= item.deadline + answer_grace) {
        // The owner may have dropped its record of the submission, so a refusal does not show that
        // it did not run.
        finish(found, outcome::unknown, error_code::timed_out, {}, 0);
        return;
    }
    if (message.refused() && is_retryable(code)) {
        // This submission was not and will not be accepted, so a new one is safe.
        item.state = phase::idle;
        schedule(item, known->second, m_shared.backoff(retry_base, item.submissions, retry_cap));
        return;
    }
    if (!message.refused() && is_retryable(code)) {
        // The answering host does not know what an earlier instance or owner did with the
        // submission.
        if (item.state != phase::attaching) {
            item.owner_lost_at = m_shared.now;
            m_timers.add(m_shared.now, known->second);
        }
        return;
    }
    finish(found, result, code, {}, 0);
}

void entry_table::on_epoch_installed()
{
    for (auto& [serial, item] : m_entries) {
        const bool is_waiting = item.state == phase::submitting || item.state == phase::accepted;
        if (is_waiting && !m_shared.members.is_member(item.owner)) {
            item.owner_lost_at =
                std::min(item.owner_lost_at, m_shared.now + departed_owner_timeout);
            m_timers.add(item.owner_lost_at, serial);
        }
    }
}

void entry_table::on_peer_lost(const base::node_id& peer)
{
    if (m_shared.members.is_member(peer)) {
        return;
    }
    for (auto& [serial, item] : m_entries) {
        if (item.owner == peer && item.state != phase::idle) {
            item.owner_lost_at = std::min(item.owner_lost_at, m_shared.now);
            m_timers.add(m_shared.now, serial);
        }
    }
}

void entry_table::on_query(const result_query& query)
{
    m_lookups[query.caller.value()] = {query, m_shared.now + lookup_timeout};
    advance_lookup(query.caller.value());
}

void entry_table::advance_lookup(std::uint64_t caller)
{
    const auto found = m_lookups.find(caller);
    if (found == m_lookups.end()) {
        return;
    }
    if (m_shared.now >= found->second.deadline) {
        m_shared.emit(answer_query{caller_id{caller}, std::nullopt, error_code::timed_out, {}, 0});
        m_lookups.erase(found);
        return;
    }
    proto::RoutingMessage message;
    auto& lookup = *message.mutable_lookup();
    lookup.set_caller(caller);
    lookup.set_team(found->second.query.team.str());
    lookup.set_key(found->second.query.key.str());
    m_shared.send(m_shared.members.owner_of(lookup.team()), std::move(message));
    m_lookup_timers.add(m_shared.now + resend_interval, caller);
}

void entry_table::on_lookup_answer(proto::LookupAnswer&& message)
{
    if (m_lookups.erase(message.caller()) == 0) {
        return;
    }
    answer_query answer{caller_id{message.caller()},
                        static_cast<result_state>(std::min(message.state(), 4U)), std::nullopt,
                        std::move(*message.mutable_body()), message.status()};
    if (!message.code().empty()) {
        answer.code = code_from(message.code());
    }
    m_shared.emit(std::move(answer));
}

void entry_table::on_tick()
{
    while (const auto serial = m_timers.pop_due(m_shared.now)) {
        advance(*serial);
    }
    while (const auto caller = m_lookup_timers.pop_due(m_shared.now)) {
        advance_lookup(*caller);
    }
}

} // namespace lovagebeam::routing
