#include "membership.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagebeam::routing {
namespace {

constexpr std::uint64_t owner_salt = 0x6f776e6572000000;
constexpr std::uint64_t home_salt = 0x686f6d6500000000;

const base::node_id no_node;

} // namespace

bool membership::install(base::epoch number, std::vector<base::node_id> members,
                         bool is_self_joined)
{
    if (number.value() <= m_number.value()) {
        return false;
    }
    std::ranges::sort(members, node_order{});
    const bool is_joined =
        is_self_joined && std::ranges::binary_search(members, m_self, node_order{});
    m_is_consecutive = m_is_joined && is_joined && number == m_number.next();
    m_has_just_left =
        m_is_joined && !is_joined && !std::ranges::binary_search(members, m_self, node_order{});
    m_is_joined = is_joined;
    if (m_is_joined && !m_first_joined) {
        m_first_joined = number;
    }
    m_number = number;
    m_members = std::move(members);
    m_hashes.clear();
    for (const auto& member : m_members) {
        m_hashes.push_back(XXH3_64bits(member.str().data(), member.str().size()));
    }
    return true;
}

void membership::extend_lease(base::time_point until)
{
    m_lease_until = std::max(m_lease_until, until);
}

bool membership::is_member(const base::node_id& node) const
{
    return std::ranges::binary_search(m_members, node, node_order{});
}

const base::node_id& membership::owner_of(std::string_view team) const
{
    return select_member(team, owner_salt);
}

const base::node_id& membership::home_of(std::string_view target) const
{
    return select_member(target, home_salt);
}

const base::node_id& membership::select_member(std::string_view name, std::uint64_t salt) const
{
    const base::node_id* best = &no_node;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < m_members.size(); ++i) {
        const std::uint64_t weight =
            XXH3_64bits_withSeed(name.data(), name.size(), m_hashes[i] ^ salt);
        if (best == &no_node || weight > best_weight) {
            best = &m_members[i];
            best_weight = weight;
        }
    }
    return *best;
}

} // namespace lovagebeam::routing
