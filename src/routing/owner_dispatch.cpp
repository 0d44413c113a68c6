#include "invariant.h"
#include "team_owner.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

using base::error_code;

constexpr base::duration resend_interval = 200ms;
constexpr base::duration poll_interval = 500ms;
constexpr base::duration retry_base = 20ms;
constexpr base::duration retry_cap = 1s;

/// A home that has sent no status for this long gets no new attempts.
constexpr base::duration status_timeout = 1s;

/// Retry budget of a team: each request adds 0.1 of a retry, and at most 10 retries accumulate.
constexpr double retry_tokens_per_request = 0.1;
constexpr double max_retry_tokens = 10;

/// Lower bound on the attempts of a team and class that may wait at one home. Every backlogged team
/// must have work there when a slot becomes free, or the home's fair queue cannot consider it.
constexpr std::uint32_t min_waiting_at_home = 4;

bool is_target_side(error_code code)
{
    return code == error_code::target_refused || code == error_code::connect_failed;
}

} // namespace

void team_owner::enqueue(serial number, owner_request& request, bool at_front)
{
    owner_team& team = *request.team;
    const auto index = static_cast<std::size_t>(request.priority);
    request.phase = request_phase::waiting;
    if (at_front) {
        team.queues.at(index).push_front(number);
    }
    else {
        team.queues.at(index).push_back(number);
        team.retry_tokens =
            std::min(max_retry_tokens, team.retry_tokens + retry_tokens_per_request);
    }
    ++team.waiting.at(index);
}

void team_owner::decrement_waiting(owner_request& request)
{
    --request.team->waiting.at(static_cast<std::size_t>(request.priority));
}

void team_owner::dispatch_waiting(owner_team& team)
{
    if (!team.is_owned || !team.is_ready || !m_shared.may_act()) {
        return;
    }
    const std::uint32_t limit = m_shared.limits->team(base::team_id{team.name}).upper_limit_slots;
    for (std::size_t priority = 0; priority < work_class_count; ++priority) {
        while (dispatch_next(team, priority, limit)) {
        }
    }
}

bool team_owner::dispatch_next(owner_team& team, std::size_t priority, std::uint32_t limit)
{
    auto& queue = team.queues.at(priority);
    while (!queue.empty()) {
        const serial number = queue.front();
        const auto found = m_requests.find(number);
        if (found == m_requests.end() || found->second.phase != request_phase::waiting) {
            queue.pop_front();
            continue;
        }
        owner_request& request = found->second;
        if (!request.work_key.empty()) {
            auto& lock = team.locks[request.work_key];
            if (lock.holder != 0) {
                request.phase = request_phase::parked;
                lock.parked.push_back(number);
                queue.pop_front();
                continue;
            }
        }
        if (team.outstanding >= limit) {
            return false;
        }
        const base::node_id* const home = choose_home(team, priority);
        if (home == nullptr) {
            return false;
        }
        queue.pop_front();
        dispatch(number, request, *home);
        return true;
    }
    return false;
}

