#include "team_owner.h"

#include <algorithm>
#include <numeric>

namespace lovagebeam::routing {
namespace {

using base::error_code;

/// Records of ended submissions that are never acknowledged are removed after this time.
constexpr base::duration submission_retention = 60s;

std::string window_key(const proto::RoutingId& id)
{
    return id.node() + '/' + std::to_string(id.incarnation());
}

bool is_waiting(const owner_request& request)
{
    return request.phase == request_phase::waiting || request.phase == request_phase::parked ||
           request.phase == request_phase::backoff;
}

} // namespace

void team_owner::on_submit(const base::node_id& from, base::epoch number, proto::Submit&& message)
{
    const auto known = m_submissions.find(text_of(message.id()));
    if (known != m_submissions.end()) {
        reply_state(known->second);
        return;
    }
    if (refuse_early(from, number, message)) {
        return;
    }
    owner_team& team = team_of(message.team());
    const auto found = team.by_key.find(message.key());
    if (found != team.by_key.end()) {
        attach(from, message.id(), found->second);
        return;
    }
    accept(from, std::move(message), team);
}

bool team_owner::refuse_early(const base::node_id& from, base::epoch number,
                              const proto::Submit& message)
{
    if (number.value() < m_shared.members.number().value()) {
        reply_ended(from, message.id(), outcome::not_run, error_code::stale_epoch,
                    m_shared.members.remembers(number));
        return true;
    }
    if (!m_shared.members.is_joined()) {
        reply_ended(from, message.id(), outcome::not_run, error_code::stale_epoch, false);
        return true;
    }
    // Marks the number as seen, so that a later duplicate cannot be accepted after a refusal.
    const bool is_new = m_windows[window_key(message.id())].accept(message.id().number());
    if (!is_new || m_shared.members.owner_of(message.team()) != m_shared.members.self()) {
        reply_ended(from, message.id(), outcome::not_run, error_code::stale_epoch, true);
        return true;
    }
    if (!m_shared.may_act()) {
        reply_ended(from, message.id(), outcome::not_run, error_code::member_lease_lapsed, true);
        return true;
    }
    return false;
}

std::optional<error_code> team_owner::admission_error(const owner_team& team, work_class priority,
                                                      base::duration remaining) const
{
    const auto limits = m_shared.limits->team(base::team_id{team.name});
    const auto index = static_cast<std::size_t>(priority);
    if (remaining <= base::duration::zero()) {
        return error_code::deadline_passed;
    }
    if (team.waiting.at(index) >= limits.queue_limit ||
        m_requests.size() >= m_shared.settings.stored_result_limit) {
        return error_code::queue_full;
    }
    if (limits.upper_limit_slots == 0) {
        return error_code::team_limit_reached;
    }
    const std::uint64_t ahead =
        std::accumulate(team.waiting.begin(), team.waiting.begin() + index + 1, std::uint64_t{0});
    const auto slots =
        std::max<std::uint32_t>(1, std::min(team.outstanding, limits.upper_limit_slots));
    const double wait_us = static_cast<double>(ahead) * team.mean_service_us.at(index) / slots;
    if (wait_us * 1000.0 > static_cast<double>(remaining.count())) {
        return error_code::deadline_too_short;
    }
    return std::nullopt;
}

void team_owner::accept(const base::node_id& from, proto::Submit&& message, owner_team& team)
{
    const auto priority = static_cast<work_class>(std::min(message.priority(), 2U));
    const auto limits = m_shared.limits->team(base::team_id{team.name});
    const auto remaining =
        std::min<base::duration>(from_ms(message.remaining_ms()), limits.max_deadline);
    if (const auto code = admission_error(team, priority, remaining)) {
        reply_ended(from, message.id(), outcome::not_run, *code, true);
        return;
    }
    const serial number = add_request(team, message.key());
    owner_request& request = m_requests.at(number);
    request.work_key = message.work_key();
    request.priority = priority;
    request.is_repeatable = message.repeatable();
    request.has_caller_key = message.has_caller_key();
    request.deadline = m_shared.now + remaining;
    request.body = std::move(*message.mutable_body());
    m_timers.add(request.deadline, number);
    attach(from, message.id(), number);
    enqueue(number, request, false);
    dispatch_waiting(team);
}

serial team_owner::add_request(owner_team& team, const std::string& key)
{
    const serial number = m_next_serial++;
    owner_request& request = m_requests[number];
    request.team = &team;
    request.key = key;
    team.by_key[key] = number;
    return number;
}

owner_team& team_owner::team_of(const std::string& name)
{
    auto& team = m_teams[name];
    if (!team) {
        team = std::make_unique<owner_team>();
        team->name = name;
        team->is_owned = m_shared.members.owner_of(name) == m_shared.members.self();
        team->is_ready = team->is_owned && m_is_complete && m_shared.now >= m_held_until;
    }
    return *team;
}

void team_owner::attach(const base::node_id& from, const proto::RoutingId& id, serial number)
{
    const std::string text = text_of(id);
    submission& item = m_submissions[text];
    owner_request& request = m_requests.at(number);
    item.id = id;
    item.entry = from;
    item.request = number;
    item.expires = std::max(request.deadline, m_shared.now) + submission_retention;
    request.submissions.push_back(text);
    m_submission_timers.add(item.expires, text);
    reply_state(item);
}

void team_owner::reply_state(const submission& item)
{
    if (item.request == 0) {
        reply_ended(item.entry, item.id, outcome::not_run, item.code, true);
        return;
    }
    const owner_request& request = m_requests.at(item.request);
    if (request.phase == request_phase::done) {
        send_result(item, request);
        return;
    }
    proto::RoutingMessage message;
    *message.mutable_submit_accepted()->mutable_id() = item.id;
    m_shared.send(item.entry, std::move(message));
}

void team_owner::reply_ended(const base::node_id& to, const proto::RoutingId& id, outcome result,
                             error_code code, bool is_refused)
{
    proto::RoutingMessage message;
    auto& ended = *message.mutable_submit_ended();
    *ended.mutable_id() = id;
    ended.set_outcome(static_cast<std::uint32_t>(result));
    ended.set_code(std::string{base::name_of(code)});
    ended.set_refused(is_refused);
    m_shared.send(to, std::move(message));
}

void team_owner::send_result(const submission& item, const owner_request& request)
{
    if (request.result != outcome::completed || request.is_body_dropped) {
        const auto code = request.is_body_dropped ? error_code::not_found : request.code;
        reply_ended(item.entry, item.id, outcome::unknown, code, false);
        return;
    }
    proto::RoutingMessage message;
    auto& ended = *message.mutable_submit_ended();
    *ended.mutable_id() = item.id;
    ended.set_outcome(static_cast<std::uint32_t>(request.result));
    ended.set_body(request.body);
    ended.set_status(request.status);
    m_shared.send(item.entry, std::move(message));
}

void team_owner::on_poll(const base::node_id& from, const proto::SubmitPoll& message)
{
    const auto known = m_submissions.find(text_of(message.id()));
    if (known != m_submissions.end()) {
        reply_state(known->second);
        return;
    }
    const auto team = m_teams.find(message.team());
    if (team != m_teams.end()) {
        const auto found = team->second->by_key.find(message.key());
        if (found != team->second->by_key.end()) {
            attach(from, message.id(), found->second);
            return;
        }
    }
    const bool is_owner =
        m_shared.may_act() && m_shared.members.owner_of(message.team()) == m_shared.members.self();
    if (is_owner && m_is_complete && m_shared.now >= m_held_until) {
        // The submission may have run under a lost owner, so its outcome is unknown.
        reply_ended(from, message.id(), outcome::unknown, error_code::not_found, false);
    }
    else if (!is_owner) {
        reply_ended(from, message.id(), outcome::unknown, error_code::stale_epoch, false);
    }
}

void team_owner::on_ended_ack(const proto::SubmitEndedAck& message)
{
    const auto found = m_submissions.find(text_of(message.id()));
    if (found == m_submissions.end()) {
        return;
    }
    const serial number = found->second.request;
    const auto request = m_requests.find(number);
    if (request == m_requests.end()) {
        m_submissions.erase(found);
        return;
    }
    if (request->second.phase != request_phase::done) {
        return;
    }
    std::erase(request->second.submissions, found->first);
    m_submissions.erase(found);
    if (!request->second.has_caller_key && request->second.submissions.empty()) {
        erase(number);
    }
}

void team_owner::on_lookup(const base::node_id& from, const proto::Lookup& message)
{
    if (!m_shared.may_act() ||
        m_shared.members.owner_of(message.team()) != m_shared.members.self()) {
        return;
    }
    owner_team& team = team_of(message.team());
    const auto found = team.by_key.find(message.key());
    if (found == team.by_key.end() && !team.is_ready) {
        return;
    }
    proto::RoutingMessage reply;
    auto& answer = *reply.mutable_lookup_answer();
    answer.set_caller(message.caller());
    auto state = result_state::not_found;
    if (found != team.by_key.end()) {
        const owner_request& request = m_requests.at(found->second);
        state = is_waiting(request) ? result_state::waiting : result_state::running;
        if (request.phase == request_phase::done) {
            const bool has_answer =
                request.result == outcome::completed && !request.is_body_dropped;
            state = has_answer ? result_state::completed : result_state::unknown;
            answer.set_body(request.body);
            answer.set_status(request.status);
            answer.set_code(has_answer ? "" : std::string{base::name_of(request.code)});
        }
    }
    answer.set_state(static_cast<std::uint32_t>(state));
    m_shared.send(from, std::move(reply));
}

void team_owner::expire_request(serial number, owner_request& request)
{
    auto code = error_code::deadline_passed;
    if (request.phase == request_phase::parked) {
        code = error_code::work_key_busy;
    }
    else if (m_homes.empty()) {
        code = error_code::no_target;
    }
    decrement_waiting(request);
    finish(number, request, outcome::not_run, code);
}

void team_owner::finish(serial number, owner_request& request, outcome result, error_code code)
{
    request.phase = request_phase::done;
    request.result = result;
    request.code = code;
    answer_submissions(number, request);
}

void team_owner::answer_submissions(serial number, owner_request& request)
{
    const bool is_not_run = request.result == outcome::not_run;
    for (const auto& text : request.submissions) {
        const auto found = m_submissions.find(text);
        if (found == m_submissions.end()) {
            continue;
        }
        if (is_not_run) {
            found->second.request = 0;
            found->second.code = request.code;
        }
        reply_state(found->second);
    }
    if (is_not_run) {
        request.submissions.clear();
        erase(number);
        return;
    }
    store(number, request);
}

void team_owner::store(serial number, owner_request& request)
{
    const auto retention = m_shared.limits->team(base::team_id{request.team->name});
    request.expires =
        m_shared.now + (request.has_caller_key ? base::duration{retention.result_retention}
                                               : submission_retention);
    m_timers.add(request.expires, number);
    m_stored.push_back(number);
    m_stored_bytes += request.body.size();
    while (m_stored_bytes > m_shared.settings.stored_bytes_limit && !m_stored.empty()) {
        const auto oldest = m_requests.find(m_stored.front());
        m_stored.pop_front();
        if (oldest != m_requests.end()) {
            // The record is retained, so that a repeated request does not run the work again.
            m_stored_bytes -= oldest->second.body.size();
            std::string{}.swap(oldest->second.body);
            oldest->second.is_body_dropped = true;
        }
    }
}

void team_owner::erase(serial number)
{
    const auto found = m_requests.find(number);
    owner_request& request = found->second;
    if (request.phase == request_phase::done && request.result != outcome::not_run) {
        m_stored_bytes -= request.body.size();
        if (!m_stored.empty() && m_stored.front() == number) {
            m_stored.pop_front();
        }
    }
    for (const auto& text : request.submissions) {
        m_submissions.erase(text);
    }
    const auto key = request.team->by_key.find(request.key);
    if (key != request.team->by_key.end() && key->second == number) {
        request.team->by_key.erase(key);
    }
    m_by_attempt.erase(request.attempt);
    m_requests.erase(found);
}

std::size_t team_owner::waiting_count() const
{
    std::size_t sum = 0;
    for (const auto& [name, team] : m_teams) {
        sum += std::accumulate(team->waiting.begin(), team->waiting.end(), std::size_t{0});
    }
    return sum;
}

std::size_t team_owner::outstanding_count() const
{
    std::size_t sum = 0;
    for (const auto& [name, team] : m_teams) {
        sum += team->outstanding;
    }
    return sum;
}

bool team_owner::is_idle() const
{
    return waiting_count() == 0 && outstanding_count() == 0 && m_submissions.empty();
}

void team_owner::refuse_unready(const base::node_id& from, const proto::Submit& message)
{
    if (m_shared.members.is_joined() &&
        m_windows[window_key(message.id())].accept(message.id().number())) {
        reply_ended(from, message.id(), outcome::not_run, error_code::epoch_not_ready, true);
    }
}

} // namespace lovagebeam::routing
