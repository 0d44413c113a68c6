#pragma once

#include "lovagebeam/routing/types.h"

#include "membership.h"

#include <map>
#include <vector>

namespace lovagebeam::routing {

/// All targets that this host knows, by the home that listed them. Every member maintains it, so
/// that a later home of a target knows the target even if it never announces itself again.
class target_registry {
public:
    void store(const base::node_id& home, base::epoch number, std::vector<target_info> targets)
    {
        m_lists[home] = {number, std::move(targets)};
    }

    /// Removes lists of earlier epochs once every member has sent one for the current epoch.
    void prune(const membership& members)
    {
        for (const auto& member : members.members()) {
            const auto found = m_lists.find(member);
            if (found == m_lists.end() || found->second.number != members.number()) {
                return;
            }
        }
        std::erase_if(m_lists,
                      [&](const auto& item) { return item.second.number != members.number(); });
    }

    template <class Function>
    void for_each(Function&& function) const
    {
        for (const auto& [home, list] : m_lists) {
            for (const auto& info : list.targets) {
                function(info);
            }
        }
    }

    [[nodiscard]] std::size_t count_of(const base::node_id& home) const
    {
        const auto found = m_lists.find(home);
        return found == m_lists.end() ? 0 : found->second.targets.size();
    }

    [[nodiscard]] std::size_t count() const
    {
        std::size_t sum = 0;
        for (const auto& [home, list] : m_lists) {
            sum += list.targets.size();
        }
        return sum;
    }

private:
    struct target_list {
        base::epoch number;
        std::vector<target_info> targets;
    };

    std::map<base::node_id, target_list, node_order> m_lists;
};

} // namespace lovagebeam::routing
