#pragma once

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/types.h"
#include "lovagebeam/scheduling/run_id.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::scheduling {

struct speed_settings {
    double least_speed = 0.25;
    double greatest_speed = 4;
    /// Assumed for a cold worker, relative to its speed when warm.
    double cold_factor = 0.5;
    /// A smaller relative deviation from the median of the pool counts as equal.
    double least_deviation = 0.1;
    /// Steps that count for a worker: the latest ones. Half of them show that it became slow.
    std::size_t steps_per_worker = 8;
    /// A speed is derived from at least this many steps of which the worker ran tasks.
    std::size_t min_steps = 2;
    /// A step is compared if its tasks ran on so many workers, so that the median isn't moved by
    /// one long task.
    std::size_t min_step_workers = 3;
    std::uint32_t max_step_tasks = 256; ///< larger steps are ignored
    /// Shorter runs are ignored: an end is listed a few milliseconds late.
    std::chrono::milliseconds least_run{50};
    std::chrono::milliseconds longest_run{std::chrono::hours{24}};
    std::size_t max_steps = 512; ///< of which runs are kept, the latest ones
};

enum class speed_class : std::uint8_t { slow, normal, fast };

/// Boundaries: 0.8 and 1.25.
speed_class class_of(double speed);
std::string_view name_of(speed_class of);

/// A run that ended well.
struct run_observation {
    step_id step;
    std::uint32_t step_tasks = 1; ///< number of tasks of the step
    base::duration took;          ///< from the confirmed start to the listed end
};

/// Learns how fast each worker is, from the durations of its runs. Once all tasks of a step have
/// ended, those of each worker are compared with those of the others. Speeds are relative to the
/// median of the worker's pool. The difference between steps on the same worker shows how much
/// durations vary by themselves; a deviation that this may explain counts as none, so that equal
/// workers have speed 1 exactly. Steps with fewer than three tasks, and those of which this leader
/// missed an end, say nothing.
///
/// A new leader knows no speeds, so that all are 1; it learns a worker's speed with two or three
/// runs on it, and whether it is cold with its next heartbeat.
///
/// No I/O and no clock. Not thread-safe.
class worker_speeds {
public:
    explicit worker_speeds(speed_settings settings);

    /// The worker exists. Forgets what was learned about earlier instances of it.
    void on_instance(const base::worker_id& worker, const std::string& pool,
                     base::wall_time instance);
    void forget(const base::worker_id& worker);
    /// Ignores runs of unknown workers and instances, of cold workers, and with durations that
    /// aren't plausible.
    void observe_run(base::time_point now, const base::worker_id& worker, base::wall_time instance,
                     const run_observation& run);
    /// The worker is cold until `until`, or warm if that has passed. Returns whether that is new.
    bool set_cold(base::time_point now, const base::worker_id& worker, base::wall_time instance,
                  base::time_point until);

    struct change {
        base::worker_id worker;
        double speed = 1;
        std::size_t steps = 0;
    };
    /// Derives the speeds from the runs seen since the last call. Returns the workers that are now
    /// in another class.
    std::vector<change> update();

    /// The speed of a warm worker as of the last `update`; 1 for an unknown worker.
    [[nodiscard]] double speed(const base::worker_id& worker) const;
    /// That speed, or what is left of it while the worker is cold.
    [[nodiscard]] double speed_at(base::time_point now, const base::worker_id& worker) const;
    [[nodiscard]] bool is_cold(base::time_point now, const base::worker_id& worker) const;

private:
    struct known_worker {
        std::string pool;
        base::wall_time instance;
        std::optional<base::time_point> cold_until;
        std::deque<double> samples; ///< logarithms of the speed that each step suggests
        double median = 0;          ///< of `samples`
        double speed = 1;
    };
    struct finished_run {
        base::worker_id worker;
        double work = 0; ///< logarithm of the duration
    };

    void observe_in_step(const base::worker_id& worker, const run_observation& run);
    /// Compares the runs of a whole step.
    void compare(const std::vector<finished_run>& runs);
    void add_sample(const base::worker_id& worker, double sample);

    speed_settings m_settings;
    std::map<base::worker_id, known_worker> m_workers;
    std::map<step_id, std::vector<finished_run>> m_steps;
    std::deque<step_id> m_step_order; ///< oldest first
    /// Differences between successive samples of the same worker, the latest ones.
    std::deque<double> m_differences;
    bool m_has_changed = false;
};

} // namespace lovagebeam::scheduling
