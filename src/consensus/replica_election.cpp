#include "replica_impl.h"
#include "wire.h"

#include <algorithm>

namespace lovagebeam::consensus {

bool replica_impl::accept_address(const proto::ConsensusMessage& message)
{
    const bool from_leader = message.has_append_request() || message.has_snapshot_chunk();
    const group_id group{message.group()};
    const bool group_matches = group == m_hard.group || (m_hard.group == group_id{} && from_leader);
    if (message.to().id() != m_self.id.str() || message.from().id().empty() || !group_matches) {
        return false;
    }
    const incarnation addressed{message.to().incarnation()};
    if (addressed != incarnation{} && addressed != m_self.incarnation) {
        if (from_leader) {
            report_wrong_incarnation(message);
        }
        return false;
    }
    return true;
}

void replica_impl::report_wrong_incarnation(const proto::ConsensusMessage& message)
{
    proto::ConsensusMessage answer = make_message(wire::get(message.from()));
    answer.set_group(message.group());
    answer.set_term(message.term());
    auto& response = *answer.mutable_append_response();
    response.set_wrong_incarnation(true);
    response.set_durable(m_durable);
    send(std::move(answer));
}

bool replica_impl::adopt_term(const proto::ConsensusMessage& message)
{
    const term sent{message.term()};
    if (message.has_vote_request()) {
        return true;
    }
    if (sent > m_hard.term) {
        if (message.has_timeout_now()) {
            return false;
        }
        const bool from_leader = message.has_append_request() || message.has_snapshot_chunk();
        become_follower(sent, from_leader ? wire::get(message.from()) : member{});
        return from_leader;
    }
    if (sent < m_hard.term) {
        if (message.has_append_request() || message.has_snapshot_chunk()) {
            refuse_old_leader(message);
        }
        return message.has_vote_response() && message.vote_response().pre_vote();
    }
    return true;
}

void replica_impl::refuse_old_leader(const proto::ConsensusMessage& message)
{
    proto::ConsensusMessage answer = make_message(wire::get(message.from()));
    answer.mutable_append_response()->set_durable(m_durable);
    send(std::move(answer));
}

void replica_impl::become_follower(term new_term, const member& new_leader)
{
    if (m_role == replica_role::leader) {
        leave_leadership();
    }
    if (new_term > m_hard.term) {
        m_hard.term = new_term;
        m_hard.vote = member{};
        mark_hard_state_changed();
        m_deferred.clear();
        m_verified = m_commit;
        m_leader_round = 0;
        m_acknowledgement_due = false;
    }
    m_leader = new_leader;
    m_votes.clear();
    m_role = idle_role();
}

void replica_impl::leave_leadership()
{
    m_confirmed_contact = std::max(m_confirmed_contact, m_quorum_heard);
    m_quorum_heard.reset();
    m_progress.clear();
    m_rounds.clear();
    m_transfer.reset();
    m_role = replica_role::follower;
    m_leader = member{};
    fail_pending_reads(base::error_code::no_quorum, "leadership ended before a quorum answered");
    reset_election_deadline();
}

replica_role replica_impl::idle_role() const
{
    // A voter whose removal isn't committed may have the longest log and be needed for a majority
    // of the old configuration: it must still be able to lead until the removal is committed.
    const auto& committed = m_log.config_at(m_commit).voters;
    const bool leaving = !is_config_committed() &&
                         std::find(committed.begin(), committed.end(), m_self) != committed.end();
    return m_durable && (is_voter(m_self) || leaving) ? replica_role::follower
                                                      : replica_role::learner;
}

bool replica_impl::is_voter(const member& candidate) const
{
    const auto& voters = m_log.config().voters;
    return std::find(voters.begin(), voters.end(), candidate) != voters.end();
}

void replica_impl::reset_election_deadline()
{
    const base::duration low = m_timing.election_timeout_min;
    const base::duration high = m_timing.election_timeout_max;
    const auto spread = static_cast<std::uint64_t>((high - low).count());
    m_election_deadline =
        m_now + low + base::duration{static_cast<std::int64_t>(m_random.below(spread + 1))};
}

void replica_impl::start_pre_vote()
{
    m_role = replica_role::pre_candidate;
    m_leader = member{};
    m_votes = {m_self.id};
    reset_election_deadline();
    request_votes(m_hard.term.next(), true, false);
    count_votes();
}

void replica_impl::start_election(bool transfer)
{
    m_hard.term = m_hard.term.next();
    m_hard.vote = m_self;
    mark_hard_state_changed();
    m_deferred.clear();
    m_verified = m_commit;
    m_leader_round = 0;
    m_acknowledgement_due = false;
    m_role = replica_role::candidate;
    m_leader = member{};
    m_transfer_election = transfer;
    m_votes = {m_self.id};
    reset_election_deadline();
    request_votes(m_hard.term, false, transfer);
}

void replica_impl::request_votes(term requested, bool pre_vote, bool transfer)
{
    for (const member& voter : m_log.config().voters) {
        if (voter.id == m_self.id) {
            continue;
        }
        proto::ConsensusMessage message = make_message(voter);
        message.set_term(requested.value());
        auto& request = *message.mutable_vote_request();
        request.set_pre_vote(pre_vote);
        request.set_transfer(transfer);
        request.set_last_index(m_log.last_index().value());
        request.set_last_term(m_log.last_term().value());
        send(std::move(message));
    }
}

std::size_t replica_impl::majority() const
{
    return m_log.config().voters.size() / 2 + 1;
}

void replica_impl::count_votes()
{
    std::size_t granted = 0;
    for (const member& voter : m_log.config().voters) {
        // A replica's own vote is a vote like any other: it counts once it is durable.
        const bool ready = voter.id != m_self.id || m_role == replica_role::pre_candidate ||
                           m_hard_sequence <= m_done;
        if (ready && m_votes.count(voter.id) != 0) {
            ++granted;
        }
    }
    if (granted < majority()) {
        return;
    }
    if (m_role == replica_role::pre_candidate) {
        start_election(false);
    }
    else {
        become_leader();
    }
}

void replica_impl::become_leader()
{
    m_role = replica_role::leader;
    m_leader = m_self;
    m_leader_since = m_now;
    m_elected_by_transfer = m_transfer_election;
    m_lease_revoked = false;
    m_quorum_heard.reset();
    m_quorum_round = 0;
    m_round = 0;
    m_rounds.clear();
    m_progress.clear();
    m_leader_heard.reset();
    refresh_members();
    m_uncommitted_bytes = 0;
    for (log_index i = m_commit.next(); i <= m_log.last_index(); i = i.next()) {
        m_uncommitted_bytes += m_log.at(i).payload.size();
    }
    append_to_log({m_log.last_index().next(), m_hard.term, entry_kind::no_op, {}});
    broadcast_heartbeat(false);
    m_next_heartbeat = m_now + m_timing.heartbeat_interval;
}

bool replica_impl::is_leader_protected() const
{
    if (m_role == replica_role::leader || m_now < m_no_vote_until) {
        return true;
    }
    return m_leader_heard && m_now < *m_leader_heard + m_timing.election_timeout_min;
}

bool replica_impl::is_log_recent(const proto::VoteRequest& request) const
{
    const term candidate_term{request.last_term()};
    if (candidate_term != m_log.last_term()) {
        return candidate_term > m_log.last_term();
    }
    return log_index{request.last_index()} >= m_log.last_index();
}

void replica_impl::on_vote_request(const proto::ConsensusMessage& message)
{
    const proto::VoteRequest& request = message.vote_request();
    const term requested{message.term()};
    if (!m_durable) {
        return;
    }
    if (requested < m_hard.term) {
        return answer_vote(message, false);
    }
    // The leader's lease rests on this: who has heard it lately elects nobody else, unless the
    // leader gave up its lease to transfer leadership.
    if (!request.transfer() && is_leader_protected()) {
        return;
    }
    if (request.pre_vote()) {
        return answer_vote(message, requested > m_hard.term && is_log_recent(request));
    }
    if (requested > m_hard.term) {
        become_follower(requested, member{});
    }
    const member candidate = wire::get(message.from());
    const bool free = (m_hard.vote.id.empty() && m_leader.id.empty()) || m_hard.vote == candidate;
    const bool granted = free && is_log_recent(request);
    if (granted) {
        if (m_hard.vote != candidate) {
            m_hard.vote = candidate;
            mark_hard_state_changed();
        }
        reset_election_deadline();
    }
    answer_vote(message, granted);
}

void replica_impl::answer_vote(const proto::ConsensusMessage& message, bool granted)
{
    proto::ConsensusMessage answer = make_message(wire::get(message.from()));
    auto& response = *answer.mutable_vote_response();
    response.set_pre_vote(message.vote_request().pre_vote());
    response.set_granted(granted);
    response.set_requested_term(message.term());
    send(std::move(answer));
}

void replica_impl::on_vote_response(const proto::ConsensusMessage& message)
{
    const proto::VoteResponse& response = message.vote_response();
    const replica_role wanted =
        response.pre_vote() ? replica_role::pre_candidate : replica_role::candidate;
    const term asked = response.pre_vote() ? m_hard.term.next() : m_hard.term;
    const member voter = wire::get(message.from());
    if (m_role != wanted || !response.granted() || term{response.requested_term()} != asked ||
        !is_voter(voter)) {
        return;
    }
    m_votes.insert(voter.id);
    count_votes();
}

void replica_impl::on_timeout_now(const proto::ConsensusMessage& message)
{
    if (m_role == replica_role::follower && m_leader == wire::get(message.from())) {
        start_election(true);
    }
}

} // namespace lovagebeam::consensus
