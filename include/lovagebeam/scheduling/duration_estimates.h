#pragma once

#include "lovagebeam/base/types.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace lovagebeam::scheduling {

/// Corrects callers' estimates of the duration of tasks by how long the tasks of the same queue and
/// account took. The median of the last ends decides, so that a few tasks that take several times
/// as long as the others change nothing.
///
/// Kept in the leader's memory only. The next leader knows nothing at once and returns the
/// estimates unchanged until it has seen `min_ends` ends of a queue. No I/O and no clock. Not
/// thread-safe.
class duration_estimates {
public:
    /// Number of ends of a queue, or of an account in a queue, from which a correction is derived.
    static constexpr std::size_t min_ends = 10;
    /// Bounds of the correction, as factors of the estimate.
    static constexpr double min_factor = 0.1;
    static constexpr double max_factor = 10;
    /// A median this close to 1 corrects nothing: the calls that confirm a start and list an end
    /// add to what is observed, and true estimates are to be kept as they are.
    static constexpr double tolerance = 0.1;

    /// Records that a task ran for `took` from its confirmed start to its end. An estimate of less
    /// than 1 ms counts as 1 ms. A `took` that isn't positive is ignored: it comes from a fault of
    /// a clock.
    void observe_end(std::string_view queue, std::string_view account, base::duration estimate,
                     base::duration took);

    /// The estimate times `factor`, with an estimate of less than 1 ms taken as 1 ms.
    [[nodiscard]] base::duration corrected(std::string_view queue, std::string_view account,
                                           base::duration estimate) const;

    /// What estimates of the account are multiplied by: that of the account in the queue, or that
    /// of the queue while the account has too few ends, or 1.
    [[nodiscard]] double factor(std::string_view queue, std::string_view account) const;

    /// The factor of each queue with at least `min_ends` ends, for accounts without one of their
    /// own.
    [[nodiscard]] std::map<std::string, double> queue_factors() const;

    /// What `corrected` returns for an account with `factor`.
    [[nodiscard]] static base::duration scaled(base::duration estimate, double factor);

private:
    /// The last ends. Enough for a stable median, few enough to follow a change within a minute of
    /// ordinary load.
    class recent_ends {
    public:
        void add(double ratio);
        /// Returns 0 while there are too few ends.
        [[nodiscard]] double factor() const { return m_factor; }

    private:
        static constexpr std::size_t capacity = 64;
        std::array<double, capacity> m_ratios{};
        std::size_t m_count = 0;
        std::size_t m_next = 0;
        double m_factor = 0;
    };
    struct queue_ends {
        recent_ends all;
        std::map<std::string, recent_ends, std::less<>> by_account;
    };

    std::map<std::string, queue_ends, std::less<>> m_queues;
};

} // namespace lovagebeam::scheduling
