#include "replica_impl.h"
#include "wire.h"

#include <algorithm>
#include <functional>

namespace lovagebeam::consensus {

namespace {

/// Returns the largest value that a majority of `values` reaches.
template <class T>
T majority_value(std::vector<T> values)
{
    const auto nth = static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), values.begin() + nth, values.end(), std::greater<T>{});
    return values[static_cast<std::size_t>(nth)];
}

} // namespace

void replica_impl::refresh_members()
{
    if (m_role != replica_role::leader) {
        m_role = m_role == replica_role::learner || idle_role() == replica_role::learner
                     ? idle_role()
                     : m_role;
        return;
    }
    std::map<base::node_id, progress> wanted;
    const auto keep = [&](const member& who, bool voter) {
        if (who.id == m_self.id) {
            return;
        }
        auto node = m_progress.extract(who.id);
        progress& peer =
            node.empty() ? wanted[who.id] : wanted.insert(std::move(node)).position->second;
        const bool known = peer.next != log_index{};
        // A learner's incarnation follows what the host reports; a voter's is the configuration's.
        if (!known || (voter && peer.member != who)) {
            peer.member = who;
            reset_progress(peer);
        }
        if (!known) {
            peer.last_response = m_now;
        }
        peer.voter = voter;
    };
    for (const member& voter : m_log.config().voters) {
        keep(voter, true);
    }
    for (const member& learner : m_log.config().learners) {
        keep(learner, false);
    }
    m_progress = std::move(wanted);
}

void replica_impl::reset_progress(progress& peer)
{
    peer.mode = progress_mode::probe;
    peer.match = log_index{};
    peer.next = m_log.last_index().next();
    peer.probe_sent = false;
    peer.inflight.clear();
    peer.heard_response = 0;
    peer.responded = false;
    peer.round = 0;
}

base::duration replica_impl::lease_span() const
{
    // Both clocks may deviate: the voter's runs fast and the leader's slow in the worst case.
    const double ratio = (1.0 - m_timing.clock_drift) / (1.0 + m_timing.clock_drift);
    const auto full = std::chrono::duration_cast<base::duration>(m_timing.election_timeout_min);
    return base::duration{static_cast<std::int64_t>(static_cast<double>(full.count()) * ratio)};
}

bool replica_impl::holds_lease() const
{
    return m_role == replica_role::leader && !m_lease_revoked && hears_quorum();
}

bool replica_impl::hears_quorum() const
{
    return m_quorum_heard && m_now < *m_quorum_heard + lease_span();
}

bool replica_impl::has_committed_in_term() const
{
    return m_log.term_at(m_commit) == m_hard.term;
}

void replica_impl::check_quorum()
{
    if (m_role != replica_role::leader) {
        return;
    }
    if (majority() == 1 && is_voter(m_self)) {
        m_quorum_heard = m_now;
    }
    const base::time_point heard =
        std::max(m_quorum_heard.value_or(m_leader_since), m_leader_since);
    if (m_now >= heard + lease_span()) {
        become_follower(m_hard.term, member{});
    }
}

void replica_impl::start_round()
{
    ++m_round;
    m_rounds.push_back({m_round, m_now});
}

void replica_impl::update_quorum_contact()
{
    std::vector<std::uint64_t> rounds;
    for (const member& voter : m_log.config().voters) {
        const auto it = m_progress.find(voter.id);
        rounds.push_back(it == m_progress.end() ? m_round : it->second.round);
    }
    m_quorum_round = std::max(m_quorum_round, majority_value(std::move(rounds)));
    while (!m_rounds.empty() && m_rounds.front().round <= m_quorum_round) {
        m_quorum_heard = std::max(m_quorum_heard, std::optional{m_rounds.front().time});
        m_rounds.pop_front();
    }
}