const base::node_id* team_owner::choose_home(const owner_team& team, std::size_t priority)
{
    const auto headroom = [&](const home_view& view) {
        return priority + 1 == work_class_count ? headroom_of(view.slots) : 0;
    };
    std::vector<const base::node_id*> free_homes;
    std::vector<const base::node_id*> waiting_homes;
    for (const auto& [node, view] : m_homes) {
        if (view.slots == 0 || m_shared.now > view.received_at + status_timeout) {
            continue;
        }
        if (view.free_slots > view.sent + headroom(view)) {
            free_homes.push_back(&node);
        }
        const auto counts = team.waiting_at_homes.find(node);
        const std::uint32_t waiting =
            counts == team.waiting_at_homes.end() ? 0 : counts->second.at(priority);
        if (waiting < std::max(min_waiting_at_home, view.slots / 4)) {
            waiting_homes.push_back(&node);
        }
    }
    const auto& candidates = free_homes.empty() ? waiting_homes : free_homes;
    if (candidates.empty()) {
        return nullptr;
    }
    // The less loaded of two random homes is chosen: statuses are slightly outdated, and all owners
    // would pick the same best home. The draw is weighted by slots, because work waits longer at a
    // home with few slots.
    std::uint64_t slots = 0;
    for (const auto* node : candidates) {
        slots += m_homes.at(*node).slots;
    }
    const auto draw = [&] {
        std::uint64_t position = m_shared.random.below(slots);
        for (const auto* node : candidates) {
            const std::uint32_t own = m_homes.at(*node).slots;
            if (position < own) {
                return node;
            }
            position -= own;
        }
        return candidates.back();
    };
    const auto load = [&](const base::node_id* node) {
        const home_view& view = m_homes.at(*node);
        const auto counts = team.waiting_at_homes.find(*node);
        const std::uint32_t waiting =
            counts == team.waiting_at_homes.end() ? 0 : counts->second.at(priority);
        return (waiting + view.sent + 1.0 - view.free_slots) / view.slots;
    };
    const base::node_id* first = draw();
    const base::node_id* second = draw();
    return load(second) < load(first) ? second : first;
}

void team_owner::take_lock(serial number, owner_request& request)
{
    if (request.work_key.empty()) {
        return;
    }
    auto& lock = request.team->locks[request.work_key];
    check_invariant(lock.holder == 0 || lock.holder == number, "work_key_runs_once",
                    request.work_key);
    lock.holder = number;
}

void team_owner::dispatch(serial number, owner_request& request, const base::node_id& home)
{
    owner_team& team = *request.team;
    decrement_waiting(request);
    take_lock(number, request);
    ++team.outstanding;
    request.is_outstanding = true;
    check_invariant(team.outstanding <=
                        m_shared.limits->team(base::team_id{team.name}).upper_limit_slots,
                    "team_within_upper_limit", team.name);
    m_by_attempt.erase(request.attempt);
    m_shared.make_id(request.attempt_id);
    request.attempt = text_of(request.attempt_id);
    m_by_attempt[request.attempt] = number;
    request.phase = request_phase::dispatched;
    request.home = home;
    request.target.clear();
    request.attempt_epoch = m_shared.members.number();
    request.confirmed_epoch = base::epoch{};
    request.is_confirmed_by_home = false;
    request.is_intent_committed = false;
    ++request.attempts;
    ++m_homes.at(home).sent;
    set_waiting_at_home(request, true);
    send_dispatch(request);
    request.next_at = m_shared.now + resend_interval;
    m_timers.add(request.next_at, number);
}

void team_owner::send_dispatch(owner_request& request)
{
    proto::RoutingMessage message;
    auto& dispatch = *message.mutable_dispatch();
    *dispatch.mutable_attempt() = request.attempt_id;
    dispatch.set_team(request.team->name);
    dispatch.set_key(request.key);
    dispatch.set_work_key(request.work_key);
    dispatch.set_priority(static_cast<std::uint32_t>(request.priority));
    dispatch.set_remaining_ms(to_ms(request.deadline - m_shared.now));
    dispatch.set_share(m_shared.limits->team(base::team_id{request.team->name}).share);
    dispatch.set_needs_intent(!request.is_repeatable);
    dispatch.set_is_retry(request.is_retry);
    if (request.home == m_shared.members.self()) {
        dispatch.set_body(request.body);
        m_shared.send(request.home, std::move(message), request.attempt_epoch);
        return;
    }
    // The body is swapped into the message only while it is serialized, without a copy, because it
    // may have to be sent again.
    dispatch.mutable_body()->swap(request.body);
    message.set_epoch(request.attempt_epoch.value());
    m_shared.emit(send_peer{request.home, message.SerializeAsString()});
    message.mutable_dispatch()->mutable_body()->swap(request.body);
}

