#include "target_home.h"

#include "invariant.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

using base::error_code;

/// A reservation is released if its intent has not been committed within this time.
constexpr base::duration reservation_timeout = 5s;
constexpr base::duration push_interval = 200ms;
constexpr base::duration push_cap = 2s;

/// An end that is not acknowledged first loses its body and later its record: the record proves
/// that the attempt was sent.
constexpr base::duration body_retention = 30s;
constexpr base::duration record_retention = 600s;

constexpr double retry_tokens_per_request = 0.1;
constexpr double max_retry_tokens = 5;

} // namespace

void target_home::on_dispatch(const base::node_id& from, base::epoch number,
                              proto::Dispatch&& message)
{
    const std::string id = text_of(message.attempt());
    const auto known = m_attempts.find(id);
    if (known != m_attempts.end()) {
        send_state(from, known->second);
        return;
    }
    // An earlier instance of this process may have sent the attempt. The owner learns its state
    // from the reports.
    if (!m_shared.members.is_joined() || !m_shared.members.remembers(number)) {
        return;
    }
    const std::string instance =
        message.attempt().node() + '/' + std::to_string(message.attempt().incarnation());
    if (!m_windows[instance].accept(message.attempt().number())) {
        // The record of the attempt's end was removed, so it must be neither refused nor started.
        return;
    }
    const std::string team = message.team();
    const auto priority = static_cast<work_class>(std::min(message.priority(), 2U));
    const std::uint32_t share = message.share();
    const auto code = admission_error(message, number);
    home_attempt& attempt = add_attempt(from, std::move(message));
    ++m_waiting;
    if (code) {
        end(attempt, outcome::not_run, *code, {}, 0);
        return;
    }
    set_timer(attempt, attempt.lease_until);
    m_queue.push(id, team, priority, share);
    schedule();
    if (attempt.phase == home_phase::waiting) {
        send_state(from, attempt);
    }
}

home_attempt& target_home::add_attempt(const base::node_id& from, proto::Dispatch&& message)
{
    const std::string id = text_of(message.attempt());
    home_attempt& attempt = m_attempts[id];
    attempt.id = id;
    attempt.team = std::move(*message.mutable_team());
    attempt.key = std::move(*message.mutable_key());
    attempt.work_key = std::move(*message.mutable_work_key());
    attempt.body = std::move(*message.mutable_body());
    attempt.is_retry = message.is_retry();
    attempt.needs_intent = message.needs_intent();
    attempt.sender = from;
    const base::duration lease = from_ms(message.remaining_ms());
    attempt.lease_until = m_shared.now + lease;
    attempt.release_at = m_shared.now + m_shared.with_drift(lease);
    return attempt;
}

std::optional<error_code> target_home::admission_error(const proto::Dispatch& message,
                                                       base::epoch number) const
{
    if (number.value() < m_shared.members.number().value()) {
        return error_code::stale_epoch;
    }
    if (!m_shared.may_act()) {
        return error_code::member_lease_lapsed;
    }
    if (m_shared.is_shutting_down || m_shared.limits->is_host_draining(m_shared.members.self())) {
        return error_code::shutting_down;
    }
    if (message.remaining_ms() == 0) {
        return error_code::deadline_passed;
    }
    if (m_waiting >= m_shared.settings.home_queue_limit) {
        return error_code::queue_full;
    }
    return std::nullopt;
}

void target_home::send_state(const base::node_id& to, const home_attempt& attempt)
{
    proto::RoutingMessage reply;
    if (attempt.phase == home_phase::ended) {
        *reply.mutable_attempt_ended() = attempt.end;
        m_shared.send(to, std::move(reply));
        return;
    }
    auto& progress = *reply.mutable_attempt_progress();
    progress.set_attempt(attempt.id);
    progress.set_target(attempt.target);
    auto phase = proto::ATTEMPT_RUNNING;
    if (attempt.phase == home_phase::waiting) {
        phase = proto::ATTEMPT_WAITING;
    }
    else if (attempt.phase == home_phase::reserved) {
        phase = proto::ATTEMPT_RESERVED;
    }
    progress.set_phase(phase);
    m_shared.send(to, std::move(reply));
}