void replica_impl::broadcast_heartbeat(bool voters_only)
{
    start_round();
    for (auto& [id, peer] : m_progress) {
        if (peer.voter || !voters_only) {
            send_heartbeat(peer);
        }
    }
    if (majority() == 1) {
        update_quorum_contact();
        serve_confirmed_reads();
    }
}

void replica_impl::send_heartbeat(progress& peer)
{
    switch (peer.mode) {
    case progress_mode::probe:
        peer.probe_sent = false;
        send_entries(peer);
        return;
    case progress_mode::replicate:
        send_append(peer, before(peer.next), 0);
        return;
    case progress_mode::snapshot:
        send_append(peer, log_index{}, 0);
        resume_snapshot(peer);
        return;
    }
}

void replica_impl::send_entries_to_all()
{
    for (auto& [id, peer] : m_progress) {
        send_entries(peer);
    }
}

void replica_impl::send_entries(progress& peer)
{
    if (peer.mode == progress_mode::snapshot) {
        return;
    }
    if (before(peer.next) < m_log.base_index()) {
        begin_snapshot(peer);
        return;
    }
    if (peer.mode == progress_mode::probe) {
        if (!peer.probe_sent) {
            send_append(peer, before(peer.next), m_timing.max_batch_entries);
            peer.probe_sent = true;
        }
        return;
    }
    while (peer.next <= m_log.last_index() &&
           peer.inflight.size() < m_timing.max_inflight_messages) {
        const std::size_t count = send_append(peer, before(peer.next), m_timing.max_batch_entries);
        peer.next = after(peer.next, count);
        peer.inflight.push_back(before(peer.next));
    }
}

std::size_t replica_impl::send_append(progress& peer, log_index prev, std::size_t max_entries)
{
    proto::ConsensusMessage message = make_message(peer.member);
    auto& request = *message.mutable_append_request();
    request.set_prev_index(prev.value());
    request.set_prev_term(m_log.term_at(prev).value_or(term{}).value());
    request.set_commit(m_commit.value());
    request.set_round(m_round);
    request.set_heard_response(peer.heard_response);
    std::size_t count = 0;
    std::size_t size = 0;
    for (log_index i = prev.next(); i <= m_log.last_index() && count < max_entries; i = i.next()) {
        const log_entry& entry = m_log.at(i);
        size += entry.payload.size();
        if (count > 0 && size > m_timing.max_batch_bytes) {
            break;
        }
        wire::put(entry, *request.add_entries());
        ++count;
    }
    send(std::move(message));
    return count;
}

progress* replica_impl::note_response(const proto::ConsensusMessage& message, std::uint64_t round,
                                      std::uint64_t response, bool durable)
{
    const auto it = m_progress.find(base::node_id{message.from().id()});
    if (m_role != replica_role::leader || it == m_progress.end()) {
        return nullptr;
    }
    progress& peer = it->second;
    const incarnation from{message.from().incarnation()};
    if (from != peer.member.incarnation) {
        if (peer.voter) {
            peer.other_incarnation = from;
            return nullptr;
        }
        peer.member.incarnation = from;
        reset_progress(peer);
    }
    peer.responded = true;
    peer.durable = durable;
    peer.last_response = m_now;
    if (round > peer.round && round <= m_round) {
        peer.round = round;
        if (peer.voter) {
            update_quorum_contact();
        }
    }
    // Without a quorum another leader may exist already, which wouldn't know of this contact.
    if (hears_quorum()) {
        peer.heard_response = std::max(peer.heard_response, response);
    }
    return &peer;
}

void replica_impl::on_append_response(const proto::ConsensusMessage& message)
{
    const proto::AppendResponse& response = message.append_response();
    progress* peer =
        note_response(message, response.round(), response.response(), response.durable());
    if (peer == nullptr) {
        return;
    }
    if (response.accepted()) {
        on_accepted(*peer, log_index{response.match()});
    }
    else {
        on_refused(*peer, response);
    }
    serve_confirmed_reads();
    continue_transfer();
}

