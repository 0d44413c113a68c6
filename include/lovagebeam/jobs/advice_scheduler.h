#pragma once

#include "lovagebeam/jobs/orders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovagebeam::jobs {

struct advice_settings {
    /// Most workers that one call names.
    std::size_t workers_per_call = 100;
    /// A ticket isn't used in its last part: time for the commit and the start call.
    milliseconds ticket_margin{200};
    /// A call that takes longer than this is kept off the last free agents.
    milliseconds long_call{60};
    /// Part of the agents that only short calls use, at least one.
    double reserved_fraction = 0.25;
    /// An agent that wasn't heard for this time gets no calls.
    milliseconds agent_silence{1'500};
    /// Beyond its expected duration a call may take this time.
    milliseconds patience{600};
};

/// Gets advice on which workers may run a step. The service answers one call at a time for each
/// calling host, so calls are spread over all hosts of the system: the agents. Short calls never
/// wait behind long ones on every agent. What was allowed stays known; tickets expire. No I/O and
/// no clock. Not thread-safe.
class advice_scheduler {
public:
    struct ticket {
        std::string text;
        base::time_point valid_until;
    };
    /// What is known about one step.
    struct knowledge {
        std::map<base::worker_id, ticket> allowed;
        std::set<base::worker_id> refused;
        bool is_asking = false;
    };

    explicit advice_scheduler(advice_settings settings) : m_settings{settings} {}

    void on_agent_contact(base::time_point now, const base::node_id& agent);

    /// Queues a call that asks about `workers`, unless one about `step` is under way. Calls with a
    /// lower `rank` go first.
    void ask(const step_key& step, const advice_policy& policy,
             std::vector<base::worker_id> workers, std::pair<std::uint32_t, std::int64_t> rank);

    /// The call `id` ended; without rows it failed, which says nothing about the workers. Returns
    /// the step, or nothing for an unknown call.
    std::optional<step_key> on_answer(base::time_point now, std::uint64_t id,
                                      const std::optional<std::vector<advice_row>>& rows);

    [[nodiscard]] const knowledge* find(const step_key& step) const;
    /// Whether the first answer about the step is still to come.
    [[nodiscard]] bool is_first_call_open(const step_key& step) const
    {
        const auto* const known = find(step);
        return known != nullptr && known->is_asking && known->allowed.empty() &&
               known->refused.empty();
    }
    /// Whether the ticket can still be used at `now`.
    [[nodiscard]] bool is_valid(base::time_point now, const ticket& given) const
    {
        return given.valid_until > now + m_settings.ticket_margin;
    }
    /// A worker refused a ticket.
    void drop_ticket(const step_key& step, const base::worker_id& worker);
    void forget(const step_key& step);
    /// Forgets every step whose job `is_known` denies.
    template <class Predicate>
    void forget_unless(Predicate is_known)
    {
        std::erase_if(m_steps, [&](const auto& entry) {
            return !entry.second.is_asking && !is_known(entry.first.job);
        });
    }

    /// Gives up calls that take too long and returns those that can go out now.
    std::vector<advice_order> take(base::time_point now);

private:
    struct call {
        step_key step;
        std::vector<base::worker_id> workers;
        milliseconds expected{};
        milliseconds validity{};
        base::node_id agent;
        base::time_point give_up;
    };
    struct agent_state {
        base::time_point heard;
        std::uint64_t call = 0; ///< 0 while idle
        base::time_point paused_until;
    };
    using queue_rank = std::pair<std::pair<std::uint32_t, std::int64_t>, std::uint64_t>;

    agent_state* idle_agent(base::time_point now, bool is_long, const base::node_id*& name);
    void end_call(std::map<std::uint64_t, call>::iterator which);

    advice_settings m_settings;
    std::map<step_key, knowledge> m_steps;
    std::map<queue_rank, call> m_waiting;
    std::map<std::uint64_t, call> m_calls;
    std::map<base::node_id, agent_state> m_agents;
    std::uint64_t m_last_id = 0;
};

} // namespace lovagebeam::jobs
