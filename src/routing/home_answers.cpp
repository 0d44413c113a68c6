#include "target_home.h"

#include <algorithm>

namespace lovagebeam::routing {
namespace {

using base::error_code;

constexpr base::duration query_timeout = 500ms;
constexpr base::duration query_base = 100ms;
constexpr base::duration query_cap = 1s;

/// An open intent is reported as unknown after this many queries without a final answer.
constexpr std::uint32_t max_resolve_queries = 10;

} // namespace

void target_home::adopt(const running_attempt& running, const std::string& target)
{
    home_attempt& attempt = m_attempts[running.attempt.str()];
    const bool is_known = !attempt.id.empty() && attempt.phase != home_phase::resolving;
    if (is_known) {
        return;
    }
    attempt.id = running.attempt.str();
    attempt.team = running.team.str();
    attempt.key = running.key.str();
    attempt.work_key = running.work_key.str();
    attempt.target = target;
    attempt.phase = home_phase::adopted;
    attempt.was_at_target = true;
    attempt.lease_until = m_shared.now + m_shared.limits->longest_deadline();
    attempt.release_at = m_shared.now + m_shared.longest_lease();
    take_slot(attempt, m_targets.at(target));
    set_timer(attempt, m_shared.now + query_base);
}

void target_home::query(home_attempt& attempt)
{
    const auto found = m_targets.find(attempt.target);
    const bool has_connection =
        found != m_targets.end() &&
        found->second.connections < m_shared.settings.connections_per_target;
    if (attempt.is_querying || !has_connection) {
        if (found == m_targets.end() && attempt.phase == home_phase::resolving) {
            end(attempt, outcome::unknown, error_code::no_target, {}, 0);
            return;
        }
        set_timer(attempt, std::min(attempt.release_at, m_shared.now + query_base));
        return;
    }
    attempt.is_querying = true;
    ++attempt.queries;
    ++found->second.connections;
    m_shared.emit(query_attempt{base::attempt_id{attempt.id}, found->second.info.target,
                                found->second.info.address, found->second.info.port,
                                query_timeout});
    set_timer(attempt, attempt.release_at);
}

void target_home::on_query_answered(query_answered&& answer)
{
    const auto target = m_targets.find(answer.target.str());
    if (target != m_targets.end()) {
        --target->second.connections;
    }
    const auto found = m_attempts.find(answer.attempt.str());
    if (found == m_attempts.end()) {
        return;
    }
    found->second.is_querying = false;
    if (found->second.phase == home_phase::unconfirmed ||
        found->second.phase == home_phase::adopted ||
        found->second.phase == home_phase::resolving) {
        handle_state(found->second, std::move(answer));
        schedule();
    }
}

void target_home::handle_state(home_attempt& attempt, query_answered&& answer)
{
    const bool is_resolving = attempt.phase == home_phase::resolving;
    const auto target = m_targets.find(attempt.target);
    if (answer.state == attempt_state::ended) {
        end(attempt, outcome::completed, error_code::internal_error, std::move(answer.body),
            answer.status);
        return;
    }
    if (answer.state == attempt_state::unreachable && target != m_targets.end() &&
        attempt.unconfirmed_code == error_code::timed_out && !is_resolving) {
        // A timeout alone may only mean that the work ran longer than expected. A target that does
        // not answer the query either has failed.
        record_health(target->second, false);
    }
    if (is_resolving &&
        (answer.state == attempt_state::never_seen || attempt.queries >= max_resolve_queries)) {
        end(attempt, outcome::unknown, error_code::not_found, {}, 0);
        return;
    }
    if (is_resolving && answer.state == attempt_state::running && target != m_targets.end()) {
        attempt.phase = home_phase::adopted;
        take_slot(attempt, target->second);
    }
    const base::duration wait = query_base * (1U << std::min(attempt.queries, 5U));
    set_timer(attempt, std::min(attempt.release_at, m_shared.now + std::min(wait, query_cap)));
}

void target_home::on_attempt_ended(attempt_ended&& ended)
{
    const auto found = m_attempts.find(ended.attempt.str());
    if (found == m_attempts.end() || found->second.phase != home_phase::running) {
        return;
    }
    home_attempt& attempt = found->second;
    home_target& target = m_targets.at(attempt.target);
    --target.connections;
    switch (ended.result) {
    case attempt_result::answered:
        record_health(target, true);
        end(attempt, outcome::completed, error_code::internal_error, std::move(ended.body),
            ended.status);
        break;
    case attempt_result::refused:
        if (ended.is_stale_epoch) {
            target.fenced_epoch = base::epoch{};
        }
        else {
            record_health(target, false);
        }
        end(attempt, outcome::not_run,
            ended.is_stale_epoch ? error_code::stale_epoch : error_code::target_refused, {}, 0);
        break;
    case attempt_result::connect_failed:
        record_health(target, false);
        end(attempt, outcome::not_run, error_code::connect_failed, {}, 0);
        break;
    default:
        attempt.phase = home_phase::unconfirmed;
        attempt.unconfirmed_code = error_code::timed_out;
        if (ended.result != attempt_result::timed_out) {
            record_health(target, false);
            attempt.unconfirmed_code = ended.result == attempt_result::reset
                                           ? error_code::connection_reset
                                           : error_code::truncated_answer;
        }
        query(attempt);
        break;
    }
    schedule();
}

} // namespace lovagebeam::routing
