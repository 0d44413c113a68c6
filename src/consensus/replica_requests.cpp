#include "lovagebeam/base/errors.h"
#include "lovagebeam/consensus/codec.h"

#include "replica_impl.h"
#include "wire.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace lovagebeam::consensus {

using base::error_code;
using base::make_error;

void replica_impl::reject_proposal(request_tag tag, error_code code, std::string_view text)
{
    m_out.proposals.emplace_back(proposal_rejected{tag, make_error(code, text), m_leader.id});
}

void replica_impl::handle(propose& input)
{
    for (proposal& wanted : input.proposals) {
        if (m_role != replica_role::leader) {
            reject_proposal(wanted.tag, error_code::not_leader, "this member doesn't lead");
        }
        else if (m_transfer) {
            reject_proposal(wanted.tag, error_code::not_leader, "leadership is being transferred");
        }
        else if (m_uncommitted_bytes + wanted.payload.size() > m_timing.max_uncommitted_bytes) {
            reject_proposal(wanted.tag, error_code::queue_full,
                            absl::StrCat(m_uncommitted_bytes, " bytes aren't committed yet"));
        }
        else {
            const log_index index = m_log.last_index().next();
            m_uncommitted_bytes += wanted.payload.size();
            append_to_log({index, m_hard.term, entry_kind::command, std::move(wanted.payload)});
            m_out.proposals.emplace_back(proposal_accepted{wanted.tag, m_hard.term, index});
        }
    }
    if (m_append_from) {
        send_entries_to_all();
    }
}

void replica_impl::reject_reads(const std::vector<request_tag>& tags, error_code code,
                                std::string_view text)
{
    for (const request_tag tag : tags) {
        m_out.reads.emplace_back(read_rejected{tag, make_error(code, text), m_leader.id});
    }
}

void replica_impl::fail_pending_reads(error_code code, std::string_view text)
{
    for (const pending_read& pending : m_reads) {
        reject_reads(pending.tags, code, text);
    }
    m_reads.clear();
}

void replica_impl::handle(const read& input)
{
    if (m_role != replica_role::leader) {
        reject_reads(input.tags, error_code::not_leader, "this member doesn't lead");
        return;
    }
    if (holds_lease() && has_committed_in_term()) {
        for (const request_tag tag : input.tags) {
            m_out.reads.emplace_back(read_ready{tag, m_commit, true});
        }
        return;
    }
    // Only answers to messages that are sent from now on prove that this member still leads.
    m_reads.push_back({m_round + 1, input.tags});
    broadcast_heartbeat(true);
}

void replica_impl::serve_confirmed_reads()
{
    while (!m_reads.empty() && m_reads.front().round <= m_quorum_round && has_committed_in_term()) {
        for (const request_tag tag : m_reads.front().tags) {
            m_out.reads.emplace_back(read_ready{tag, m_commit, false});
        }
        m_reads.pop_front();
    }
}

group_config replica_impl::changed_config(const membership_change& change) const
{
    group_config next = m_log.config();
    const auto same_id = [&](const member& other) { return other.id == change.member.id; };
    switch (change.kind) {
    case change_kind::add_learner:
        next.learners.push_back(change.member);
        break;
    case change_kind::promote:
        std::erase_if(next.learners, same_id);
        next.voters.push_back(change.member);
        break;
    case change_kind::demote:
        std::erase_if(next.voters, same_id);
        next.learners.push_back(change.member);
        break;
    case change_kind::remove_voter:
        std::erase_if(next.voters, same_id);
        break;
    case change_kind::remove_learner:
        std::erase_if(next.learners, same_id);
        break;
    }
    return next;
}

absl::Status replica_impl::check_change(const membership_change& change) const
{
    const auto same_id = [&](const member& other) { return other.id == change.member.id; };
    const auto& learners = m_log.config().learners;
    const auto& voters = m_log.config().voters;
    const bool learner = std::any_of(learners.begin(), learners.end(), same_id);
    const bool voter = std::any_of(voters.begin(), voters.end(), same_id);
    const auto refuse = [&](std::string_view text) {
        return make_error(error_code::invalid_request, change.member.id.str() + std::string{text});
    };
    switch (change.kind) {
    case change_kind::add_learner:
        return change.member.id.empty() || learner || voter ? refuse(" is a member already")
                                                            : absl::OkStatus();
    case change_kind::promote:
        return learner ? check_promotion(change.member) : refuse(" isn't a learner");
    case change_kind::remove_learner:
        return learner ? absl::OkStatus() : refuse(" isn't a learner");
    case change_kind::demote:
    case change_kind::remove_voter:
        if (!is_voter(change.member)) {
            return refuse(" isn't a voter under this incarnation");
        }
        return change.member == m_self ? refuse(" leads; transfer leadership first")
                                       : absl::OkStatus();
    }
    return refuse(" can't be changed in an unknown way");
}

