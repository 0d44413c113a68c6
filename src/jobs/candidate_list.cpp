#include "lovagebeam/jobs/candidate_list.h"

#include <algorithm>

namespace lovagebeam::jobs {

void candidate_list::update(const base::worker_id& id, const worker_info* info, const size& used,
                            bool is_usable)
{
    auto& known = entry(id);
    if (known.is_usable) {
        m_pools[known.pool].free -= known.free;
        m_pools[known.pool].capacity -= known.capacity;
        m_pools[known.pool].planned -= known.planned;
    }
    known.info = info;
    known.is_usable = is_usable && info != nullptr;
    if (info == nullptr) {
        return;
    }
    known.pool = pool_index(info->pool);
    known.capacity = info->capacity;
    known.free = known.capacity - used - known.planned;
    if (known.is_usable) {
        m_pools[known.pool].free += known.free;
        m_pools[known.pool].capacity += known.capacity;
        m_pools[known.pool].planned += known.planned;
    }
}

void candidate_list::book(candidate& on, const size& more)
{
    on.planned += more;
    on.free -= more;
    if (on.is_usable) {
        m_pools[on.pool].free -= more;
        m_pools[on.pool].planned += more;
    }
}

void candidate_list::release(candidate& on, const size& less)
{
    on.planned -= less;
    on.free += less;
    if (on.is_usable) {
        m_pools[on.pool].free += less;
        m_pools[on.pool].planned -= less;
    }
}

void candidate_list::begin_pass()
{
    for (auto& each : m_pools) {
        each.largest_free = {};
    }
    for (const auto& each : m_candidates) {
        if (each.is_usable) {
            auto& largest = m_pools[each.pool].largest_free;
            largest = larger_of_each(largest, each.free);
        }
    }
}

candidate_list::candidate* candidate_list::find_usable(const base::worker_id& id)
{
    const auto found = m_by_id.find(id);
    return found == m_by_id.end() || !found->second->is_usable ? nullptr : found->second;
}

candidate_list::candidate& candidate_list::entry(const base::worker_id& id)
{
    auto& known = m_by_id[id];
    if (known == nullptr) {
        known = &m_candidates.emplace_back();
        known->index = m_candidates.size() - 1;
    }
    return *known;
}

const candidate_list::pool_total* candidate_list::pool(const std::string& name) const
{
    const auto found = std::ranges::find(m_pools, name, &pool_total::name);
    return found == m_pools.end() ? nullptr : &*found;
}

std::size_t candidate_list::pool_index(const std::string& name)
{
    const auto found = std::ranges::find(m_pools, name, &pool_total::name);
    if (found != m_pools.end()) {
        return static_cast<std::size_t>(found - m_pools.begin());
    }
    m_pools.push_back({name, {}, {}, {}, {}});
    return m_pools.size() - 1;
}

} // namespace lovagebeam::jobs
