#include "lovagebeam/consensus/repair_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace lovagebeam::consensus {

namespace {

/// One decision: the view, sorted into what the rules ask for.
class decision {
public:
    decision(const repair_view& view, const repair_settings& settings)
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

    [[nodiscard]] std::optional<membership_change> choose() const
    {
        const auto lost = std::find_if(m_voters.begin(), m_voters.end(),
                                       [&](const auto* voter) { return is_lost(*voter); });
        const member_status* gone = lost == m_voters.end() ? nullptr : *lost;
        if (m_voters.size() > m_settings.target_voters) {
            return remove(gone != nullptr ? gone : most_crowded());
        }
        if (gone != nullptr || m_voters.size() < m_settings.target_voters) {
            return replace(gone);
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
        // A lost disk's identity never comes back; a host that is merely absent stays a learner, so
        // that it catches up and can be a voter again.
        const auto kind =
            voter->other_incarnation ? change_kind::remove_voter : change_kind::demote;
        return membership_change{kind, voter->member};
    }

    /// Adds a voter first where one is ready, so that the group doesn't shrink while a voter that
    /// was only away can still come back.
    [[nodiscard]] std::optional<membership_change> replace(const member_status* gone) const
    {
        if (const member_status* ready = best_learner(); ready != nullptr) {
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
        // The host itself is its only replacement, under its new incarnation.
        if (gone != nullptr && gone->other_incarnation) {
            return remove(gone);
        }
        return std::nullopt;
    }

    /// Swaps a voter of a crowded domain against a learner of one with at least two voters fewer.
    [[nodiscard]] std::optional<membership_change> improve_spread() const
    {
        const member_status* ready = best_learner();
        const member_status* crowded = most_crowded();
        if (ready == nullptr || crowded == nullptr || present_voters() != m_voters.size()) {
            return std::nullopt;
        }
        const std::size_t low = voters_in(domain_of(ready->member.id));
        if (voters_in(domain_of(crowded->member.id)) < low + 2) {
            return std::nullopt;
        }
        return membership_change{change_kind::promote, ready->member};
    }

    /// Returns the voter to give up: from the domain with the most voters, never the leader.
    [[nodiscard]] const member_status* most_crowded() const
    {
        const auto crowd = [&](const member_status* voter) {
            return std::make_tuple(voters_in(domain_of(voter->member.id)), voter->member.id);
        };
        const member_status* best = nullptr;
        for (const member_status* voter : m_voters) {
            if (voter->member.id != m_view.leader &&
                (best == nullptr || crowd(voter) > crowd(best))) {
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

    [[nodiscard]] const member_status* best_learner() const
    {
        const member_status* best = nullptr;
        for (const member_status* learner : m_learners) {
            // A host that lost its disk a moment ago may still look caught up under its old
            // incarnation, which can never vote.
            const auto host = m_hosts.find(learner->member.id);
            const bool ready = is_present(*learner) && learner->durable && host != m_hosts.end() &&
                               host->second->available && host->second->member == learner->member;
            if (ready && (best == nullptr || is_better(learner->member.id, best->member.id))) {
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
            const bool known = std::any_of(
                m_view.members.begin(), m_view.members.end(),
                [&](const member_status& status) { return status.member.id == host.member.id; });
            const bool wanted = !known && host.available;
            if (wanted && (best == nullptr || is_better(host.member.id, best->member.id))) {
                best = &host;
            }
        }
        return best;
    }

    [[nodiscard]] bool is_better(const base::node_id& left, const base::node_id& right) const
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
    return decision{view, m_settings}.choose();
}

} // namespace lovagebeam::consensus
