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

/// The membership epoch installed on this host, the host's member lease, and the assignment of
/// teams and targets to members by rendezvous hashing.
class membership {
public:
    explicit membership(base::node_id self) : m_self{std::move(self)} {}

    /// Installs an epoch. Returns false if it is not newer than the current one.
    bool install(base::epoch number, std::vector<base::node_id> members, bool is_self_joined);

    /// Extends the lease to `until`. A lease is never shortened.
    void extend_lease(base::time_point until);

    [[nodiscard]] base::epoch number() const { return m_number; }
    [[nodiscard]] const std::vector<base::node_id>& members() const { return m_members; }
    [[nodiscard]] const base::node_id& self() const { return m_self; }
    [[nodiscard]] bool is_member(const base::node_id& node) const;

    /// Whether this instance of the process is a member of the epoch.
    [[nodiscard]] bool is_joined() const { return m_is_joined; }

    [[nodiscard]] bool is_lease_valid(base::time_point now) const { return now < m_lease_until; }

    /// Whether this host may act as owner and home.
    [[nodiscard]] bool may_act(base::time_point now) const
    {
        return m_is_joined && is_lease_valid(now);
    }

    /// Whether this instance first joined in epoch `number` or earlier and so has a record of
    /// everything that it did in that epoch. Only then does its refusal prove that no earlier copy
    /// of a message was accepted.
    [[nodiscard]] bool remembers(base::epoch number) const
    {
        return m_first_joined && number.value() >= m_first_joined->value();
    }

    /// Whether this host was also joined in the epoch directly before the current one, so that no
    /// other host can have taken its role in between.
    [[nodiscard]] bool is_consecutive() const { return m_is_consecutive; }

    /// Whether this host was joined in the previous epoch and is not a member of the current one.
    [[nodiscard]] bool has_just_left() const { return m_has_just_left; }

    /// Returns the host that owns `team` or is the home of `target`, or an empty id if there are no
    /// members.
    [[nodiscard]] const base::node_id& owner_of(std::string_view team) const;
    [[nodiscard]] const base::node_id& home_of(std::string_view target) const;

private:
    [[nodiscard]] const base::node_id& select_member(std::string_view name,
                                                     std::uint64_t salt) const;

    base::node_id m_self;
    base::epoch m_number;
    std::vector<base::node_id> m_members;
    std::vector<std::uint64_t> m_hashes; ///< Hashes of the ids in `m_members`.
    bool m_is_joined = false;
    bool m_is_consecutive = false;
    bool m_has_just_left = false;
    std::optional<base::epoch> m_first_joined;
    base::time_point m_lease_until;
};

} // namespace lovagebeam::routing
