#pragma once

#include "lovagebeam/consensus/effects.h"
#include "lovagebeam/consensus/types.h"

#include "sim_history.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::consensus::test {

/// The log of one replica as its persist effects describe it, durable or not.
class sim_log_view {
public:
    void reset(log_index base, const std::vector<log_entry>& entries);
    void apply(const persist_request& request);
    [[nodiscard]] log_index base() const { return m_base; }
    [[nodiscard]] log_index last() const { return log_index{m_base.value() + m_terms.size()}; }
    /// `index` must lie in (base, last].
    [[nodiscard]] term term_at(log_index index) const
    {
        return m_terms[index.value() - m_base.value() - 1];
    }

private:
    log_index m_base;
    std::vector<term> m_terms;
};

/// Observes all replicas of a group and throws `violation` as soon as an invariant is violated.
class sim_invariants {
public:
    /// One leader per term, and leader completeness.
    void on_leader(const member& leader, term at_term, const sim_log_view& log);
    /// No second vote in a term, among the sent messages.
    void on_message(const proto::ConsensusMessage& message);
    void on_vote(const member& voter, term at_term, const member& candidate);
    /// Log matching: equal index and term mean equal entries and equal predecessors.
    void on_entries(const sim_log_view& before, const persist_request& request);
    /// State machine safety: every replica applies the same entry at an index.
    void on_commit(const log_entry& entry, term committing_term);

    [[nodiscard]] log_index last_committed() const { return log_index{m_committed.size()}; }
    [[nodiscard]] term last_leader_term() const
    {
        return m_leaders.empty() ? term{} : m_leaders.rbegin()->first;
    }
    [[nodiscard]] const log_entry& committed(std::size_t i) const { return m_committed[i].entry; }

private:
    struct committed_entry {
        log_entry entry;
        term committing_term;
    };

    std::map<term, member> m_leaders;
    std::map<std::pair<member, term>, member> m_votes;
    std::map<std::pair<log_index, term>, std::pair<term, std::string>> m_entries;
    std::vector<committed_entry> m_committed;
};

} // namespace lovagebeam::consensus::test
