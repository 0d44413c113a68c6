#pragma once

#include "lovagebeam/jobs/orders.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lovagebeam::jobs {

struct advice_settings {
    /// Maximum number of workers that one call names.
    std::size_t workers_per_call = 100;
    /// Maximum number of calls about one step at a time. They go to different agents, so that a
    /// wide step gets all its tickets while the first ones are still valid.
    std::size_t calls_per_step = 4;
    /// A long call names at least this many workers, if there are as many: most of its duration
    /// doesn't depend on their number.
    std::size_t min_workers_per_call = 50;
    /// More workers are named than a step needs, since the capacity of some is taken meanwhile.
    double spare_factor = 1.5;
    /// Lower bound of the fraction of allowed workers that is expected.
    double min_allowed_fraction = 0.1;
    /// Weight of an answer in the mean fraction of the workers that the service allows.
    double allowed_weight = 0.05;
    /// A ticket is not used this close to its expiry, which leaves time for the commit and the
    /// start call.
    milliseconds ticket_margin{200};
    /// A call expected to take longer than this may not use the reserved agents.
    milliseconds long_call{60};
    /// Fraction of the agents that is reserved for short calls, at least one agent.
    double reserved_fraction = 0.25;
    /// Fraction of the other agents that each priority with queued long calls gets at least.
    /// Without tickets its steps can't use the workers that are free, however many there are.
    double min_priority_fraction = 0.25;
    /// An agent without contact for this long gets no calls.
    milliseconds agent_timeout{1'500};
    /// How long a call may exceed its expected duration before it is abandoned.
    milliseconds answer_timeout{600};
};

/// Schedules calls to the advice service, which tells which workers may run a step. The service
/// answers one call at a time for each calling host, so calls are spread over all hosts of the
/// system, called agents. Some agents are reserved for short calls, so that these never wait behind
/// long ones on every agent. Which workers are allowed is remembered; their tickets expire. No I/O
/// and no clock. Not thread-safe.
class advice_scheduler {
public:
    struct ticket {
        std::string text;
        base::time_point valid_until;
    };
    /// The answers about one step so far.
    struct step_advice {
        std::map<base::worker_id, ticket> allowed;
        std::set<base::worker_id> refused;
        std::uint32_t open_calls = 0; ///< queued or sent
    };

    explicit advice_scheduler(advice_settings settings) : m_settings{settings} {}

    void on_agent_contact(base::time_point now, const base::node_id& agent);

    /// Priority, whether the step is late, and the end of the objective.
    using call_rank = std::tuple<std::uint32_t, bool, std::int64_t>;

    /// Queues calls about `workers`, or about as many of them as may be named at a time, unless one
    /// about `step` is queued or open. Calls with a lower `rank` go first.
    void request(const step_key& step, const advice_policy& policy,
                 std::vector<base::worker_id> workers, call_rank rank);

    /// Changes the rank of the calls about `step` that are queued.
    void change_rank(const step_key& step, call_rank rank);

    /// Removes the workers for which `is_gone` returns true from the calls that are queued. Calls
    /// that name no other workers are not made.
    void drop_queued_workers(const std::function<bool(const base::worker_id&)>& is_gone);

    /// Ends the call `id`. Without rows it failed, and nothing is recorded about the workers.
    /// Returns the step, or nothing for an unknown call.
    std::optional<step_key> on_answer(base::time_point now, std::uint64_t id,
                                      const std::optional<std::vector<advice_row>>& rows);

