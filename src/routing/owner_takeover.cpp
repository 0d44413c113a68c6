#include "team_owner.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

using base::error_code;

constexpr base::duration resolve_interval = 300ms;

/// Live homes report the attempts of earlier epochs within this time after the reports. Attempts
/// that none has confirmed by then are orphans.
constexpr base::duration orphan_timeout = 1s;

/// Limits of one report, which keep it below the 4 MiB limit of a message between processes.
constexpr std::size_t max_handover_results = 10'000;
constexpr std::size_t max_handover_bytes = std::size_t{2} << 20U;

bool is_queued(const owner_request& request)
{
    return request.phase == request_phase::waiting || request.phase == request_phase::parked ||
           request.phase == request_phase::backoff;
}

/// Whether an entry host generated the key because the caller gave none.
bool is_generated_key(const std::string& key)
{
    return key.starts_with("lb/");
}

} // namespace

void team_owner::on_epoch_installed(std::vector<intent>&& intents)
{
    m_is_complete = false;
    m_orphans_at = base::time_point::max();
    m_homes.clear();
    for (auto& [name, team] : m_teams) {
        const bool is_owned = m_shared.members.is_joined() &&
                              m_shared.members.owner_of(name) == m_shared.members.self();
        const bool is_retained = is_owned && team->is_owned && m_shared.members.is_consecutive();
        team->is_ready = team->is_ready && is_retained;
        if (team->is_owned && !is_owned) {
            release_team(*team);
        }
        team->is_owned = is_owned;
    }
    for (const auto& item : intents) {
        adopt_intent(item);
    }
}

void team_owner::release_team(owner_team& team)
{
    team.is_owned = false;
    std::vector<serial> members;
    for (const auto& [key, number] : team.by_key) {
        members.push_back(number);
    }
    std::ranges::sort(members);
    for (const serial number : members) {
        owner_request& request = m_requests.at(number);
        if (is_queued(request)) {
            decrement_waiting(request);
            finish(number, request, outcome::not_run, error_code::stale_epoch);
        }
        else if (request.phase == request_phase::committing) {
            // The home does not send the attempt without Proceed.
            m_shared.emit(end_intent{base::team_id{team.name}, base::attempt_id{request.attempt},
                                     outcome::not_run});
            release(number, request);
            finish(number, request, outcome::not_run, error_code::stale_epoch);
        }
    }
}

void team_owner::adopt_intent(const intent& item)
{
    if (m_shared.members.owner_of(item.team.str()) != m_shared.members.self() ||
        !m_shared.members.is_joined() || m_by_attempt.contains(item.attempt.str())) {
        return;
    }
    owner_team& team = team_of(item.team.str());
    const auto found = team.by_key.find(item.key.str());
    if (found != team.by_key.end() && !is_queued(m_requests.at(found->second))) {
        return;
    }
    const serial number =
        found == team.by_key.end() ? add_request(team, item.key.str()) : found->second;
    owner_request& request = m_requests.at(number);
    if (found != team.by_key.end()) {
        decrement_waiting(request);
    }
    request.work_key = item.work_key.str();
    request.is_repeatable = false;
    request.is_adopted = true;
    request.is_intent_committed = true;
    request.attempt = item.attempt.str();
    request.target = item.target.str();
    request.phase = request_phase::resolving;
    request.next_at = m_shared.now;
    m_by_attempt[request.attempt] = number;
    m_timers.add(m_shared.now + resolve_interval, number);
}

void team_owner::resolve(serial number, owner_request& request)
{
    if (m_is_complete) {
        proto::RoutingMessage message;
        auto& resolve = *message.mutable_resolve();
        resolve.set_attempt(request.attempt);
        resolve.set_target(request.target);
        resolve.set_team(request.team->name);
        resolve.set_key(request.key);
        resolve.set_work_key(request.work_key);
        m_shared.send(m_shared.members.home_of(request.target), std::move(message));
    }
    request.next_at = m_shared.now + resolve_interval;
    m_timers.add(request.next_at, number);
}

