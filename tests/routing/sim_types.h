#pragma once

#include "lovagebeam/routing/router.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <stdexcept>
#include <string>
#include <vector>

namespace lovagebeam::test {

using namespace std::chrono_literals;
using base::duration;
using base::time_point;

/// Thrown when a run violates a guarantee.
struct guarantee_violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void check_guarantee(bool holds, const std::string& text)
{
    if (!holds) {
        throw guarantee_violation{text};
    }
}

/// Virtual clock with a queue of scheduled actions.
class sim_clock {
public:
    [[nodiscard]] time_point now() const { return m_now; }

    void after(duration delay, std::function<void()> action)
    {
        m_due.push({m_now + delay, m_next++, std::move(action)});
    }

    void run_until(time_point end)
    {
        while (!m_due.empty() && m_due.top().at <= end) {
            // The element is removed next, so moving out of it is safe.
            auto item = std::move(const_cast<due&>(m_due.top()));
            m_due.pop();
            m_now = item.at;
            item.action();
        }
        m_now = end;
    }

private:
    struct due {
        time_point at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const due& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    time_point m_now{1h};
    std::uint64_t m_next = 0;
    std::priority_queue<due, std::vector<due>, std::greater<>> m_due;
};

/// Limits that a test sets.
class sim_limits : public routing::limits_source {
public:
    [[nodiscard]] routing::team_limits team(const base::team_id& team) const override
    {
        const auto found = teams.find(team.str());
        return found == teams.end() ? defaults : found->second;
    }
    [[nodiscard]] bool is_target_draining(const base::target_id& /*target*/) const override
    {
        return false;
    }
    [[nodiscard]] bool is_host_draining(const base::node_id& /*host*/) const override
    {
        return false;
    }
    [[nodiscard]] std::chrono::milliseconds longest_deadline() const override
    {
        return defaults.max_deadline;
    }

    routing::team_limits defaults;
    std::map<std::string, routing::team_limits> teams;
};

/// What actually happened at all targets. The guarantees are checked against it.
struct sim_ground_truth {
    struct request {
        std::string team;
        std::string key; ///< Empty if none.
        bool repeatable = true;
        std::string body;
        std::string host;
        bool is_lost = false; ///< Its entry host crashed, so no answer is expected.
        int answers = 0;
        routing::outcome result = routing::outcome::unknown;
        std::string code;
    };

    std::map<std::uint64_t, request> requests; ///< By caller.
    std::map<std::string, int> starts_of_body;
    std::map<std::string, int> starts_of_key;        ///< By team and idempotency key.
    std::map<std::string, std::string> running_keys; ///< Attempt by team and work key.
    std::map<std::string, int> running_of_team;
    std::map<std::string, duration> slot_time_of_team;
    std::uint64_t starts = 0;
};

} // namespace lovagebeam::test