    [[nodiscard]] const step_advice* find(const step_key& step) const;
    /// Whether a call about the step is queued or open.
    [[nodiscard]] bool is_call_open(const step_key& step) const
    {
        const auto* const known = find(step);
        return known != nullptr && known->open_calls > 0;
    }
    /// Number of workers that calls about one step may name at a time.
    [[nodiscard]] std::size_t workers_per_step() const
    {
        return m_settings.workers_per_call * m_settings.calls_per_step;
    }
    /// Mean fraction of the workers that the service allowed when a step first asked about them.
    [[nodiscard]] double allowed_fraction() const { return m_allowed_fraction; }
    /// Whether a call about the step is queued or open and none was answered yet.
    [[nodiscard]] bool is_first_call_open(const step_key& step) const
    {
        const auto* const known = find(step);
        return known != nullptr && known->open_calls > 0 && known->allowed.empty() &&
               known->refused.empty();
    }
    /// Whether the ticket can still be used at `now`.
    [[nodiscard]] bool is_valid(base::time_point now, const ticket& given) const
    {
        return given.valid_until > now + m_settings.ticket_margin;
    }
    /// Makes a ticket that the worker refused invalid.
    void drop_ticket(const step_key& step, const base::worker_id& worker);
    void forget(const step_key& step);
    /// Forgets every step for whose job `is_known` returns false, except steps with an open call.
    template <class Predicate>
    void forget_unless(Predicate is_known)
    {
        std::erase_if(m_steps, [&](const auto& entry) {
            return entry.second.open_calls == 0 && !is_known(entry.first.job);
        });
    }

    /// Abandons calls that timed out and returns those that can be sent now.
    std::vector<advice_order> take(base::time_point now);

private:
    struct call {
        step_key step;
        std::vector<base::worker_id> workers;
        milliseconds expected{};
        milliseconds validity{};
        base::node_id agent;
        base::time_point deadline;
        std::uint32_t priority = 0; ///< that it was sent with
    };
    struct agent_state {
        base::time_point last_contact;
        std::uint64_t call = 0; ///< 0 while idle
        base::time_point paused_until;
    };
    using queue_rank = std::pair<call_rank, std::uint64_t>;
    using call_queue = std::map<queue_rank, call>;
    /// The agents that can be called now, and the limits for long calls.
    struct agent_pool {
        std::vector<std::pair<const base::node_id, agent_state>*> idle;
        std::size_t reserved = 0;       ///< of the idle ones, for short calls
        std::size_t priority_share = 0; ///< least number of long calls of each priority
    };

    static std::uint32_t priority_of(const queue_rank& rank) { return std::get<0>(rank.first); }
    /// Whether the rank is that of calls about expired steps, which have no share of the agents.
    static bool is_expired(std::uint32_t priority)
    {
        return priority == std::numeric_limits<std::uint32_t>::max();
    }
    [[nodiscard]] bool is_long(const call& waiting) const
    {
        return waiting.expected > m_settings.long_call;
    }
    call_queue& queue_for(const call& waiting) { return is_long(waiting) ? m_long : m_short; }
    void abandon_overdue_calls(base::time_point now);
    agent_pool idle_agents(base::time_point now);
    void send_long_calls(base::time_point now, agent_pool& agents, std::vector<advice_order>& out);
    /// The first entry of `m_long` of the next priority after `priority`.
    call_queue::iterator next_priority(std::uint32_t priority);
    /// Number of agents that the shares of the other priorities with queued long calls lack.
    std::size_t owed_to_others(std::uint32_t priority, std::size_t share);
    call_queue::iterator send(base::time_point now, call_queue& queue, call_queue::iterator waiting,
                              agent_pool& agents, std::vector<advice_order>& out);
    void end_call(std::map<std::uint64_t, call>::iterator which);
    /// Adds an answer to the mean fraction. `rows` are the workers allowed among those of the call.
    void update_allowed_fraction(const step_advice& known, const call& answered,
                                 const std::vector<advice_row>& rows);

    advice_settings m_settings;
    std::map<step_key, step_advice> m_steps;
    call_queue m_short;
    call_queue m_long;
    std::map<std::uint64_t, call> m_calls;
    std::map<std::uint32_t, std::size_t> m_open_long; ///< number of open calls of each priority
    std::map<base::node_id, agent_state> m_agents;
    std::uint64_t m_last_id = 0;
    double m_allowed_fraction = 0.5;
};

} // namespace lovagebeam::jobs
