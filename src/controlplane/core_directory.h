#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace lovagebeam::controlplane {

/// The addresses of the core processes that a core process knows, and from which source. Only those
/// that it knows at first hand are told to others: otherwise the processes would keep the address
/// of a host that is gone alive by naming it to each other. Without a network or a clock. Not
/// thread-safe; used on the decisions thread only.
class core_directory {
public:
    /// Whether the text is the address of a host, as core processes identify each other.
    [[nodiscard]] static bool is_address(const std::string& text);

    /// An address that wasn't heard or named for this long is forgotten. Longer than a host is
    /// usually cut off.
    static constexpr std::chrono::minutes address_timeout{10};

    /// `first_turn` differs between processes, so that they don't call the others in the same
    /// order.
    core_directory(std::string self, std::set<std::string> seeds, std::uint64_t first_turn);

    /// Replaces the members of the group, as the log of this process has them.
    void set_members(std::set<std::string> members) { m_members = std::move(members); }
    /// Replaces the addresses in the replicated state.
    void set_recorded_addresses(std::set<std::string> recorded)
    {
        m_recorded = std::move(recorded);
    }
    /// Records a message from `address` itself.
    void on_heard(base::time_point now, const std::string& address);
    /// Records that another process named `address`.
    void on_named(base::time_point now, const std::string& address);

    /// Returns the members, the processes that were heard lately and this one: what is told to
    /// others.
    [[nodiscard]] std::set<std::string> confirmed(base::time_point now) const;
    /// Returns `confirmed` and the recorded addresses.
    [[nodiscard]] std::set<std::string> confirmed_or_recorded(base::time_point now) const;
    /// Returns `confirmed`, the seeds, the recorded addresses and those that were named lately.
    [[nodiscard]] std::set<std::string> known(base::time_point now) const;
    /// Returns all known addresses but this process's own and `skipped` in turn; empty if there are
    /// none.
    [[nodiscard]] std::string next(base::time_point now, const std::string& skipped);

private:
    using times = std::map<std::string, base::time_point>;

    static void add_recent(base::time_point now, const times& from, std::set<std::string>& to);

    std::string m_self;
    std::set<std::string> m_seeds;
    std::set<std::string> m_members;
    std::set<std::string> m_recorded;
    times m_heard;
    times m_named;
    std::uint64_t m_turn;
};

} // namespace lovagebeam::controlplane