void target_home::on_poll(const base::node_id& from, base::epoch number,
                          const proto::AttemptPoll& message)
{
    const auto found = m_attempts.find(message.attempt());
    if (found != m_attempts.end()) {
        send_state(from, found->second);
        return;
    }
    if (m_is_complete && m_shared.may_act() && number == m_shared.members.number()) {
        proto::RoutingMessage reply;
        auto& ended = *reply.mutable_attempt_ended();
        ended.set_attempt(message.attempt());
        ended.set_outcome(static_cast<std::uint32_t>(outcome::unknown));
        ended.set_code(std::string{base::name_of(error_code::not_found)});
        m_shared.send(from, std::move(reply));
    }
}

void target_home::on_proceed(const base::node_id& from, const proto::Proceed& message)
{
    const auto found = m_attempts.find(message.attempt());
    if (found == m_attempts.end()) {
        return;
    }
    home_attempt& attempt = found->second;
    const auto target = m_targets.find(attempt.target);
    if (attempt.phase != home_phase::reserved || target == m_targets.end()) {
        send_state(from, attempt);
        return;
    }
    const bool is_fenced = target->second.fenced_epoch == m_shared.members.number();
    if (!m_shared.may_act() || !is_fenced || m_shared.now >= attempt.lease_until) {
        end(attempt, outcome::not_run, error_code::member_lease_lapsed, {}, 0);
        schedule();
        return;
    }
    start(attempt, target->second);
}

bool target_home::is_usable(const home_target& target) const
{
    return target.is_homed_here && !target.is_leaving && !target.is_draining &&
           target.fenced_epoch == m_shared.members.number() &&
           target.used_slots < target.info.slots &&
           target.connections < m_shared.settings.connections_per_target &&
           m_shared.now < target.last_announced + m_shared.settings.announcement_timeout &&
           !target.health.is_ejected(m_shared.now) &&
           (!target.health.is_on_probation(m_shared.now) || target.used_slots == 0) &&
           target.added_version <= m_registered_version;
}

target_home::choice target_home::choose_target(bool is_retry)
{
    choice result;
    const auto rank = [](const home_target& item) {
        return std::pair{item.health.consecutive_failures(),
                         static_cast<double>(item.used_slots) / item.info.slots};
    };
    for (auto& [id, target] : m_targets) {
        result.slots += target.is_homed_here ? target.info.slots : 0;
        if (!is_usable(target)) {
            continue;
        }
        result.free_slots += target.info.slots - target.used_slots;
        const bool has_budget = !is_retry || target.retry_tokens >= 1;
        if (has_budget && (result.target == nullptr || rank(target) < rank(*result.target))) {
            result.target = &target;
        }
    }
    return result;
}

void target_home::schedule()
{
    if (!m_is_complete || !m_shared.may_act()) {
        return;
    }
    while (m_waiting > 0) {
        choice chosen = choose_target(false);
        if (chosen.target == nullptr) {
            return;
        }
        const bool is_batch_allowed = chosen.free_slots > headroom_of(chosen.slots);
        const auto id = m_queue.pop(is_batch_allowed ? work_class_count : work_class_count - 1,
                                    [&](const std::string& item) {
                                        const auto found = m_attempts.find(item);
                                        return found != m_attempts.end() &&
                                               found->second.phase == home_phase::waiting;
                                    });
        if (!id) {
            return;
        }
        home_attempt& attempt = m_attempts.at(*id);
        if (attempt.is_retry) {
            chosen = choose_target(true);
            if (chosen.target == nullptr) {
                end(attempt, outcome::not_run, error_code::no_target, {}, 0);
                continue;
            }
        }
        assign(attempt, chosen.target->info.target.str(), *chosen.target);
    }
}

