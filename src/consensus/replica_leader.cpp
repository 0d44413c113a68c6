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
        m_role = m_role == replica_role::learner || non_leader_role() == replica_role::learner
                     ? non_leader_role()
                     : m_role;
        return;
    }
    std::map<base::node_id, progress> updated;
    const auto add_or_update = [&](const member& configured, bool voter) {
        if (configured.id == m_self.id) {
            return;
        }
        auto node = m_progress.extract(configured.id);
        progress& peer = node.empty() ? updated[configured.id]
                                      : updated.insert(std::move(node)).position->second;
        const bool is_known = peer.next != log_index{};
        // A learner's incarnation is updated from its responses; a voter's is set by the
        // configuration.
        if (!is_known || (voter && peer.member != configured)) {
            peer.member = configured;
            reset_progress(peer);
        }
        if (!is_known) {
            peer.last_response = m_now;
        }
        peer.voter = voter;
    };
    for (const member& voter : m_log.config().voters) {
        add_or_update(voter, true);
    }
    for (const member& learner : m_log.config().learners) {
        add_or_update(learner, false);
    }
    m_progress = std::move(updated);
}

void replica_impl::reset_progress(progress& peer)
{
    peer.mode = progress_mode::probe;
    peer.match = log_index{};
    peer.next = m_log.last_index().next();
    peer.probe_sent = false;
    peer.inflight.clear();
    peer.last_received_response = 0;
    peer.responded = false;
    peer.round = 0;
}

base::duration replica_impl::lease_duration() const
{
    // In the worst case, the voter's clock runs fast and the leader's runs slow.
    const double ratio = (1.0 - m_timing.clock_drift) / (1.0 + m_timing.clock_drift);
    const auto full = std::chrono::duration_cast<base::duration>(m_timing.election_timeout_min);
    return base::duration{static_cast<std::int64_t>(static_cast<double>(full.count()) * ratio)};
}

bool replica_impl::holds_lease() const
{
    return m_role == replica_role::leader && !m_lease_revoked && has_quorum_contact();
}

bool replica_impl::has_quorum_contact() const
{
    return m_last_quorum_contact && m_now < *m_last_quorum_contact + lease_duration();
}

bool replica_impl::has_committed_in_term() const
{
    return m_log.term_at(m_commit_index) == m_hard_state.term;
}

void replica_impl::check_quorum()
{
    if (m_role != replica_role::leader) {
        return;
    }
    if (majority() == 1 && is_voter(m_self)) {
        m_last_quorum_contact = m_now;
    }
    const base::time_point last_contact =
        std::max(m_last_quorum_contact.value_or(m_leader_since), m_leader_since);
    if (m_now >= last_contact + lease_duration()) {
        become_follower(m_hard_state.term, member{});
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
        m_last_quorum_contact =
            std::max(m_last_quorum_contact, std::optional{m_rounds.front().time});
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
    request.set_commit(m_commit_index.value());
    request.set_round(m_round);
    request.set_heard_response(peer.last_received_response);
    std::size_t count = 0;
    std::size_t size = 0;
    for (log_index i = prev.next(); i <= m_log.last_index() && count < max_entries; i = i.next()) {
        const log_entry& entry = m_log.at(i);
        size += entry.payload.size();
        if (count > 0 && size > m_timing.max_batch_bytes) {
            break;
        }
        wire::to_proto(entry, *request.add_entries());
        ++count;
    }
    send(std::move(message));
    return count;
}

progress* replica_impl::record_response(const proto::ConsensusMessage& message, std::uint64_t round,
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
    // Without quorum contact, another leader that doesn't know of this contact may already exist.
    if (has_quorum_contact()) {
        peer.last_received_response = std::max(peer.last_received_response, response);
    }
    return &peer;
}

void replica_impl::on_append_response(const proto::ConsensusMessage& message)
{
    const proto::AppendResponse& response = message.append_response();
    progress* peer =
        record_response(message, response.round(), response.response(), response.durable());
    if (peer == nullptr) {
        return;
    }
    if (response.accepted()) {
        on_accepted(*peer, log_index{response.match()});
    }
    else {
        on_rejected(*peer, response);
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

void replica_impl::on_rejected(progress& peer, const proto::AppendResponse& response)
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
    // An entry of an earlier term may be stored on a majority and still be replaced by a later
    // leader; it is committed only together with an entry of the current term.
    if (reached <= m_commit_index || m_log.term_at(reached) != m_hard_state.term) {
        return;
    }
    for (log_index i = m_commit_index.next(); i <= reached; i = i.next()) {
        m_uncommitted_bytes -= m_log.at(i).payload.size();
    }
    m_commit_index = reached;
    serve_confirmed_reads();
}

base::time_point replica_impl::earliest_contact_loss() const
{
    if (!m_elected_by_transfer) {
        return m_leader_since;
    }
    // A transfer can elect this leader before the previous leader's lease ends; until then the
    // previous leader may have renewed the members' leases.
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
        status.last_response = std::max(peer.last_response, earliest_contact_loss());
        status.responded = peer.responded;
        status.other_incarnation = peer.other_incarnation;
        status.snapshot_in_progress = peer.mode == progress_mode::snapshot;
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace lovagebeam::consensus
