#include "lovagebeam/consensus/repair_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace lovagebeam::consensus {

namespace {

/// Selects one change for a view.
class change_selector {
public:
    change_selector(const repair_view& view, const repair_settings& settings)
        : m_view{view}, m_settings{settings}
    {
        for (const disk_host& host : view.hosts) {
            m_hosts.emplace(host.member.id, &host);
        }
        for (const member_status& status : view.members) {
            (status.voter ? m_voters : m_learners).push_back(&status);
        }
        for (const member_status* voter : m_voters) {
            if (!is_lost(*voter)) {
                ++m_domains[domain_of(voter->member.id)];
            }
        }
    }

    [[nodiscard]] std::optional<membership_change> select() const
    {
        const auto lost = std::find_if(m_voters.begin(), m_voters.end(),
                                       [&](const auto* voter) { return is_lost(*voter); });
        const member_status* lost_voter = lost == m_voters.end() ? nullptr : *lost;
        if (m_voters.size() > m_settings.target_voters) {
            return remove(lost_voter != nullptr ? lost_voter : voter_in_largest_domain());
        }
        if (lost_voter != nullptr || m_voters.size() < m_settings.target_voters) {
            return replace(lost_voter);
        }
        return improve_spread();
    }

private:
    [[nodiscard]] bool is_lost(const member_status& voter) const
    {
        return voter.other_incarnation.has_value() ||
               voter.last_response + m_settings.lost_voter_timeout <= m_view.now;
    }

    [[nodiscard]] bool is_present(const member_status& status) const
    {
        return status.responded && status.caught_up && !status.other_incarnation &&
               status.last_response + m_settings.presence_timeout > m_view.now;
    }

    [[nodiscard]] base::failure_domain domain_of(const base::node_id& id) const
    {
        const auto it = m_hosts.find(id);
        return it == m_hosts.end() ? base::failure_domain{} : it->second->domain;
    }

    [[nodiscard]] std::size_t voters_in(const base::failure_domain& domain) const
    {
        const auto it = m_domains.find(domain);
        return it == m_domains.end() ? 0 : it->second;
    }

    [[nodiscard]] std::size_t present_voters() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_voters.begin(), m_voters.end(),
                          [&](const auto* voter) { return is_present(*voter); }));
    }

    static bool is_majority(std::size_t present, std::size_t voters)
    {
        return present >= voters / 2 + 1;
    }

    [[nodiscard]] std::optional<membership_change> remove(const member_status* voter) const
    {
        if (voter == nullptr || m_voters.size() < 2) {
            return std::nullopt;
        }
        const std::size_t present = present_voters() - (is_present(*voter) ? 1 : 0);
        if (!is_majority(present, m_voters.size() - 1)) {
            return std::nullopt;
        }
        // The identity of a lost disk never returns. A host that is only absent stays a learner, so
        // that it can catch up and become a voter again.
        const auto kind =
            voter->other_incarnation ? change_kind::remove_voter : change_kind::demote;
        return membership_change{kind, voter->member};
    }

    /// Promotes a ready learner before the lost voter is removed, so that the group doesn't shrink
    /// while a voter that was only absent can still return.
    [[nodiscard]] std::optional<membership_change> replace(const member_status* lost_voter) const
    {
        if (const member_status* ready = best_promotable_learner(); ready != nullptr) {
            if (is_majority(present_voters() + 1, m_voters.size() + 1)) {
                return membership_change{change_kind::promote, ready->member};
            }
            return std::nullopt;
        }
        if (is_learner_catching_up()) {
            return std::nullopt;
        }
        if (const disk_host* host = best_new_host(); host != nullptr) {
            return membership_change{change_kind::add_learner, host->member};
        }
        // The only replacement is the host itself, under its new incarnation.
        if (lost_voter != nullptr && lost_voter->other_incarnation) {
            return remove(lost_voter);
        }
        return std::nullopt;
    }

    /// Promotes a learner whose domain has at least two voters fewer than the largest one. The
    /// surplus voter of the largest domain is removed by a later change.
    [[nodiscard]] std::optional<membership_change> improve_spread() const
    {
        const member_status* ready = best_promotable_learner();
        const member_status* surplus = voter_in_largest_domain();
        if (ready == nullptr || surplus == nullptr || present_voters() != m_voters.size()) {
            return std::nullopt;
        }
        const std::size_t learner_domain_voters = voters_in(domain_of(ready->member.id));
        if (voters_in(domain_of(surplus->member.id)) < learner_domain_voters + 2) {
            return std::nullopt;
        }
        return membership_change{change_kind::promote, ready->member};
    }

    /// Returns a voter from the domain with the most voters; never the leader.
    [[nodiscard]] const member_status* voter_in_largest_domain() const
    {
        const auto rank = [&](const member_status* voter) {
            return std::make_tuple(voters_in(domain_of(voter->member.id)), voter->member.id);
        };
        const member_status* best = nullptr;
        for (const member_status* voter : m_voters) {
            if (voter->member.id != m_view.leader &&
                (best == nullptr || rank(voter) > rank(best))) {
                best = voter;
            }
        }
        return best;
    }

    [[nodiscard]] bool is_available(const base::node_id& id) const
    {
        const auto it = m_hosts.find(id);
        return it != m_hosts.end() && it->second->available;
    }

    [[nodiscard]] const member_status* best_promotable_learner() const
    {
        const member_status* best = nullptr;
        for (const member_status* learner : m_learners) {
            // A host that just lost its disk may still appear caught up under its old incarnation,
            // which can never vote.
            const auto host = m_hosts.find(learner->member.id);
            const bool ready = is_present(*learner) && learner->durable && host != m_hosts.end() &&
                               host->second->available && host->second->member == learner->member;
            if (ready && (best == nullptr || is_preferred(learner->member.id, best->member.id))) {
                best = learner;
            }
        }
        return best;
    }

    [[nodiscard]] bool is_learner_catching_up() const
    {
        return std::any_of(m_learners.begin(), m_learners.end(), [&](const auto* learner) {
            return learner->durable && !learner->caught_up && is_available(learner->member.id) &&
                   learner->last_response + m_settings.presence_timeout > m_view.now;
        });
    }

    [[nodiscard]] const disk_host* best_new_host() const
    {
        const disk_host* best = nullptr;
        for (const disk_host& host : m_view.hosts) {
            const bool is_member = std::any_of(
                m_view.members.begin(), m_view.members.end(),
                [&](const member_status& status) { return status.member.id == host.member.id; });
            const bool is_eligible = !is_member && host.available;
            if (is_eligible && (best == nullptr || is_preferred(host.member.id, best->member.id))) {
                best = &host;
            }
        }
        return best;
    }

    [[nodiscard]] bool is_preferred(const base::node_id& left, const base::node_id& right) const
    {
        return std::make_tuple(voters_in(domain_of(left)), left) <
               std::make_tuple(voters_in(domain_of(right)), right);
    }

    const repair_view& m_view;
    const repair_settings& m_settings;
    std::map<base::node_id, const disk_host*> m_hosts;
    std::vector<const member_status*> m_voters;
    std::vector<const member_status*> m_learners;
    std::map<base::failure_domain, std::size_t> m_domains;
};

} // namespace

std::optional<membership_change> repair_planner::plan(const repair_view& view) const
{
    if (view.change_pending || view.members.empty()) {
        return std::nullopt;
    }
    return change_selector{view, m_settings}.select();
}

} // namespace lovagebeam::consensus
