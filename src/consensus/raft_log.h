#pragma once

#include "lovagebeam/consensus/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace lovagebeam::consensus {

constexpr log_index after(log_index index, std::uint64_t count)
{
    return log_index{index.value() + count};
}

constexpr log_index before(log_index index)
{
    return log_index{index.value() - 1};
}

/// The in-memory entries after a base index, and the configurations that they contain.
class raft_log {
public:
    /// Clears the log; the next entry follows `index`.
    void reset(log_index index, term at_term, group_config config);

    [[nodiscard]] log_index base_index() const { return m_base_index; }
    [[nodiscard]] log_index last_index() const { return after(m_base_index, m_entries.size()); }
    [[nodiscard]] term last_term() const
    {
        return m_entries.empty() ? m_base_term : m_entries.back().term;
    }
    /// Returns the term at the base or of an entry; nothing for any other index.
    [[nodiscard]] std::optional<term> term_at(log_index index) const;
    /// `index` must lie in (base, last].
    [[nodiscard]] const log_entry& at(log_index index) const;

    /// `entry` must follow the last one; a membership payload must be decodable.
    void append(log_entry entry);
    /// Removes the entries from `index` on. `index` must be greater than the base index.
    void truncate_from(log_index index);
    /// Discards the entries up to `index`, which becomes the base and must not exceed the last
    /// index.
    void discard_through(log_index index);

    /// Returns the latest configuration.
    [[nodiscard]] const group_config& config() const { return m_configs.back().second; }
    /// Returns the index of the entry with the latest configuration, or of the base.
    [[nodiscard]] log_index config_index() const { return m_configs.back().first; }
    [[nodiscard]] const group_config& config_at(log_index index) const;

private:
    log_index m_base_index;
    term m_base_term;
    std::deque<log_entry> m_entries;
    std::vector<std::pair<log_index, group_config>> m_configs{{log_index{}, group_config{}}};
};

} // namespace lovagebeam::consensus
