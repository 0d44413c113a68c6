#include "replica_impl.h"
#include "wire.h"

#include <algorithm>

namespace lovagebeam::consensus {

bool replica_impl::check_addressee(const proto::ConsensusMessage& message)
{
    const bool from_leader = message.has_append_request() || message.has_snapshot_chunk();
    const group_id group{message.group()};
    const bool group_matches =
        group == m_hard_state.group || (m_hard_state.group == group_id{} && from_leader);
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
    proto::ConsensusMessage answer = make_message(wire::from_proto(message.from()));
    answer.set_group(message.group());
    answer.set_term(message.term());
    auto& response = *answer.mutable_append_response();
    response.set_wrong_incarnation(true);
    response.set_durable(m_durable);
    send(std::move(answer));
}

bool replica_impl::update_term(const proto::ConsensusMessage& message)
{
    const term sent{message.term()};
    if (message.has_vote_request()) {
        return true;
    }
    if (sent > m_hard_state.term) {
        if (message.has_timeout_now()) {
            return false;
        }
        const bool from_leader = message.has_append_request() || message.has_snapshot_chunk();
        become_follower(sent, from_leader ? wire::from_proto(message.from()) : member{});
        return from_leader;
    }
    if (sent < m_hard_state.term) {
        if (message.has_append_request() || message.has_snapshot_chunk()) {
            reject_stale_leader(message);
        }
        return message.has_vote_response() && message.vote_response().pre_vote();
    }
    return true;
}

void replica_impl::reject_stale_leader(const proto::ConsensusMessage& message)
{
    proto::ConsensusMessage answer = make_message(wire::from_proto(message.from()));
    answer.mutable_append_response()->set_durable(m_durable);
    send(std::move(answer));
}

void replica_impl::become_follower(term new_term, const member& new_leader)
{
    if (m_role == replica_role::leader) {
        step_down();
    }
    if (new_term > m_hard_state.term) {
        m_hard_state.term = new_term;
        m_hard_state.vote = member{};
        mark_hard_state_changed();
        m_deferred_messages.clear();
        m_verified_index = m_commit_index;
        m_leader_round = 0;
        m_acknowledgement_due = false;
    }
    m_leader = new_leader;
    m_votes.clear();
    m_role = non_leader_role();
}

void replica_impl::step_down()
{
    m_confirmed_contact = std::max(m_confirmed_contact, m_last_quorum_contact);
    m_last_quorum_contact.reset();
    m_progress.clear();
    m_rounds.clear();
    m_transfer.reset();
    m_role = replica_role::follower;
    m_leader = member{};
    fail_pending_reads(base::error_code::no_quorum, "leadership ended before a quorum responded");
    reset_election_deadline();
}

replica_role replica_impl::non_leader_role() const
{
    // A voter whose removal isn't committed may have the longest log and be needed for a majority
    // of the old configuration: it must still be able to lead until the removal is committed.
    const auto& committed = m_log.config_at(m_commit_index).voters;
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
    request_votes(m_hard_state.term.next(), true, false);
    count_votes();
}

void replica_impl::start_election(bool transfer)
{
    m_hard_state.term = m_hard_state.term.next();
    m_hard_state.vote = m_self;
    mark_hard_state_changed();
    m_deferred_messages.clear();
    m_verified_index = m_commit_index;
    m_leader_round = 0;
    m_acknowledgement_due = false;
    m_role = replica_role::candidate;
    m_leader = member{};
    m_transfer_election = transfer;
    m_votes = {m_self.id};
    reset_election_deadline();
    request_votes(m_hard_state.term, false, transfer);
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
        // The replica's own vote counts only once it is durable, like any other vote.
        const bool ready = voter.id != m_self.id || m_role == replica_role::pre_candidate ||
                           m_hard_state_sequence <= m_durable_sequence;
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
    m_last_quorum_contact.reset();
    m_quorum_round = 0;
    m_round = 0;
    m_rounds.clear();
    m_progress.clear();
    m_last_leader_contact.reset();
    refresh_members();
    m_uncommitted_bytes = 0;
    for (log_index i = m_commit_index.next(); i <= m_log.last_index(); i = i.next()) {
        m_uncommitted_bytes += m_log.at(i).payload.size();
    }
    append_to_log({m_log.last_index().next(), m_hard_state.term, entry_kind::no_op, {}});
    broadcast_heartbeat(false);
    m_next_heartbeat = m_now + m_timing.heartbeat_interval;
}

bool replica_impl::may_leader_hold_lease() const
{
    if (m_role == replica_role::leader || m_now < m_no_vote_until) {
        return true;
    }
    return m_last_leader_contact && m_now < *m_last_leader_contact + m_timing.election_timeout_min;
}

bool replica_impl::is_log_up_to_date(const proto::VoteRequest& request) const
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
    if (requested < m_hard_state.term) {
        return respond_to_vote_request(message, false);
    }
    // The leader's lease relies on this: a replica with recent contact to the leader votes for no
    // other candidate, unless the leader gave up its lease to transfer leadership.
    if (!request.transfer() && may_leader_hold_lease()) {
        return;
    }
    if (request.pre_vote()) {
        return respond_to_vote_request(message,
                                       requested > m_hard_state.term && is_log_up_to_date(request));
    }
    if (requested > m_hard_state.term) {
        become_follower(requested, member{});
    }
    const member candidate = wire::from_proto(message.from());
    const bool can_grant =
        (m_hard_state.vote.id.empty() && m_leader.id.empty()) || m_hard_state.vote == candidate;
    const bool granted = can_grant && is_log_up_to_date(request);
    if (granted) {
        if (m_hard_state.vote != candidate) {
            m_hard_state.vote = candidate;
            mark_hard_state_changed();
        }
        reset_election_deadline();
    }
    respond_to_vote_request(message, granted);
}

void replica_impl::respond_to_vote_request(const proto::ConsensusMessage& message, bool granted)
{
    proto::ConsensusMessage answer = make_message(wire::from_proto(message.from()));
    auto& response = *answer.mutable_vote_response();
    response.set_pre_vote(message.vote_request().pre_vote());
    response.set_granted(granted);
    response.set_requested_term(message.term());
    send(std::move(answer));
}

void replica_impl::on_vote_response(const proto::ConsensusMessage& message)
{
    const proto::VoteResponse& response = message.vote_response();
    const replica_role expected_role =
        response.pre_vote() ? replica_role::pre_candidate : replica_role::candidate;
    const term expected_term = response.pre_vote() ? m_hard_state.term.next() : m_hard_state.term;
    const member voter = wire::from_proto(message.from());
    if (m_role != expected_role || !response.granted() ||
        term{response.requested_term()} != expected_term || !is_voter(voter)) {
        return;
    }
    m_votes.insert(voter.id);
    count_votes();
}

void replica_impl::on_timeout_now(const proto::ConsensusMessage& message)
{
    if (m_role == replica_role::follower && m_leader == wire::from_proto(message.from())) {
        start_election(true);
    }
}

} // namespace lovagebeam::consensus