void team_owner::set_waiting_at_home(owner_request& request, bool is_waiting)
{
    if (request.is_waiting_at_home == is_waiting) {
        return;
    }
    request.is_waiting_at_home = is_waiting;
    auto& count =
        request.team->waiting_at_homes[request.home].at(static_cast<std::size_t>(request.priority));
    count = is_waiting ? count + 1 : count - 1;
}

void team_owner::release(serial number, owner_request& request)
{
    set_waiting_at_home(request, false);
    if (!request.is_outstanding) {
        return;
    }
    owner_team& team = *request.team;
    request.is_outstanding = false;
    --team.outstanding;
    const auto lock = team.locks.find(request.work_key);
    if (lock == team.locks.end() || lock->second.holder != number) {
        return;
    }
    lock->second.holder = 0;
    for (auto next = lock->second.parked.rbegin(); next != lock->second.parked.rend(); ++next) {
        const auto parked = m_requests.find(*next);
        if (parked != m_requests.end() && parked->second.phase == request_phase::parked) {
            parked->second.phase = request_phase::waiting;
            team.queues.at(static_cast<std::size_t>(parked->second.priority)).push_front(*next);
        }
    }
    team.locks.erase(lock);
}

void team_owner::on_progress(const base::node_id& from, base::epoch number,
                             const proto::AttemptProgress& message)
{
    const auto found = m_by_attempt.find(message.attempt());
    if (found == m_by_attempt.end()) {
        return;
    }
    owner_request& request = m_requests.at(found->second);
    if (request.phase != request_phase::dispatched && request.phase != request_phase::committing) {
        return;
    }
    request.is_confirmed_by_home = true;
    if (number.value() > request.confirmed_epoch.value()) {
        request.confirmed_epoch = number;
    }
    if (!message.target().empty()) {
        request.target = message.target();
    }
    if (message.phase() == proto::ATTEMPT_WAITING) {
        return;
    }
    set_waiting_at_home(request, false);
    if (message.phase() == proto::ATTEMPT_RESERVED && from == request.home) {
        if (request.is_intent_committed) {
            proto::RoutingMessage proceed;
            proceed.mutable_proceed()->set_attempt(request.attempt);
            m_shared.send(request.home, std::move(proceed), request.attempt_epoch);
        }
        else if (request.phase == request_phase::dispatched && m_shared.may_act()) {
            request.phase = request_phase::committing;
            m_shared.emit(commit_intent{
                {m_shared.members.number(), base::team_id{request.team->name},
                 base::idempotency_key{request.key}, base::work_key{request.work_key},
                 base::attempt_id{request.attempt}, base::target_id{request.target}}});
        }
    }
    dispatch_waiting(*request.team);
}

void team_owner::on_intent_committed(const intent_committed& result)
{
    const auto found = m_by_attempt.find(result.attempt.str());
    if (found == m_by_attempt.end() || !result.is_committed) {
        // After a refused intent, the reservation at the home times out as `not_run`.
        return;
    }
    owner_request& request = m_requests.at(found->second);
    if (request.phase != request_phase::committing ||
        request.attempt_epoch != m_shared.members.number() || !m_shared.may_act()) {
        return;
    }
    request.is_intent_committed = true;
    request.phase = request_phase::dispatched;
    request.next_at = m_shared.now + resend_interval;
    m_timers.add(request.next_at, found->second);
    proto::RoutingMessage proceed;
    proceed.mutable_proceed()->set_attempt(request.attempt);
    m_shared.send(request.home, std::move(proceed), request.attempt_epoch);
}

void team_owner::on_status(const base::node_id& from, const proto::HomeStatus& message)
{
    home_view& view = m_homes[from];
    if (message.number() <= view.number) {
        return;
    }
    view = {message.number(), message.slots(), message.free_slots(), 0, m_shared.now};
    for (auto& [name, team] : m_teams) {
        dispatch_waiting(*team);
    }
}

