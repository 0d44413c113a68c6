#pragma once

#include "lovagebeam/base/types.h"

#include <optional>
#include <string_view>
#include <vector>

namespace lovagebeam::routing {

/// Orders hosts by name.
struct node_order {
    bool operator()(const base::node_id& left, const base::node_id& right) const
    {
        return left.str() < right.str();
    }
};

/// The membership epoch as this host knows it, its member lease, and ownership by rendezvous hash.
class membership {
public:
    explicit membership(base::node_id self) : m_self{std::move(self)} {}

    /// Returns false if the epoch is not newer than the present one.
    bool install(base::epoch number, std::vector<base::node_id> members, bool is_self_joined);

    /// The lease lasts until `until`; it never gets shorter.
    void extend_lease(base::time_point until);

    [[nodiscard]] base::epoch number() const { return m_number; }
    [[nodiscard]] const std::vector<base::node_id>& members() const { return m_members; }
    [[nodiscard]] const base::node_id& self() const { return m_self; }
    [[nodiscard]] bool is_member(const base::node_id& node) const;

    /// Whether this run of the process belongs to the epoch.
    [[nodiscard]] bool is_joined() const { return m_is_joined; }

    [[nodiscard]] bool is_lease_valid(base::time_point now) const { return now < m_lease_until; }

    /// Whether this host may act as owner and home.
    [[nodiscard]] bool may_act(base::time_point now) const
    {
        return m_is_joined && is_lease_valid(now);
    }

    /// Whether this run remembers everything that it did as a member of `number`. Only then does
    /// its refusal prove that no earlier copy of a message was accepted.
    [[nodiscard]] bool remembers(base::epoch number) const
    {
        return m_first_joined && number.value() >= m_first_joined->value();
    }

    /// Whether this host was joined in the epoch just before the present one, so that nobody can
    /// have acted in its place in between.
    [[nodiscard]] bool is_consecutive() const { return m_is_consecutive; }

    /// Whether this host was joined in the epoch before and no longer belongs to this one.
    [[nodiscard]] bool has_just_left() const { return m_has_just_left; }

    /// Returns the host that owns `team`, or an empty id if there are no members.
    [[nodiscard]] const base::node_id& owner_of(std::string_view team) const;
    [[nodiscard]] const base::node_id& home_of(std::string_view target) const;

private:
    [[nodiscard]] const base::node_id& select_member(std::string_view name,
                                                     std::uint64_t salt) const;

    base::node_id m_self;
    base::epoch m_number;
    std::vector<base::node_id> m_members;
    std::vector<std::uint64_t> m_hashes; ///< Of the members' ids.
    bool m_is_joined = false;
    bool m_is_consecutive = false;
    bool m_has_just_left = false;
    std::optional<base::epoch> m_first_joined;
    base::time_point m_lease_until;
};

} // namespace lovagebeam::routing
