#pragma once

#include "lovagebeam/base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::scheduling {

/// Smallest and largest weight that counts. A weight of 0 or less counts as the smallest one.
constexpr double min_weight = 1e-6;
constexpr double max_weight = 1e6;
/// Weight of an account without one, and in place of one that isn't finite.
constexpr double default_weight = 1;

/// Returns the weight to reckon with for one from a configuration.
double effective_weight(std::optional<double> configured);

/// Processors, in thousandths, that a booking counts as: an accelerator counts as 8 processors.
std::int64_t counted_millicores(std::int64_t millicores, std::int64_t accelerators);

/// What each account is entitled to by its weight: a number of jobs a second, and a share of the
/// fleet while that is full. No I/O and no clock. Not thread-safe.
///
/// The next leader knows the weights and the shares at once, since what an account uses is passed
/// in. It counts the jobs that the replicated record still has again, in the order of their
/// acceptance; that gives the same result except for jobs of which the count depended on others
/// that were forgotten since.
class account_shares {
public:
    /// The weights as configured. Accounts that are missing have `default_weight`. Forgets the
    /// counted jobs.
    void set_weights(const std::map<std::string, double>& weights);
    [[nodiscard]] double weight(std::string_view account) const;

    /// Counts a job of the account, once for each, in the order of acceptance. Returns whether it
    /// is owed: within `weight` jobs a second, measured over two seconds, and one job at least.
    bool count_job(const std::string& account, base::wall_time accepted);

    /// Those between whom the fleet is divided.
    struct division {
        std::int64_t capacity = 0; ///< in counted millicores
        double total_weight = 0;   ///< of the accounts that ask for some of it
    };
    /// Order in which accounts get capacity on a full fleet, lowest first: what the account uses,
    /// including what is planned for it, in fiftieths of its share. Accounts within one fiftieth
    /// are equal, so that their other ranks decide.
    [[nodiscard]] std::int64_t rank(std::string_view account, std::int64_t used,
                                    const division& among) const;
    /// Returns the least use, in counted millicores, at which the account ranks after `rank`.
    [[nodiscard]] std::int64_t least_use_after(std::string_view account, std::int64_t rank,
                                               const division& among) const;

private:
    struct job_rate {
        double allowance = 0; ///< number of jobs that would be owed now
        base::wall_time updated;
    };
    std::map<std::string, double, std::less<>> m_weights;
    std::map<std::string, job_rate, std::less<>> m_rates;
};

} // namespace lovagebeam::scheduling
