#include "corrector.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lovagebeam::placement::internal {

namespace {

namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using log_histogram = bh::histogram<std::tuple<log_axis>, bh::dense_storage<float>>;

/// The 99th percentile of the reported use, plus a margin for use not seen yet.
constexpr double size_quantile = 0.99;
constexpr double size_margin = 1.1;
/// Above the median, since a job that runs longer than predicted misses its deadline, while one
/// that runs shorter loses nothing.
constexpr double run_time_quantile = 0.9;
/// After this many reports the weight of all earlier ones is halved, so that the estimate follows
/// changes.
constexpr std::uint32_t reports_per_decay = 2048;
constexpr std::uint32_t reports_per_refresh = 16;

/// Estimates a quantile from two histograms: the reported amounts, and their ratio to the declared
/// amounts. The narrower distribution is used: amounts when the tasks of a command are alike,
/// ratios when their use scales with the declared amount.
class quantile_estimator {
public:
    quantile_estimator(double low, double high)
        : m_amounts{bh::make_histogram_with(bh::dense_storage<float>{}, log_axis{96, low, high})},
          m_ratios{bh::make_histogram_with(bh::dense_storage<float>{}, log_axis{96, 0.01, 100.0})}
    {
    }

    void add(double amount, double declared, double quantile)
    {
        m_amounts(amount);
        m_ratios(amount / std::max(declared, 1.0));
        ++m_count;
        if (m_count % reports_per_decay == 0) {
            m_amounts *= 0.5;
            m_ratios *= 0.5;
        }
        if (m_count % reports_per_refresh == 0) {
            refresh(quantile);
        }
    }

    [[nodiscard]] std::uint32_t count() const { return m_count; }

    [[nodiscard]] double predict(double declared) const
    {
        return m_by_ratio ? m_value * declared : m_value;
    }

private:
    static double quantile_of(const log_histogram& from, double part)
    {
        double total = 0;
        for (const float weight : from) {
            total += weight;
        }
        const auto& axis = from.axis();
        double below = 0;
        for (int bin = 0; bin < axis.size(); ++bin) {
            below += from[bin];
            if (below >= total * part) {
                return axis.bin(bin).upper();
            }
        }
        return axis.bin(axis.size() - 1).upper();
    }

    void refresh(double quantile)
    {
        const double amount = quantile_of(m_amounts, quantile);
        const double ratio = quantile_of(m_ratios, quantile);
        m_by_ratio = ratio / quantile_of(m_ratios, 0.5) < amount / quantile_of(m_amounts, 0.5);
        m_value = m_by_ratio ? ratio : amount;
    }

    log_histogram m_amounts;
    log_histogram m_ratios;
    std::uint32_t m_count = 0;
    bool m_by_ratio = false;
    double m_value = 0;
};

struct command_usage {
    quantile_estimator cpu{1.0, 1e6};
    quantile_estimator memory{1e5, 1e13};
    quantile_estimator run_time{1e-3, 1e6};
};

using command_key = std::pair<slot, std::string>;

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct corrector::store {
    flat_map<command_key, std::unique_ptr<command_usage>> commands;

    [[nodiscard]] const command_usage* find(const job_record& job) const
    {
        const auto at = commands.find(command_key{job.team, job.spec.command});
        return at == commands.end() ? nullptr : at->second.get();
    }
};

corrector::corrector(cell& state) : m_state{state}, m_store{std::make_unique<store>()} {}

corrector::~corrector() = default;

void corrector::record_usage(const job_record& job, std::optional<base::duration> run_time,
                             std::optional<resources> peak)
{
    auto& entry = m_store->commands[command_key{job.team, job.spec.command}];
    if (entry == nullptr) {
        entry = std::make_unique<command_usage>();
    }
    if (run_time) {
        entry->run_time.add(seconds(*run_time), seconds(job.spec.run_time), run_time_quantile);
    }
    if (peak) {
        const auto add = [](quantile_estimator& to, std::int64_t used, std::int64_t declared) {
            to.add(static_cast<double>(std::max<std::int64_t>(used, 1)),
                   static_cast<double>(declared), size_quantile);
        };
        add(entry->cpu, peak->cpu.value(), job.spec.size.cpu.value());
        add(entry->memory, peak->memory.value(), job.spec.size.memory.value());
    }
}

resources corrector::size_of(const job_record& job) const
{
    const command_usage* record = m_store->find(job);
    resources size = job.spec.size;
    const std::uint32_t needed = m_state.settings.correction_samples;
    if (record == nullptr || record->cpu.count() < std::max(needed, reports_per_refresh)) {
        return size;
    }
    const auto predict = [](const quantile_estimator& from, std::int64_t declared) {
        const double value = from.predict(static_cast<double>(declared)) * size_margin;
        return std::max<std::int64_t>(1, std::llround(value));
    };
    size.cpu = base::millicores{predict(record->cpu, size.cpu.value())};
    if (size.memory.value() > 0) {
        size.memory = base::bytes{predict(record->memory, size.memory.value())};
    }
    // An increase must not make a job infeasible that could run at its declared size.
    const std::int64_t tasks = job.spec.kind == job_kind::gang ? job.spec.tasks : 1;
    const bool was_possible = m_state.fleet_task_capacity(job.spec.size, false, tasks) >= tasks;
    const auto allowed = [&](const resources& corrected) {
        return (!was_possible || m_state.fleet_task_capacity(corrected, false, tasks) >= tasks) &&
               m_state.within_limit_when_idle(job.team, scaled(corrected, tasks));
    };
    if (!allowed(size)) {
        const resources declared = job.spec.size;
        size.cpu = base::millicores{std::min(size.cpu.value(), declared.cpu.value())};
        size.memory = base::bytes{std::min(size.memory.value(), declared.memory.value())};
    }
    return size;
}

base::duration corrector::run_time_of(const job_record& job) const
{
    const command_usage* record = m_store->find(job);
    const std::uint32_t needed = std::max(m_state.settings.correction_samples, reports_per_refresh);
    if (record == nullptr || record->run_time.count() < needed) {
        return job.spec.run_time;
    }
    const double predicted = record->run_time.predict(std::max(seconds(job.spec.run_time), 1.0));
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(predicted));
}

} // namespace lovagebeam::placement::internal