void team_owner::on_limits_changed()
{
    for (auto& [name, team] : m_teams) {
        dispatch_waiting(*team);
    }
}

void team_owner::advance(serial number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end()) {
        return;
    }
    owner_request& request = found->second;
    if (request.phase == request_phase::done) {
        if (m_shared.now >= request.expires) {
            erase(number);
        }
        return;
    }
    const bool is_queued = request.phase == request_phase::waiting ||
                           request.phase == request_phase::parked ||
                           request.phase == request_phase::backoff;
    if (is_queued && m_shared.now >= request.deadline) {
        expire_request(number, request);
        return;
    }
    if (is_queued && request.phase != request_phase::backoff) {
        return;
    }
    if (m_shared.now < request.next_at) {
        return;
    }
    if (request.phase == request_phase::backoff) {
        request.phase = request_phase::waiting;
        request.team->queues.at(static_cast<std::size_t>(request.priority)).push_front(number);
        dispatch_waiting(*request.team);
        return;
    }
    advance_attempt(number, request);
}

void team_owner::advance_attempt(serial number, owner_request& request)
{
    if (!request.team->is_owned && m_shared.now > request.deadline + m_shared.longest_lease()) {
        // The team moved to another owner and the home is gone, so no host will report this attempt
        // here.
        release(number, request);
        finish(number, request, outcome::unknown, error_code::timed_out);
        return;
    }
    if (request.phase == request_phase::resolving) {
        resolve(number, request);
    }
    else if (request.is_confirmed_by_home || request.is_adopted) {
        proto::RoutingMessage poll;
        poll.mutable_attempt_poll()->set_attempt(request.attempt);
        m_shared.send(request.home, std::move(poll));
    }
    else {
        send_dispatch(request);
    }
    request.next_at =
        m_shared.now + (request.is_confirmed_by_home ? poll_interval : resend_interval);
    m_timers.add(request.next_at, number);
}

void team_owner::retry_or_refuse(serial number, owner_request& request, error_code code)
{
    const base::duration wait = m_shared.backoff(retry_base, request.attempts, retry_cap);
    const bool needs_token = is_target_side(code);
    const bool can_retry = request.team->is_owned && m_shared.now + wait < request.deadline &&
                           !m_shared.is_shutting_down &&
                           (!needs_token || request.team->retry_tokens >= 1);
    if (!can_retry) {
        // If the team moved, the entry host resubmits the request to the new owner.
        finish(number, request, outcome::not_run,
               request.team->is_owned ? code : error_code::stale_epoch);
        return;
    }
    if (needs_token) {
        request.team->retry_tokens -= 1;
        request.is_retry = true;
    }
    request.phase = request_phase::backoff;
    ++request.team->waiting.at(static_cast<std::size_t>(request.priority));
    request.next_at = m_shared.now + wait;
    m_timers.add(request.next_at, number);
}

void team_owner::record_service(owner_request& request, std::uint64_t service_us)
{
    constexpr double weight = 0.1;
    double& mean = request.team->mean_service_us.at(static_cast<std::size_t>(request.priority));
    mean = mean == 0 ? static_cast<double>(service_us)
                     : mean * (1 - weight) + static_cast<double>(service_us) * weight;
}

void team_owner::on_tick()
{
    if (m_is_complete && m_shared.now >= m_held_until) {
        for (auto& [name, team] : m_teams) {
            if (team->is_owned && !team->is_ready) {
                team->is_ready = true;
                dispatch_waiting(*team);
            }
        }
    }
    while (const auto number = m_timers.pop_due(m_shared.now)) {
        advance(*number);
    }
    while (const auto text = m_submission_timers.pop_due(m_shared.now)) {
        const auto found = m_submissions.find(*text);
        if (found != m_submissions.end() && m_shared.now >= found->second.expires) {
            m_submissions.erase(found);
        }
    }
    if (m_shared.now >= m_orphans_at) {
        check_orphans();
    }
}

} // namespace lovagebeam::routing