void replica_impl::on_accepted(progress& peer, log_index match)
{
    const bool advanced = match > peer.match && match <= m_log.last_index();
    if (advanced) {
        peer.match = match;
    }
    peer.next = std::max(peer.next, peer.match.next());
    while (!peer.inflight.empty() && peer.inflight.front() <= peer.match) {
        peer.inflight.pop_front();
    }
    if (peer.mode == progress_mode::snapshot) {
        if (peer.match < m_log.base_index()) {
            return;
        }
        peer.mode = progress_mode::replicate;
        peer.next = peer.match.next();
    }
    if (peer.mode == progress_mode::probe && peer.match >= before(peer.next)) {
        peer.mode = progress_mode::replicate;
    }
    if (advanced && peer.voter) {
        advance_commit();
    }
    send_entries(peer);
}

void replica_impl::on_refused(progress& peer, const proto::AppendResponse& response)
{
    const log_index refused{response.refused_prev()};
    const bool restarted = response.wrong_incarnation();
    const bool stale = refused <= peer.match ||
                       (peer.mode == progress_mode::probe && refused != before(peer.next));
    if (peer.mode == progress_mode::snapshot || (stale && !restarted)) {
        return;
    }
    log_index hint{response.hint_index()};
    hint = std::min(hint, m_log.last_index());
    while (hint > m_log.base_index() &&
           m_log.term_at(hint).value_or(term{}) > term{response.hint_term()}) {
        hint = before(hint);
    }
    peer.next = std::max(peer.match.next(), std::min(peer.next, hint.next()));
    peer.mode = progress_mode::probe;
    peer.inflight.clear();
    peer.probe_sent = false;
    send_entries(peer);
}

void replica_impl::advance_commit()
{
    std::vector<log_index> matches;
    for (const member& voter : m_log.config().voters) {
        const auto it = m_progress.find(voter.id);
        matches.push_back(it == m_progress.end() ? m_durable_index : it->second.match);
    }
    const log_index reached = majority_value(std::move(matches));
    // An entry of an earlier term may be on a majority and still be replaced by a later leader;
    // it is committed only together with one of this term.
    if (reached <= m_commit || m_log.term_at(reached) != m_hard.term) {
        return;
    }
    for (log_index i = m_commit.next(); i <= reached; i = i.next()) {
        m_uncommitted_bytes -= m_log.at(i).payload.size();
    }
    m_commit = reached;
    serve_confirmed_reads();
}

base::time_point replica_impl::first_possible_silence() const
{
    if (!m_elected_by_transfer) {
        return m_leader_since;
    }
    // Elected before the former leader's lease ended: until then that one may have been renewing
    // the members' leases.
    const double factor = 1.0 + 2.0 * m_timing.clock_drift;
    const auto full = std::chrono::duration_cast<base::duration>(m_timing.election_timeout_min);
    return m_leader_since +
           base::duration{static_cast<std::int64_t>(static_cast<double>(full.count()) * factor)};
}

std::vector<member_status> replica_impl::members(base::time_point now) const
{
    std::vector<member_status> result;
    if (m_role != replica_role::leader) {
        return result;
    }
    member_status own;
    own.member = m_self;
    own.voter = is_voter(m_self);
    own.durable = m_durable;
    own.match = m_durable_index;
    own.caught_up = own.responded = true;
    own.last_response = std::max(now, m_now);
    result.push_back(std::move(own));
    for (const auto& [id, peer] : m_progress) {
        member_status status;
        status.member = peer.member;
        status.voter = peer.voter;
        status.durable = peer.durable;
        status.match = peer.match;
        status.caught_up = after(peer.match, m_timing.promotion_lag) >= m_log.last_index();
        status.last_response = std::max(peer.last_response, first_possible_silence());
        status.responded = peer.responded;
        status.other_incarnation = peer.other_incarnation;
        status.snapshot_in_progress = peer.mode == progress_mode::snapshot;
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace lovagebeam::consensus
