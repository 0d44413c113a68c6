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
    m_effects.proposals.emplace_back(proposal_rejected{tag, make_error(code, text), m_leader.id});
}

void replica_impl::handle(propose& input)
{
    for (proposal& item : input.proposals) {
        if (m_role != replica_role::leader) {
            reject_proposal(item.tag, error_code::not_leader, "this member isn't the leader");
        }
        else if (m_transfer) {
            reject_proposal(item.tag, error_code::not_leader,
                            "a leadership transfer is in progress");
        }
        else if (m_uncommitted_bytes + item.payload.size() > m_timing.max_uncommitted_bytes) {
            reject_proposal(item.tag, error_code::queue_full,
                            absl::StrCat(m_uncommitted_bytes, " bytes are not yet committed"));
        }
        else {
            const log_index index = m_log.last_index().next();
            m_uncommitted_bytes += item.payload.size();
            append_to_log({index, m_hard_state.term, entry_kind::command, std::move(item.payload)});
            m_effects.proposals.emplace_back(proposal_accepted{item.tag, m_hard_state.term, index});
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
        m_effects.reads.emplace_back(read_rejected{tag, make_error(code, text), m_leader.id});
    }
}

void replica_impl::fail_pending_reads(error_code code, std::string_view text)
{
    for (const pending_read& pending : m_pending_reads) {
        reject_reads(pending.tags, code, text);
    }
    m_pending_reads.clear();
}

void replica_impl::handle(const read& input)
{
    if (m_role != replica_role::leader) {
        reject_reads(input.tags, error_code::not_leader, "this member isn't the leader");
        return;
    }
    if (holds_lease() && has_committed_in_term()) {
        for (const request_tag tag : input.tags) {
            m_effects.reads.emplace_back(read_ready{tag, m_commit_index, true});
        }
        return;
    }
    // Only responses to messages sent from now on prove that this member is still the leader.
    m_pending_reads.push_back({m_round + 1, input.tags});
    broadcast_heartbeat(true);
}

void replica_impl::serve_confirmed_reads()
{
    while (!m_pending_reads.empty() && m_pending_reads.front().round <= m_quorum_round &&
           has_committed_in_term()) {
        for (const request_tag tag : m_pending_reads.front().tags) {
            m_effects.reads.emplace_back(read_ready{tag, m_commit_index, false});
        }
        m_pending_reads.pop_front();
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
    const auto reject = [&](std::string_view text) {
        return make_error(error_code::invalid_request, change.member.id.str() + std::string{text});
    };
    switch (change.kind) {
    case change_kind::add_learner:
        return change.member.id.empty() || learner || voter ? reject(" is a member already")
                                                            : absl::OkStatus();
    case change_kind::promote:
        return learner ? check_promotion(change.member) : reject(" isn't a learner");
    case change_kind::remove_learner:
        return learner ? absl::OkStatus() : reject(" isn't a learner");
    case change_kind::demote:
    case change_kind::remove_voter:
        if (!is_voter(change.member)) {
            return reject(" isn't a voter under this incarnation");
        }
        return change.member == m_self ? reject(" is the leader; transfer leadership first")
                                       : absl::OkStatus();
    }
    return reject(": unknown kind of membership change");
}

absl::Status replica_impl::check_promotion(const member& candidate) const
{
    const progress& peer = m_progress.at(candidate.id);
    if (peer.member != candidate || candidate.incarnation == incarnation{} || !peer.durable) {
        return make_error(
            error_code::invalid_request,
            absl::StrCat(candidate.id.str(), " has a different incarnation or no disk"));
    }
    if (after(peer.match, m_timing.promotion_lag) < m_log.last_index()) {
        return make_error(error_code::invalid_request,
                          absl::StrCat(candidate.id.str(), " has replicated only up to index ",
                                       peer.match.value(), " of ", m_log.last_index().value()));
    }
    return absl::OkStatus();
}

absl::Status replica_impl::check_majority(const group_config& next) const
{
    std::size_t present = 0;
    for (const member& voter : next.voters) {
        const auto it = m_progress.find(voter.id);
        const bool is_present =
            it == m_progress.end()
                ? voter == m_self
                : it->second.responded &&
                      it->second.last_response + m_timing.election_timeout_min > m_now;
        present += is_present ? 1 : 0;
    }
    if (present < next.voters.size() / 2 + 1) {
        return make_error(error_code::no_quorum,
                          absl::StrCat("only ", present, " of ", next.voters.size(),
                                       " voters of the changed group respond"));
    }
    return absl::OkStatus();
}

void replica_impl::handle(const change_membership& input)
{
    const auto reject = [&](const absl::Status& reason) {
        m_effects.proposals.emplace_back(proposal_rejected{input.tag, reason, m_leader.id});
    };
    if (m_role != replica_role::leader || m_transfer) {
        return reject(make_error(error_code::not_leader, "this member isn't the leader"));
    }
    // Configurations that differ by more than one voter can have disjoint majorities.
    if (!has_committed_in_term() || !is_config_committed()) {
        return reject(
            make_error(error_code::no_quorum, "an earlier membership change isn't committed"));
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
    append_to_log({index, m_hard_state.term, entry_kind::membership, std::move(payload)});
    m_effects.proposals.emplace_back(proposal_accepted{input.tag, m_hard_state.term, index});
    send_entries_to_all();
}

void replica_impl::handle(const transfer_leadership& input)
{
    if (m_role != replica_role::leader) {
        m_effects.transfer_failed =
            make_error(error_code::not_leader, "this member isn't the leader");
        return;
    }
    const progress* best = nullptr;
    for (const auto& [id, peer] : m_progress) {
        const bool is_eligible = peer.voter && (!input.to || *input.to == id) &&
                                 peer.last_response + m_timing.election_timeout_min > m_now;
        if (is_eligible && (best == nullptr || peer.match > best->match)) {
            best = &peer;
        }
    }
    if (best == nullptr || m_transfer) {
        m_effects.transfer_failed =
            make_error(error_code::invalid_request,
                       "no other voter is available, or a transfer is in progress");
        return;
    }
    m_transfer = transfer_state{best->member.id, m_now + m_timing.election_timeout_max};
    continue_transfer();
}

void replica_impl::continue_transfer()
{
    if (!m_transfer || m_transfer->request_sent) {
        return;
    }
    const auto it = m_progress.find(m_transfer->target);
    if (it == m_progress.end() || it->second.match < m_log.last_index()) {
        return;
    }
    m_transfer->request_sent = true;
    // The request may arrive arbitrarily late and starts an election that the voters don't
    // suppress, so this term's lease is revoked permanently, even if the transfer fails.
    m_lease_revoked = true;
    proto::ConsensusMessage message = make_message(it->second.member);
    message.mutable_timeout_now();
    send(std::move(message));
}

void replica_impl::expire_transfer()
{
    if (m_transfer && m_now >= m_transfer->deadline) {
        m_effects.transfer_failed =
            make_error(error_code::timed_out, absl::StrCat(m_transfer->target.str(),
                                                           " didn't take over leadership in time"));
        m_transfer.reset();
    }
}

} // namespace lovagebeam::consensus