absl::Status replica_impl::check_promotion(const member& candidate) const
{
    const progress& peer = m_progress.at(candidate.id);
    if (peer.member != candidate || candidate.incarnation == incarnation{} || !peer.durable) {
        return make_error(
            error_code::invalid_request,
            absl::StrCat(candidate.id.str(), " reports another incarnation or no disk"));
    }
    if (after(peer.match, m_timing.promotion_lag) < m_log.last_index()) {
        return make_error(error_code::invalid_request,
                          absl::StrCat(candidate.id.str(), " has the log only up to ",
                                       peer.match.value(), " of ", m_log.last_index().value()));
    }
    return absl::OkStatus();
}

absl::Status replica_impl::check_majority(const group_config& next) const
{
    std::size_t present = 0;
    for (const member& voter : next.voters) {
        const auto it = m_progress.find(voter.id);
        const bool here =
            it == m_progress.end()
                ? voter == m_self
                : it->second.responded &&
                      it->second.last_response + m_timing.election_timeout_min > m_now;
        present += here ? 1 : 0;
    }
    if (present < next.voters.size() / 2 + 1) {
        return make_error(error_code::no_quorum,
                          absl::StrCat("only ", present, " of ", next.voters.size(),
                                       " voters of the changed group answer"));
    }
    return absl::OkStatus();
}

void replica_impl::handle(const change_membership& input)
{
    const auto reject = [&](const absl::Status& reason) {
        m_out.proposals.emplace_back(proposal_rejected{input.tag, reason, m_leader.id});
    };
    if (m_role != replica_role::leader || m_transfer) {
        return reject(make_error(error_code::not_leader, "this member doesn't lead"));
    }
    // Two groups that differ by more than one voter can have majorities without a common voter.
    if (!has_committed_in_term() || !is_config_committed()) {
        return reject(make_error(error_code::no_quorum, "an earlier change isn't committed"));
    }
    if (const absl::Status status = check_change(input.change); !status.ok()) {
        return reject(status);
    }
    const group_config next = changed_config(input.change);
    if (next.voters != m_log.config().voters) {
        if (const absl::Status status = check_majority(next); !status.ok()) {
            return reject(status);
        }
    }
    const log_index index = m_log.last_index().next();
    std::string payload = encode_config(next);
    m_uncommitted_bytes += payload.size();
    append_to_log({index, m_hard.term, entry_kind::membership, std::move(payload)});
    m_out.proposals.emplace_back(proposal_accepted{input.tag, m_hard.term, index});
    send_entries_to_all();
}

void replica_impl::handle(const transfer_leadership& input)
{
    if (m_role != replica_role::leader) {
        m_out.transfer_failed = make_error(error_code::not_leader, "this member doesn't lead");
        return;
    }
    const progress* best = nullptr;
    for (const auto& [id, peer] : m_progress) {
        const bool wanted = peer.voter && (!input.to || *input.to == id) &&
                            peer.last_response + m_timing.election_timeout_min > m_now;
        if (wanted && (best == nullptr || peer.match > best->match)) {
            best = &peer;
        }
    }
    if (best == nullptr || m_transfer) {
        m_out.transfer_failed =
            make_error(error_code::invalid_request, "no other voter can take over now");
        return;
    }
    m_transfer = transfer_state{best->member.id, m_now + m_timing.election_timeout_max};
    continue_transfer();
}

void replica_impl::continue_transfer()
{
    if (!m_transfer || m_transfer->asked) {
        return;
    }
    const auto it = m_progress.find(m_transfer->target);
    if (it == m_progress.end() || it->second.match < m_log.last_index()) {
        return;
    }
    m_transfer->asked = true;
    // The request may arrive at any later time and starts an election that the voters don't hold
    // back, so this term's lease is given up for good, even if the transfer fails.
    m_lease_revoked = true;
    proto::ConsensusMessage message = make_message(it->second.member);
    message.mutable_timeout_now();
    send(std::move(message));
}

void replica_impl::expire_transfer()
{
    if (m_transfer && m_now >= m_transfer->deadline) {
        m_out.transfer_failed =
            make_error(error_code::timed_out,
                       absl::StrCat(m_transfer->target.str(), " didn't take over in time"));
        m_transfer.reset();
    }
}

} // namespace lovagebeam::consensus