void team_owner::adopt(const base::node_id& home, const proto::RunningAttempt& attempt)
{
    if (m_shared.members.owner_of(attempt.team()) != m_shared.members.self()) {
        return;
    }
    owner_team& team = team_of(attempt.team());
    const auto known = m_by_attempt.find(attempt.attempt());
    serial number = 0;
    if (known != m_by_attempt.end()) {
        number = known->second;
    }
    else {
        const auto found = team.by_key.find(attempt.key());
        const bool is_taken =
            found != team.by_key.end() && !is_queued(m_requests.at(found->second));
        if (found == team.by_key.end() || is_taken) {
            // A second attempt for the same key counts towards the limit and holds its work key
            // until it ends, so it gets a record of its own.
            number =
                add_request(team, is_taken ? "lb/attempt/" + attempt.attempt() : attempt.key());
        }
        else {
            number = found->second;
            decrement_waiting(m_requests.at(number));
        }
        owner_request& fresh = m_requests.at(number);
        fresh.is_adopted = true;
        fresh.has_caller_key = !is_generated_key(fresh.key);
        fresh.work_key = attempt.work_key();
        fresh.attempt = attempt.attempt();
        fresh.deadline = std::max(fresh.deadline, m_shared.now + m_shared.longest_lease());
        m_by_attempt[fresh.attempt] = number;
        fresh.phase = request_phase::dispatched;
    }
    owner_request& request = m_requests.at(number);
    if (request.phase == request_phase::done || is_queued(request)) {
        // The attempt ended after the report was made. A queued request was refused and waits for
        // its retry.
        return;
    }
    confirm_running(number, request, home);
}

void team_owner::confirm_running(serial number, owner_request& request, const base::node_id& home)
{
    owner_team& team = *request.team;
    set_waiting_at_home(request, false);
    request.phase = request_phase::dispatched;
    request.home = home;
    request.is_confirmed_by_home = true;
    request.confirmed_epoch = m_shared.members.number();
    if (!request.is_outstanding) {
        ++team.outstanding;
        request.is_outstanding = true;
        if (!request.work_key.empty() && team.locks[request.work_key].holder == 0) {
            take_lock(number, request);
        }
    }
    request.next_at = m_shared.now + resolve_interval;
    m_timers.add(request.next_at, number);
}

void team_owner::on_reports_complete(bool has_unconfirmed_targets)
{
    if (!m_is_complete) {
        m_held_until = m_shared.now + m_shared.longest_lease();
        m_is_complete = true;
    }
    if (!has_unconfirmed_targets) {
        m_held_until = m_shared.now;
    }
    m_orphans_at = std::max(m_held_until, m_shared.now + orphan_timeout);
    on_tick();
}

void team_owner::check_orphans()
{
    m_orphans_at = base::time_point::max();
    std::vector<serial> orphans;
    for (const auto& [attempt, number] : m_by_attempt) {
        const owner_request& request = m_requests.at(number);
        const bool is_open = request.phase == request_phase::dispatched ||
                             request.phase == request_phase::committing;
        if (is_open && request.team->is_owned &&
            request.attempt_epoch.value() < m_shared.members.number().value() &&
            request.confirmed_epoch.value() < m_shared.members.number().value()) {
            orphans.push_back(number);
        }
    }
    std::ranges::sort(orphans);
    for (const serial number : orphans) {
        owner_request& request = m_requests.at(number);
        release(number, request);
        if (request.phase == request_phase::committing) {
            m_shared.emit(end_intent{base::team_id{request.team->name},
                                     base::attempt_id{request.attempt}, outcome::not_run});
            retry_or_refuse(number, request, error_code::stale_epoch);
        }
        else if (!request.target.empty()) {
            request.phase = request_phase::resolving;
            resolve(number, request);
        }
        else {
            finish(number, request, outcome::unknown, error_code::not_connected);
        }
    }
    for (auto& [name, team] : m_teams) {
        dispatch_waiting(*team);
    }
}

void team_owner::on_attempt_ended(const base::node_id& from, base::epoch number,
                                  proto::AttemptEnded&& message)
{
    proto::RoutingMessage ack;
    ack.mutable_attempt_ended_ack()->set_attempt(message.attempt());
    const auto found = m_by_attempt.find(message.attempt());
    if (found != m_by_attempt.end()) {
        const serial known = found->second;
        owner_request& request = m_requests.at(known);
        const bool is_forgotten = message.code() == base::name_of(error_code::not_found) &&
                                  request.phase != request_phase::resolving;
        // "Not found" is conclusive only from the home that confirmed the attempt in this epoch.
        const bool is_current = request.confirmed_epoch == m_shared.members.number() &&
                                number == request.confirmed_epoch && from == request.home;
        if (is_forgotten && !is_current) {
            return;
        }
        handle_end(known, request, message);
    }
    else {
        adopt_result(message);
    }
    m_shared.send(from, std::move(ack));
}