void target_home::assign(home_attempt& attempt, const std::string& id, home_target& target)
{
    --m_waiting;
    attempt.target = id;
    attempt.phase = home_phase::reserved;
    target.retry_tokens =
        attempt.is_retry
            ? target.retry_tokens - 1
            : std::min(max_retry_tokens, target.retry_tokens + retry_tokens_per_request);
    take_slot(attempt, target);
    check_invariant(target.used_slots <= target.info.slots, "target_within_slots", id);
    if (attempt.needs_intent) {
        set_timer(attempt, m_shared.now + reservation_timeout);
        send_state(attempt.sender, attempt);
        return;
    }
    start(attempt, target);
}

void target_home::start(home_attempt& attempt, home_target& target)
{
    check_invariant(target.connections < m_shared.settings.connections_per_target,
                    "target_within_connections", attempt.target);
    check_invariant(!attempt.was_at_target, "attempt_sent_once", attempt.id);
    attempt.phase = home_phase::running;
    attempt.was_at_target = true;
    attempt.started = m_shared.now;
    ++target.connections;
    m_shared.emit(start_attempt{
        base::attempt_id{attempt.id}, target.info.target, target.info.address, target.info.port,
        m_shared.members.number(), base::team_id{attempt.team}, base::idempotency_key{attempt.key},
        base::work_key{attempt.work_key}, attempt.lease_until, std::move(attempt.body)});
    attempt.body.clear();
    set_timer(attempt, attempt.lease_until);
    send_state(attempt.sender, attempt);
}

void target_home::take_slot(home_attempt& attempt, home_target& target)
{
    ++target.used_slots;
    m_queue.on_started(attempt.team);
}

void target_home::release_slot(home_attempt& attempt)
{
    if (attempt.phase == home_phase::waiting) {
        --m_waiting;
    }
    if (!takes_slot(attempt.phase)) {
        return;
    }
    --m_targets.at(attempt.target).used_slots;
    const bool has_start = attempt.started != base::time_point{};
    m_queue.on_ended(attempt.team,
                     has_start ? m_shared.now - attempt.started : base::duration::zero());
}

void target_home::end(home_attempt& attempt, outcome result, error_code code, std::string&& body,
                      std::uint32_t status)
{
    release_slot(attempt);
    attempt.phase = home_phase::ended;
    attempt.ended_at = m_shared.now;
    std::string{}.swap(attempt.body);
    auto& ended = attempt.end;
    ended.set_attempt(attempt.id);
    ended.set_team(attempt.team);
    ended.set_key(attempt.key);
    ended.set_work_key(attempt.work_key);
    ended.set_outcome(static_cast<std::uint32_t>(result));
    ended.set_code(result == outcome::completed ? "" : std::string{base::name_of(code)});
    ended.set_body(std::move(body));
    ended.set_status(status);
    ended.set_was_at_target(attempt.was_at_target);
    if (result == outcome::completed && attempt.started != base::time_point{}) {
        ended.set_service_us(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(m_shared.now - attempt.started)
                .count()));
    }
    push_end(attempt);
}

void target_home::send_end(const base::node_id& to, home_attempt& attempt)
{
    proto::RoutingMessage message;
    if (to == m_shared.members.self()) {
        *message.mutable_attempt_ended() = attempt.end;
        m_shared.send(to, std::move(message));
        return;
    }
    // The end is swapped into the message only while it is serialized, without a copy, because it
    // is resent until it is acknowledged.
    message.mutable_attempt_ended()->Swap(&attempt.end);
    message.set_epoch(m_shared.members.number().value());
    m_shared.emit(send_peer{to, message.SerializeAsString()});
    message.mutable_attempt_ended()->Swap(&attempt.end);
}

