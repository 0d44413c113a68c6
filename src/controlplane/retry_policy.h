#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <cstdint>

namespace lovagebeam::controlplane {

struct retry_settings {
    /// Bounds of the time after which a call without an answer may be sent again. The connection
    /// may have gone silent, and the caller's deadline must leave time for a second attempt.
    std::chrono::milliseconds min_timeout{600};
    std::chrono::milliseconds max_timeout{1'800};
    /// Calls without an answer that may be sent again, as a fraction of all calls. Bounds what
    /// retries add to the load of a leader that is late because of its load.
    double retry_fraction = 0.1;
    /// Retries that may be made at once, for example when all connections go silent.
    double max_saved_retries = 3;
    /// A call that couldn't be sent is sent again after this delay, which doubles up to the
    /// maximum.
    std::chrono::milliseconds first_delay{20};
    std::chrono::milliseconds max_delay{320};
};

/// Decides how long an entry process waits for an answer of the leader, and whether and when it
/// sends a call again. Without these bounds a leader that is late for a moment gets each call
/// several times and stays overloaded. No I/O and no clock. Not thread-safe.
class retry_policy {
public:
    using milliseconds = std::chrono::milliseconds;

    explicit retry_policy(retry_settings settings = {})
        : m_settings{settings}, m_saved_retries{settings.max_saved_retries}
    {
    }

    /// Call when a call is sent for the first time.
    void on_first_attempt();
    /// Call when a first attempt was answered after `took`.
    void on_answer(base::duration took);
    /// Call when an attempt wasn't answered within `attempt_timeout`.
    void on_timeout();
    /// Call when another process has become the leader.
    void on_new_leader();

    /// How long to wait for the answer to a call whose caller waits for `remaining`. All of it when
    /// the call couldn't be sent again anyway.
    [[nodiscard]] milliseconds attempt_timeout(milliseconds remaining) const;

    /// Returns whether a call without an answer may be sent again, and counts it if so.
    [[nodiscard]] bool take_retry();

    /// The delay before a call is sent again after `failures` failures to send it. `random` is in
    /// [0, 1); it spreads the retries of many processes.
    [[nodiscard]] milliseconds delay_after(std::uint32_t failures, double random) const;

private:
    retry_settings m_settings;
    double m_saved_retries;
    bool m_has_mean = false;
    std::chrono::duration<double, std::milli> m_mean{0};      ///< of the time to an answer
    std::chrono::duration<double, std::milli> m_deviation{0}; ///< mean deviation from it
    std::uint32_t m_timeouts = 0;                             ///< since the last answer
};

} // namespace lovagebeam::controlplane
