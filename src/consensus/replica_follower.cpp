#include "replica_impl.h"
#include "wire.h"

#include <algorithm>

namespace lovagebeam::consensus {

namespace {

/// Response times are recorded at most once per interval. The record then covers 5 s of responses,
/// far longer than any round trip after which a member lease could still be valid.
constexpr std::chrono::milliseconds response_record_interval{5};
constexpr std::size_t max_response_records = 1000;

} // namespace

void replica_impl::record_leader_contact(const proto::ConsensusMessage& message)
{
    if (m_hard_state.group == group_id{}) {
        m_hard_state.group = group_id{message.group()};
        mark_hard_state_changed();
    }
    m_leader = wire::from_proto(message.from());
    m_last_leader_contact = m_now;
    m_votes.clear();
    m_role = non_leader_role();
    reset_election_deadline();
}

void replica_impl::record_confirmed_response(std::uint64_t number)
{
    if (number > m_last_response_number) {
        return;
    }
    std::optional<base::time_point> confirmed;
    while (!m_sent_responses.empty() && m_sent_responses.front().number <= number) {
        confirmed = m_sent_responses.front().time;
        m_sent_responses.pop_front();
    }
    m_confirmed_contact = std::max(m_confirmed_contact, confirmed);
}

std::uint64_t replica_impl::next_response_number()
{
    ++m_last_response_number;
    if (m_sent_responses.empty() ||
        m_now - m_sent_responses.back().time >= response_record_interval) {
        m_sent_responses.push_back({m_last_response_number, m_now});
    }
    if (m_sent_responses.size() > max_response_records) {
        m_sent_responses.pop_front();
    }
    return m_last_response_number;
}

void replica_impl::on_append_request(const proto::ConsensusMessage& message)
{
    const proto::AppendRequest& request = message.append_request();
    if (m_role == replica_role::leader) {
        return;
    }
    record_leader_contact(message);
    record_confirmed_response(request.heard_response());
    m_leader_round = std::max(m_leader_round, request.round());
    if (!append_entries(request)) {
        return;
    }
    m_commit_index =
        std::max(m_commit_index, std::min(log_index{request.commit()}, m_verified_index));
    if (m_append_from) {
        m_acknowledgement_due = true;
        return;
    }
    acknowledge();
}

bool replica_impl::append_entries(const proto::AppendRequest& request)
{
    // While a snapshot is being installed, storage is about to discard the log: entries appended
    // now would leave a gap.
    if (m_incoming_snapshot && m_incoming_snapshot->installing) {
        return true;
    }
    const log_index prev{request.prev_index()};
    if (prev < m_log.base_index()) {
        m_verified_index = std::max(m_verified_index, m_commit_index);
        return true;
    }
    const auto prev_term = m_log.term_at(prev);
    if (!prev_term || *prev_term != term{request.prev_term()}) {
        reject_append(request);
        return false;
    }
    std::vector<log_entry> entries;
    log_index expected = prev;
    for (const auto& sent : request.entries()) {
        auto entry = wire::from_proto(sent);
        expected = expected.next();
        if (!entry || entry->index != expected || entry->term > m_hard_state.term) {
            return false;
        }
        entries.push_back(std::move(*entry));
    }
    append_matching(std::move(entries));
    m_verified_index = std::max(m_verified_index, expected);
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

void replica_impl::reject_append(const proto::AppendRequest& request)
{
    const log_index prev{request.prev_index()};
    log_index hint = std::min(before(prev), m_log.last_index());
    while (hint > m_commit_index &&
           m_log.term_at(hint).value_or(term{}) > term{request.prev_term()}) {
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
    const log_index match = std::min(m_verified_index, m_durable_index);
    m_acknowledgement_due = match < m_verified_index;
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