void target_home::push_end(home_attempt& attempt)
{
    const base::node_id& owner = m_shared.members.owner_of(attempt.team);
    const auto is_acknowledged = [&](const base::node_id& node) {
        return node.empty() ||
               std::ranges::find(attempt.acknowledged, node) != attempt.acknowledged.end();
    };
    if (!is_acknowledged(attempt.sender)) {
        send_end(attempt.sender, attempt);
    }
    if (owner != attempt.sender && !is_acknowledged(owner)) {
        send_end(owner, attempt);
    }
    const base::duration wait = push_interval * (1U << std::min(attempt.pushes, 4U));
    ++attempt.pushes;
    set_timer(attempt, m_shared.now + std::min(wait, push_cap));
}

void target_home::on_ended_ack(const base::node_id& from, const proto::AttemptEndedAck& message)
{
    const auto found = m_attempts.find(message.attempt());
    if (found == m_attempts.end() || found->second.phase != home_phase::ended) {
        return;
    }
    home_attempt& attempt = found->second;
    attempt.acknowledged.push_back(from);
    const auto has = [&](const base::node_id& node) {
        return node.empty() ||
               std::ranges::find(attempt.acknowledged, node) != attempt.acknowledged.end();
    };
    // A sender that left may return and resend the attempt, so the record is retained until the
    // sender has acknowledged the end, too.
    if (has(m_shared.members.owner_of(attempt.team)) && has(attempt.sender)) {
        m_attempts.erase(found);
    }
}

void target_home::on_resolve(const base::node_id& from, const proto::Resolve& message)
{
    const auto known = m_attempts.find(message.attempt());
    if (known != m_attempts.end()) {
        if (known->second.phase != home_phase::resolving) {
            send_state(from, known->second);
        }
        return;
    }
    if (!m_is_complete || !m_shared.may_act()) {
        return;
    }
    home_attempt& attempt = m_attempts[message.attempt()];
    attempt.id = message.attempt();
    attempt.team = message.team();
    attempt.key = message.key();
    attempt.work_key = message.work_key();
    attempt.target = message.target();
    attempt.phase = home_phase::resolving;
    attempt.was_at_target = true;
    attempt.sender = from;
    attempt.lease_until = m_shared.now + m_shared.limits->longest_deadline();
    attempt.release_at = m_shared.now + m_shared.longest_lease();
    query(attempt);
}

void target_home::set_timer(home_attempt& attempt, base::time_point at)
{
    attempt.next_at = at;
    m_timers.add(at, attempt.id);
}

void target_home::advance(const std::string& id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    home_attempt& attempt = found->second;
    if (attempt.phase == home_phase::ended) {
        advance_ended(id, attempt);
    }
    else if (m_shared.now >= attempt.next_at) {
        advance_open(attempt);
    }
}

void target_home::advance_ended(const std::string& id, home_attempt& attempt)
{
    const base::duration age = m_shared.now - attempt.ended_at;
    if (age >= record_retention) {
        m_attempts.erase(id);
        return;
    }
    if (age >= body_retention && !attempt.end.body().empty()) {
        attempt.end.clear_body();
        attempt.end.set_outcome(static_cast<std::uint32_t>(outcome::unknown));
        attempt.end.set_code(std::string{base::name_of(error_code::not_found)});
    }
    if (m_shared.now >= attempt.next_at) {
        push_end(attempt);
    }
}

void target_home::advance_open(home_attempt& attempt)
{
    switch (attempt.phase) {
    case home_phase::waiting:
        end(attempt, outcome::not_run, error_code::deadline_passed, {}, 0);
        break;
    case home_phase::reserved:
        end(attempt, outcome::not_run, error_code::timed_out, {}, 0);
        schedule();
        break;
    case home_phase::running:
        if (!attempt.is_cancelled) {
            attempt.is_cancelled = true;
            m_shared.emit(cancel_attempt{base::attempt_id{attempt.id}});
        }
        break;
    case home_phase::unconfirmed:
    case home_phase::adopted:
    case home_phase::resolving:
        if (m_shared.now >= attempt.release_at) {
            end(attempt, outcome::unknown, attempt.unconfirmed_code, {}, 0);
            schedule();
        }
        else {
            query(attempt);
        }
        break;
    case home_phase::ended:
        break;
    }
}

} // namespace lovagebeam::routing
