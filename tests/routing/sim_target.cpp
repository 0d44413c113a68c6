#include "sim_target.h"

#include <algorithm>

namespace lovagebeam::test {
namespace {

constexpr std::uint32_t target_connections = 64;
constexpr std::uint32_t home_connections = 20;

} // namespace

std::string sim_target::work_key_of(const routing::running_attempt& details)
{
    return details.work_key.empty() ? "" : details.team.str() + '|' + details.work_key.str();
}

void sim_target::run(const std::string& host, const routing::start_attempt& attempt,
                     duration service, reply done)
{
    using routing::attempt_result;
    if (mode == target_mode::down) {
        done({attempt.attempt, attempt_result::connect_failed, {}, 0, false});
        return;
    }
    m_connections.insert({host, attempt.attempt.str()});
    const auto of_host = std::ranges::count_if(
        m_connections, [&](const auto& connection) { return connection.first == host; });
    check_guarantee(of_host <= home_connections,
                    "connection limit of one home exceeded at " + m_id);
    check_guarantee(m_connections.size() <= target_connections,
                    "connection limit exceeded at " + m_id);
    if (mode == target_mode::silent) {
        return;
    }
    const bool is_stale = !m_fenced || attempt.number.value() < m_fenced->value();
    if (is_stale || mode == target_mode::refuses) {
        close(host, attempt.attempt.str());
        done({attempt.attempt, attempt_result::refused, {}, 0, is_stale});
        return;
    }
    m_fenced = attempt.number;
    check_start(attempt);
    begin(host, attempt, service, std::move(done));
}

void sim_target::check_start(const routing::start_attempt& attempt)
{
    check_guarantee(m_running.size() < m_slots, "slot limit exceeded at " + m_id);
    check_guarantee(!m_left_at || m_clock.now() <= *m_left_at + 2s,
                    "new work started at leaving target " + m_id);
    const std::string& body = attempt.body;
    ++m_ground_truth.starts_of_body[body];
    const bool is_repeatable = body.find("|once|") == std::string::npos;
    const int starts = ++m_ground_truth.starts_of_key[attempt.team.str() + '|' + attempt.key.str()];
    check_guarantee(is_repeatable || starts == 1,
                    "non-repeatable work ran more than once: " + attempt.key.str());
    const int running = ++m_ground_truth.running_of_team[attempt.team.str()];
    check_guarantee(running <= static_cast<int>(m_limits.team(attempt.team).upper_limit_slots),
                    "upper limit of " + attempt.team.str() + " exceeded");
}

void sim_target::begin(const std::string& host, const routing::start_attempt& attempt,
                       duration service, reply done)
{
    const std::string id = attempt.attempt.str();
    execution item{{attempt.attempt, attempt.team, attempt.key, attempt.work_key},
                   attempt.body,
                   host,
                   std::move(done),
                   m_clock.now(),
                   m_next_number++};
    const std::string key = work_key_of(item.details);
    if (!key.empty()) {
        const auto [other, is_new] = m_ground_truth.running_keys.emplace(key, id);
        check_guarantee(is_new, "work key " + key + " is held by two attempts: " + other->second +
                                    " and " + id);
    }
    ++m_ground_truth.starts;
    const duration lease = attempt.lease_until - m_clock.now();
    const std::uint64_t number = item.number;
    check_guarantee(m_running.emplace(id, std::move(item)).second, "attempt sent twice: " + id);
    const duration time = mode == target_mode::slow ? service * 10 : service;
    const bool is_killed = time > lease;
    m_clock.after(is_killed ? lease : time,
                  [this, id, number, is_killed] { finish(id, number, is_killed); });
}

void sim_target::remove_running(const std::string& attempt)
{
    const auto found = m_running.find(attempt);
    const execution& item = found->second;
    const std::string key = work_key_of(item.details);
    if (!key.empty()) {
        m_ground_truth.running_keys.erase(key);
    }
    --m_ground_truth.running_of_team[item.details.team.str()];
    m_ground_truth.slot_time_of_team[item.details.team.str()] += m_clock.now() - item.started;
    m_running.erase(found);
}

void sim_target::finish(const std::string& attempt, std::uint64_t number, bool is_killed)
{
    using routing::attempt_result;
    const auto found = m_running.find(attempt);
    if (found == m_running.end() || found->second.number != number) {
        return;
    }
    const std::string host = found->second.host;
    std::string answer = "answer:" + found->second.body;
    reply done = std::move(found->second.done);
    const base::attempt_id id = found->second.details.attempt;
    remove_running(attempt);
    if (!is_killed) {
        m_ended[attempt] = answer;
    }
    if (m_connections.erase({host, attempt}) == 0 || mode == target_mode::silent) {
        return;
    }
    if (is_killed || mode == target_mode::resets) {
        done({id, attempt_result::reset, {}, 0, false});
    }
    else if (mode == target_mode::truncates) {
        done({id, attempt_result::truncated, {}, 0, false});
    }
    else {
        done({id, attempt_result::answered, std::move(answer), 200, false});
    }
}

routing::fence_answered sim_target::fence(base::epoch number)
{
    using result = routing::fence_result;
    routing::fence_answered answer{base::target_id{m_id}, number, result::unreachable, {}};
    if (!is_reachable()) {
        return answer;
    }
    if (m_fenced && number.value() < m_fenced->value()) {
        answer.result = result::stale;
        return answer;
    }
    m_fenced = number;
    answer.result = result::fenced;
    for (const auto& [id, item] : m_running) {
        answer.running.push_back(item.details);
    }
    return answer;
}

routing::query_answered sim_target::query(const base::attempt_id& attempt) const
{
    using routing::attempt_state;
    routing::query_answered answer{
        attempt, base::target_id{m_id}, attempt_state::unreachable, {}, 200};
    if (!is_reachable()) {
        return answer;
    }
    answer.state = attempt_state::never_seen;
    if (m_running.contains(attempt.str())) {
        answer.state = attempt_state::running;
    }
    const auto ended = m_ended.find(attempt.str());
    if (ended != m_ended.end()) {
        answer.state = attempt_state::ended;
        answer.body = ended->second;
    }
    return answer;
}

void sim_target::close(const std::string& host, const std::string& attempt)
{
    m_connections.erase({host, attempt});
}

void sim_target::restart()
{
    std::vector<std::string> ids;
    for (const auto& [id, item] : m_running) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        reply done = std::move(m_running.at(id).done);
        const std::string host = m_running.at(id).host;
        const base::attempt_id attempt{id};
        remove_running(id);
        if (m_connections.erase({host, id}) != 0) {
            done({attempt, routing::attempt_result::reset, {}, 0, false});
        }
    }
    m_connections.clear();
    m_ended.clear();
    m_fenced.reset();
    mode = target_mode::normal;
}

void sim_target::leave()
{
    if (!m_left_at) {
        m_left_at = m_clock.now();
    }
}

} // namespace lovagebeam::test
