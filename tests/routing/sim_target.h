#pragma once

#include "sim_types.h"

#include <optional>
#include <set>

namespace lovagebeam::test {

enum class target_mode : std::uint8_t {
    normal,
    slow,
    refuses,
    truncates,
    resets,
    silent, ///< Accepts requests and never answers.
    down,
};

/// Simulates a target that implements the target protocol of the design page. Checks the limits on
/// slots, connections and teams, the exclusive use of work keys, and that non-repeatable work runs
/// at most once.
class sim_target {
public:
    using reply = std::function<void(routing::attempt_ended&&)>;

    sim_target(sim_clock& clock, sim_ground_truth& ground_truth, const sim_limits& limits,
               std::string id, std::uint32_t slots)
        : m_clock{clock},
          m_ground_truth{ground_truth}, m_limits{limits}, m_id{std::move(id)}, m_slots{slots}
    {
    }

    /// Receives an attempt on a connection from `host`. `done` is called at most once, and never if
    /// the target is silent.
    void run(const std::string& host, const routing::start_attempt& attempt, duration service,
             reply done);
    routing::fence_answered fence(base::epoch number);
    [[nodiscard]] routing::query_answered query(const base::attempt_id& attempt) const;
    void close(const std::string& host, const std::string& attempt);
    void restart();
    void leave();

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] bool is_leaving() const { return m_left_at.has_value(); }
    [[nodiscard]] bool is_reachable() const
    {
        return mode != target_mode::down && mode != target_mode::silent;
    }

    target_mode mode = target_mode::normal;

private:
    struct execution {
        routing::running_attempt details;
        std::string body;
        std::string host;
        reply done;
        time_point started;
        std::uint64_t number = 0;
    };

    void check_start(const routing::start_attempt& attempt);
    void begin(const std::string& host, const routing::start_attempt& attempt, duration service,
               reply done);
    void finish(const std::string& attempt, std::uint64_t number, bool is_killed);
    void remove_running(const std::string& attempt);
    static std::string work_key_of(const routing::running_attempt& details);

    sim_clock& m_clock;
    sim_ground_truth& m_ground_truth;
    const sim_limits& m_limits;
    std::string m_id;
    std::uint32_t m_slots;
    /// Unset before the first fence; until then all attempts are refused.
    std::optional<base::epoch> m_fenced;
    std::optional<time_point> m_left_at;
    std::map<std::string, execution> m_running;
    std::map<std::string, std::string> m_ended;
    std::set<std::pair<std::string, std::string>> m_connections; ///< Pairs of host and attempt.
    std::uint64_t m_next_number = 1;
};

} // namespace lovagebeam::test