void team_owner::handle_end(serial number, owner_request& request, proto::AttemptEnded& message)
{
    owner_team& team = *request.team;
    const auto result = static_cast<outcome>(std::min(message.outcome(), 2U));
    if (request.phase == request_phase::done) {
        if (request.result == outcome::unknown && result == outcome::completed) {
            request.result = outcome::completed;
            request.body = std::move(*message.mutable_body());
            request.status = message.status();
            m_stored_bytes += request.body.size();
        }
        return;
    }
    if (is_queued(request)) {
        // A duplicate of the refusal after which the request was queued again.
        return;
    }
    release(number, request);
    if (message.service_us() > 0) {
        record_service(request, message.service_us());
    }
    const bool had_intent =
        request.is_intent_committed || request.phase == request_phase::committing;
    if (had_intent) {
        m_shared.emit(
            end_intent{base::team_id{team.name}, base::attempt_id{request.attempt}, result});
    }
    if (result == outcome::completed) {
        request.body = std::move(*message.mutable_body());
        request.status = message.status();
        finish(number, request, result, error_code::internal_error);
    }
    else if (result == outcome::not_run) {
        // This host does not have the body of an adopted attempt; the entry host resubmits it.
        request.is_adopted ? finish(number, request, result, error_code::stale_epoch)
                           : retry_or_refuse(number, request, code_from(message.code()));
    }
    else {
        request.body.clear();
        finish(number, request, outcome::unknown, code_from(message.code()));
    }
    dispatch_waiting(team);
}

void team_owner::adopt_result(proto::AttemptEnded& message)
{
    const auto result = static_cast<outcome>(std::min(message.outcome(), 2U));
    if (result == outcome::not_run || !m_shared.members.is_joined() ||
        m_shared.members.owner_of(message.team()) != m_shared.members.self()) {
        return;
    }
    owner_team& team = team_of(message.team());
    const auto found = team.by_key.find(message.key());
    const serial number =
        found == team.by_key.end() ? add_request(team, message.key()) : found->second;
    owner_request& request = m_requests.at(number);
    if (found == team.by_key.end()) {
        request.is_adopted = true;
        request.has_caller_key = !is_generated_key(message.key());
    }
    else if (request.phase == request_phase::done) {
        handle_end(number, request, message);
        return;
    }
    else if (is_queued(request)) {
        decrement_waiting(request);
    }
    else if (request.phase != request_phase::resolving) {
        return;
    }
    m_by_attempt.erase(request.attempt);
    request.attempt = message.attempt();
    m_by_attempt[request.attempt] = number;
    request.body =
        result == outcome::completed ? std::move(*message.mutable_body()) : std::string{};
    request.status = message.status();
    finish(number, request, result, code_from(message.code()));
}

void team_owner::hand_over(const base::node_id& to, proto::EpochReport& report)
{
    std::size_t remaining_bytes = max_handover_bytes;
    for (const auto& [name, team] : m_teams) {
        if (team->is_owned || m_shared.members.owner_of(name) != to) {
            continue;
        }
        for (const auto& [key, number] : team->by_key) {
            const owner_request& request = m_requests.at(number);
            if (request.phase != request_phase::done || !request.has_caller_key ||
                static_cast<std::size_t>(report.results_size()) >= max_handover_results) {
                continue;
            }
            auto& result = *report.add_results();
            result.set_attempt(request.attempt);
            result.set_team(name);
            result.set_key(key);
            const bool has_body = request.result == outcome::completed &&
                                  !request.is_body_dropped &&
                                  request.body.size() <= remaining_bytes;
            result.set_outcome(
                static_cast<std::uint32_t>(has_body ? outcome::completed : outcome::unknown));
            result.set_code(has_body ? "" : std::string{base::name_of(error_code::not_found)});
            result.set_status(request.status);
            if (has_body) {
                result.set_body(request.body);
                remaining_bytes -= request.body.size();
            }
        }
    }
}

} // namespace lovagebeam::routing
