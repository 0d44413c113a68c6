#pragma once

#include "lovagebeam/base/types.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagebeam::scheduling {

struct admission_settings {
    /// A new leader refuses nothing before this time has passed, and neither does one that has just
    /// lost contact with more than half of the workers: its view of the capacity isn't complete.
    std::chrono::milliseconds quiet{3'000};
    /// Fraction of a pool's processors that is reserved for priority 0.
    double urgent_headroom = 0.05;
    /// A job that ends after this multiple of its objective is worth nothing.
    double worthless_objectives = 3;
    /// Part of its processor-time that a pool is expected to use for the estimated work. Estimates
    /// are corrected by the median; 3% of the tasks take seven times as long, which adds 18%.
    double efficiency = 0.85;
    /// A job that waits for less is never refused, whatever its size. Advice and planning take some
    /// of it.
    std::chrono::milliseconds min_wait{500};
    /// Work of a priority counts as behind if at least this fraction of what waits is late. Single
    /// jobs that fit nowhere are not a queue that is behind.
    double late_fraction = 0.1;
    /// For this long after work of a priority was late, jobs are admitted only if they can be in
    /// time, so that an overload that lasts doesn't make each further group of jobs late. A longer
    /// time would refuse jobs of a fleet that has recovered from a disruption.
    std::chrono::seconds late_memory{10};
    /// If this fraction of a pool has been free for `unused_time` while work waits, that work can't
    /// use it: an account is at its limit, or a label is missing.
    double unused_fraction = 0.1;
    std::chrono::milliseconds unused_time{500};
    /// Time over which the arrival of work is averaged. A burst is part of the waiting work too, so
    /// a short window would count it twice.
    std::chrono::seconds arrival_window{30};
    /// Least part of a pool that a priority is expected to get.
    double min_share = 0.05;
    std::chrono::milliseconds min_retry{1'000};
    /// Retry times are spread over this much by a hash of the job.
    std::chrono::milliseconds retry_spread{1'000};
    /// A refused job that hasn't come back by then loses its place. Callers round a Retry-After up
    /// to whole seconds and need some time to send the request.
    std::chrono::milliseconds return_grace{3'000};
    /// Number of refused jobs of a priority whose place is kept.
    std::size_t max_places = 20'000;
};

/// Forecasts when a new job would end, from the work that waits before it and the rate at which its
/// pool frees processors, and refuses those that couldn't end while they are worth something.
///
/// Work is counted in millicore-milliseconds of corrected duration, for each pool and priority, by
/// the end of the objective. Kept in the leader's memory only: the next leader counts the waiting
/// work from its records at once, and refuses nothing for `quiet`; the places of refused jobs, the
/// arrival rates and the expected ends are lost, and the rates are known again after
/// `arrival_window`. No I/O and no clock. Not thread-safe.
class admission_forecast {
public:
    /// One step of one occurrence of a job.
    struct work_key {
        std::uint64_t job = 0;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        friend auto operator<=>(const work_key&, const work_key&) = default;
    };
    struct amounts {
        std::int64_t work = 0;    ///< millicore-milliseconds of the tasks without a worker
        std::int64_t waiting = 0; ///< millicores of those tasks that could start now
        std::int64_t held = 0;    ///< millicores that long-running tasks have or will have

        amounts& operator+=(const amounts& other);
        amounts& operator-=(const amounts& other);
    };
    /// The processors of a pool's usable workers, in millicores.
    struct supply {
        std::int64_t capacity = 0;
        std::int64_t free = 0; ///< not used by committed placements
    };
    struct new_job {
        std::uint64_t id = 0;
        std::string pool;
        std::uint32_t priority = 0;
        base::wall_time due;                   ///< end of the objective
        std::chrono::milliseconds objective{}; ///< from now
        std::chrono::milliseconds chain{};     ///< duration of its critical path
        std::int64_t work = 0;                 ///< of all steps, as in `amounts`
        std::int64_t first_millicores = 0;     ///< without which it can't start
        bool is_exempt = false;                ///< scheduled or long-running: never refused
    };
    struct verdict {
        bool is_admitted = true;
        std::chrono::milliseconds retry_after{};  ///< if refused
        std::chrono::milliseconds expected_end{}; ///< from now, if it were admitted
        std::int64_t work_ahead = 0;              ///< millicore-milliseconds
        std::int64_t rate = 0;                    ///< millicores that are freed for such jobs
        std::chrono::milliseconds objective{};    ///< of the job
    };

    admission_forecast(admission_settings settings, base::time_point now);

    /// Counts a step, or changes what is counted of it. The pool, the priority and the end of the
    /// objective of a step that is known stay as they are.
    void put(const work_key& key, const std::string& pool, std::uint32_t priority,
             base::wall_time due, const amounts& counted);
    void update(const work_key& key, const amounts& counted);
    [[nodiscard]] bool contains(const work_key& key) const { return m_items.contains(key); }
    /// Stops counting all steps of a job.
    void remove(std::uint64_t id);
    /// An occurrence is worth nothing any more, so its steps wait behind all others.
    void expire(std::uint64_t id, std::uint32_t occurrence);

    /// To be called at least every 100 ms. `pools` are the present supplies.
    void tick(base::time_point now, base::wall_time wall,
              const std::vector<std::pair<std::string, supply>>& pools, std::size_t known_workers,
              std::size_t usable_workers);

    /// Judges a job that isn't accepted yet. The caller must `put` its steps if it is admitted.
    verdict judge(base::time_point now, base::wall_time wall, const new_job& candidate,
                  const supply& available);

    /// Records when an admitted job is expected to end.
    void expect(std::uint64_t job, base::wall_time end) { m_expected[job] = end; }
    /// Returns and forgets what `expect` recorded.
    std::optional<base::wall_time> take_expected(std::uint64_t id);

    /// The work that waits in a pool with a priority, in millicore-milliseconds.
    [[nodiscard]] std::int64_t work(const std::string& pool, std::uint32_t priority) const;
    /// The work that waits in all pools.
    [[nodiscard]] double waiting_core_seconds() const;

private:
    struct place {
        std::int64_t work = 0;
        base::time_point returns;
    };
    struct level {
        std::map<std::int64_t, amounts> by_due; ///< by interval of the end of the objective
        amounts total;
        double arrivals = 0; ///< work, each piece reduced by the time since
        base::time_point arrivals_at;
        std::optional<base::time_point> late_at; ///< when work was last found late
        std::map<std::uint64_t, place> places;   ///< of refused jobs
        std::set<std::pair<base::time_point, std::uint64_t>> returns;
        std::int64_t promised = 0; ///< work in `places`
    };
    struct pool_state {
        std::map<std::uint32_t, level> levels;
        std::int64_t held = 0;
        std::optional<base::time_point> unused_since;
    };
    struct item {
        std::string pool;
        std::uint32_t priority = 0;
        std::int64_t interval = 0;
        amounts counted;
        bool is_expired = false;
    };

    static std::int64_t interval_of(base::wall_time due);
    void add(const item& to, const amounts& more);
    void subtract(const item& from, const amounts& less);
    [[nodiscard]] double arrival_rate(const level& of) const;
    [[nodiscard]] std::int64_t rate(const pool_state& pool, std::uint32_t priority,
                                    const supply& available) const;
    /// What is served before a job with this priority and end of the objective.
    [[nodiscard]] static amounts ahead(const pool_state& pool, std::uint32_t priority,
                                       base::wall_time due);
    [[nodiscard]] bool is_behind(level& of, base::time_point now, base::wall_time wall) const;
    [[nodiscard]] bool is_quiet(base::time_point now) const;
    [[nodiscard]] bool has_room(const pool_state& pool, base::time_point now,
                                const new_job& candidate, const supply& available,
                                const amounts& before) const;
    /// How long the job may wait for its first start.
    [[nodiscard]] std::chrono::milliseconds longest_wait(level& of, base::time_point now,
                                                         base::wall_time wall,
                                                         const new_job& candidate) const;
    /// Gives a refused job a place among those that come back, and returns when it should.
    std::chrono::milliseconds keep_place(level& of, base::time_point now, const new_job& candidate,
                                         std::int64_t work_ahead, std::int64_t freed) const;
    static void drop_place(level& of, std::uint64_t id);

    admission_settings m_settings;
    base::time_point m_quiet_until;
    base::time_point m_now;
    bool m_has_ticked = false;
    bool m_has_contact = true; ///< with half of the workers
    std::map<std::string, pool_state> m_pools;
    std::map<work_key, item> m_items;
    std::map<std::uint64_t, base::wall_time> m_expected;
};

} // namespace lovagebeam::scheduling
