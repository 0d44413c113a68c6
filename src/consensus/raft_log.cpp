#include "raft_log.h"

#include "lovagebeam/consensus/codec.h"

#include <cassert>

namespace lovagebeam::consensus {

void raft_log::reset(log_index index, term at_term, group_config config)
{
    m_base_index = index;
    m_base_term = at_term;
    m_entries.clear();
    m_configs.clear();
    m_configs.emplace_back(index, std::move(config));
}

std::optional<term> raft_log::term_at(log_index index) const
{
    if (index < m_base_index || index > last_index()) {
        return std::nullopt;
    }
    return index == m_base_index ? m_base_term : at(index).term;
}

const log_entry& raft_log::at(log_index index) const
{
    assert(index > m_base_index && index <= last_index());
    return m_entries[index.value() - m_base_index.value() - 1];
}

void raft_log::append(log_entry entry)
{
    assert(entry.index == last_index().next());
    if (entry.kind == entry_kind::membership) {
        m_configs.emplace_back(entry.index, decode_config(entry.payload).value_or(group_config{}));
    }
    m_entries.push_back(std::move(entry));
}

void raft_log::truncate_from(log_index index)
{
    assert(index > m_base_index);
    while (last_index() >= index) {
        m_entries.pop_back();
    }
    while (m_configs.size() > 1 && m_configs.back().first >= index) {
        m_configs.pop_back();
    }
}

void raft_log::discard_through(log_index index)
{
    assert(index <= last_index());
    if (index <= m_base_index) {
        return;
    }
    m_base_term = at(index).term;
    const auto count = static_cast<std::ptrdiff_t>(index.value() - m_base_index.value());
    m_entries.erase(m_entries.begin(), m_entries.begin() + count);
    m_base_index = index;
    while (m_configs.size() > 1 && m_configs[1].first <= index) {
        m_configs.erase(m_configs.begin());
    }
}

const group_config& raft_log::config_at(log_index index) const
{
    for (auto it = m_configs.rbegin(); it != m_configs.rend(); ++it) {
        if (it->first <= index) {
            return it->second;
        }
    }
    return m_configs.front().second;
}

} // namespace lovagebeam::consensus
