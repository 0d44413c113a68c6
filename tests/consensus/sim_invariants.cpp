#include "sim_invariants.h"

#include <absl/strings/str_cat.h>

namespace lovagebeam::consensus::test {

void sim_log_view::reset(log_index base, const std::vector<log_entry>& entries)
{
    m_base = base;
    m_terms.clear();
    for (const log_entry& entry : entries) {
        m_terms.push_back(entry.term);
    }
}

void sim_log_view::apply(const persist_request& request)
{
    if (request.truncate_from && *request.truncate_from > m_base) {
        m_terms.resize(std::min(
            m_terms.size(),
            static_cast<std::size_t>(request.truncate_from->value() - m_base.value() - 1)));
    }
    for (const log_entry& entry : request.entries) {
        if (entry.index != last().next()) {
            throw violation(absl::StrCat("persist order: entry ", entry.index.value(), " follows ",
                                         last().value()));
        }
        m_terms.push_back(entry.term);
    }
}

void sim_invariants::on_leader(const member& leader, term at_term, const sim_log_view& log)
{
    const auto [it, added] = m_leaders.emplace(at_term, leader);
    if (!added && it->second != leader) {
        throw violation(absl::StrCat("one leader per term: ", it->second.id.str(), " and ",
                                     leader.id.str(), " in term ", at_term.value()));
    }
    for (std::size_t i = log.base().value(); added && i < m_committed.size(); ++i) {
        const committed_entry& entry = m_committed[i];
        if (entry.committing_term < at_term &&
            (entry.entry.index > log.last() ||
             log.term_at(entry.entry.index) != entry.entry.term)) {
            throw violation(absl::StrCat("leader completeness: ", leader.id.str(), " of term ",
                                         at_term.value(), " lacks committed entry ",
                                         entry.entry.index.value()));
        }
    }
}

void sim_invariants::on_message(const proto::ConsensusMessage& message)
{
    const auto member_of = [](const proto::Member& value) {
        return member{base::node_id{value.id()}, incarnation{value.incarnation()}};
    };
    if (message.has_vote_response() && message.vote_response().granted() &&
        !message.vote_response().pre_vote()) {
        on_vote(member_of(message.from()), term{message.vote_response().requested_term()},
                member_of(message.to()));
    }
    // A vote request implies the candidate's vote for itself.
    if (message.has_vote_request() && !message.vote_request().pre_vote()) {
        on_vote(member_of(message.from()), term{message.term()}, member_of(message.from()));
    }
}

void sim_invariants::on_vote(const member& voter, term at_term, const member& candidate)
{
    const auto [it, added] = m_votes.emplace(std::make_pair(voter, at_term), candidate);
    if (!added && it->second != candidate) {
        throw violation(absl::StrCat("second vote: ", voter.id.str(), " in term ", at_term.value(),
                                     " for ", it->second.id.str(), " and ", candidate.id.str()));
    }
}

void sim_invariants::on_entries(const sim_log_view& before, const persist_request& request)
{
    if (request.entries.empty()) {
        return;
    }
    const log_index first = request.entries.front().index;
    const log_index previous{first.value() - 1};
    bool known = previous > before.base() && previous <= before.last();
    term previous_term = known ? before.term_at(previous) : term{};
    for (const log_entry& entry : request.entries) {
        if (known) {
            const auto [it, added] =
                m_entries.emplace(std::make_pair(entry.index, entry.term),
                                  std::make_pair(previous_term, entry.payload));
            if (!added && it->second != std::make_pair(previous_term, entry.payload)) {
                throw violation(absl::StrCat("log matching: two entries at index ",
                                             entry.index.value(), " in term ", entry.term.value()));
            }
        }
        known = true;
        previous_term = entry.term;
    }
}

void sim_invariants::on_commit(const log_entry& entry, term committing_term)
{
    const std::size_t position = entry.index.value() - 1;
    if (position < m_committed.size()) {
        if (m_committed[position].entry != entry) {
            throw violation(absl::StrCat("state machine safety: two entries applied at index ",
                                         entry.index.value()));
        }
        m_committed[position].committing_term =
            std::min(m_committed[position].committing_term, committing_term);
        return;
    }
    if (position > m_committed.size()) {
        throw violation(absl::StrCat("apply order: entry ", entry.index.value(), " after ",
                                     m_committed.size()));
    }
    m_committed.push_back({entry, committing_term});
}

} // namespace lovagebeam::consensus::test
