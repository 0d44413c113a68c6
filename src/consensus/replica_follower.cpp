#include "replica_impl.h"
#include "wire.h"

#include <algorithm>

namespace lovagebeam::consensus {

namespace {

/// Response times are recorded at most this often: the record then covers 5 s of responses, far
/// beyond any round trip after which a member lease could still be valid.
constexpr std::chrono::milliseconds response_record_interval{5};
constexpr std::size_t max_response_records = 1000;

} // namespace

void replica_impl::note_leader_contact(const proto::ConsensusMessage& message)
{
    if (m_hard.group == group_id{}) {
        m_hard.group = group_id{message.group()};
        mark_hard_state_changed();
    }
    m_leader = wire::get(message.from());
    m_leader_heard = m_now;
    m_votes.clear();
    m_role = idle_role();
    reset_election_deadline();
}

void replica_impl::note_heard_response(std::uint64_t number)
{
    if (number > m_response_number) {
        return;
    }
    std::optional<base::time_point> confirmed;
    while (!m_responses.empty() && m_responses.front().number <= number) {
        confirmed = m_responses.front().time;
        m_responses.pop_front();
    }
    m_confirmed_contact = std::max(m_confirmed_contact, confirmed);
}

std::uint64_t replica_impl::next_response_number()
{
    ++m_response_number;
    if (m_responses.empty() || m_now - m_responses.back().time >= response_record_interval) {
        m_responses.push_back({m_response_number, m_now});
    }
    if (m_responses.size() > max_response_records) {
        m_responses.pop_front();
    }
    return m_response_number;
}

void replica_impl::on_append_request(const proto::ConsensusMessage& message)
{
    const proto::AppendRequest& request = message.append_request();
    if (m_role == replica_role::leader) {
        return;
    }
    note_leader_contact(message);
    note_heard_response(request.heard_response());
    m_leader_round = std::max(m_leader_round, request.round());
    if (!append_entries(request)) {
        return;
    }
    m_commit = std::max(m_commit, std::min(log_index{request.commit()}, m_verified));
    if (m_append_from) {
        m_acknowledgement_due = true;
        return;
    }
    acknowledge();
}

bool replica_impl::append_entries(const proto::AppendRequest& request)
{
    // While a snapshot is being installed, storage is about to drop the log: entries appended now
    // would follow a gap.
    if (m_incoming && m_incoming->installing) {
        return true;
    }
    const log_index prev{request.prev_index()};
    if (prev < m_log.base_index()) {
        m_verified = std::max(m_verified, m_commit);
        return true;
    }
    const auto prev_term = m_log.term_at(prev);
    if (!prev_term || *prev_term != term{request.prev_term()}) {
        refuse_append(request);
        return false;
    }
    std::vector<log_entry> entries;
    log_index expected = prev;
    for (const auto& sent : request.entries()) {
        auto entry = wire::get(sent);
        expected = expected.next();
        if (!entry || entry->index != expected || entry->term > m_hard.term) {
            return false;
        }
        entries.push_back(std::move(*entry));
    }
    append_matching(std::move(entries));
    m_verified = std::max(m_verified, expected);
    return true;
}

void replica_impl::append_matching(std::vector<log_entry> entries)
{
    for (log_entry& entry : entries) {
        const auto present = m_log.term_at(entry.index);
        if (present && *present == entry.term) {
            continue;
        }
        if (present) {
            truncate_log(entry.index);
        }
        append_to_log(std::move(entry));
    }
}

void replica_impl::refuse_append(const proto::AppendRequest& request)
{
    const log_index prev{request.prev_index()};
    log_index hint = std::min(before(prev), m_log.last_index());
    while (hint > m_commit && m_log.term_at(hint).value_or(term{}) > term{request.prev_term()}) {
        hint = before(hint);
    }
    hint = std::max(hint, m_log.base_index());
    proto::ConsensusMessage answer = make_message(m_leader);
    auto& response = *answer.mutable_append_response();
    response.set_refused_prev(prev.value());
    response.set_hint_index(hint.value());
    response.set_hint_term(m_log.term_at(hint).value_or(term{}).value());
    response.set_round(m_leader_round);
    response.set_response(next_response_number());
    response.set_durable(m_durable);
    send(std::move(answer));
}

void replica_impl::acknowledge()
{
    const log_index match = std::min(m_verified, m_durable_index);
    m_acknowledgement_due = match < m_verified;
    proto::ConsensusMessage answer = make_message(m_leader);
    auto& response = *answer.mutable_append_response();
    response.set_accepted(true);
    response.set_match(match.value());
    response.set_round(m_leader_round);
    response.set_response(next_response_number());
    response.set_durable(m_durable);
    send(std::move(answer));
}

} // namespace lovagebeam::consensus
