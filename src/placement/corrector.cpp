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

/// Size that is exceeded by one task in a hundred, plus a margin for what was not seen yet.
constexpr double size_quantile = 0.99;
constexpr double size_margin = 1.1;
/// A job that is late misses its deadline, one that is early loses nothing.
constexpr double run_time_quantile = 0.9;
/// Reports are halved in weight each time this many were added, so that a change shows.
constexpr std::uint32_t halve_after = 2048;
constexpr std::uint32_t refresh_every = 16;

/// Reported amounts and their relation to the declared amounts. The narrower of the two predicts:
/// amounts when tasks of a command are alike, relations when they scale with what is declared.
class quantity {
public:
    quantity(double low, double high)
        : m_amounts{bh::make_histogram_with(bh::dense_storage<float>{}, log_axis{96, low, high})},
          m_relations{
              bh::make_histogram_with(bh::dense_storage<float>{}, log_axis{96, 0.01, 100.0})}
    {
    }

    void add(double amount, double declared, double quantile)
    {
        m_amounts(amount);
        m_relations(amount / std::max(declared, 1.0));
        ++m_count;
        if (m_count % halve_after == 0) {
            m_amounts *= 0.5;
            m_relations *= 0.5;
        }
        if (m_count % refresh_every == 0) {
            refresh(quantile);
        }
    }

    [[nodiscard]] std::uint32_t count() const { return m_count; }

    [[nodiscard]] double predict(double declared) const
    {
        return m_by_relation ? m_value * declared : m_value;
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
        const double relation = quantile_of(m_relations, quantile);
        m_by_relation =
            relation / quantile_of(m_relations, 0.5) < amount / quantile_of(m_amounts, 0.5);
        m_value = m_by_relation ? relation : amount;
    }

    log_histogram m_amounts;
    log_histogram m_relations;
    std::uint32_t m_count = 0;
    bool m_by_relation = false;
    double m_value = 0;
};

struct command_record {
    quantity cpu{1.0, 1e6};
    quantity memory{1e5, 1e13};
    quantity run_time{1e-3, 1e6};
};

using command_key = std::pair<slot, std::string>;

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct corrector::store {
    flat_map<command_key, std::unique_ptr<command_record>> commands;

    [[nodiscard]] const command_record* find(const job_record& job) const
    {
        const auto at = commands.find(command_key{job.team, job.spec.command});
        return at == commands.end() ? nullptr : at->second.get();
    }
};

corrector::corrector(cell& state) : m_state{state}, m_store{std::make_unique<store>()} {}

corrector::~corrector() = default;

void corrector::learn(const job_record& job, std::optional<base::duration> run_time,
                      std::optional<resources> peak)
{
    auto& entry = m_store->commands[command_key{job.team, job.spec.command}];
    if (entry == nullptr) {
        entry = std::make_unique<command_record>();
    }
    if (run_time) {
        entry->run_time.add(seconds(*run_time), seconds(job.spec.run_time), run_time_quantile);
    }
    if (peak) {
        const auto add = [](quantity& to, std::int64_t used, std::int64_t declared) {
            to.add(static_cast<double>(std::max<std::int64_t>(used, 1)),
                   static_cast<double>(declared), size_quantile);
        };
        add(entry->cpu, peak->cpu.value(), job.spec.size.cpu.value());
        add(entry->memory, peak->memory.value(), job.spec.size.memory.value());
    }
}

resources corrector::size_of(const job_record& job) const
{
    const command_record* record = m_store->find(job);
    resources size = job.spec.size;
    const std::uint32_t needed = m_state.settings.correction_samples;
    if (record == nullptr || record->cpu.count() < std::max(needed, refresh_every)) {
        return size;
    }
    const auto predict = [](const quantity& from, std::int64_t declared) {
        const double value = from.predict(static_cast<double>(declared)) * size_margin;
        return std::max<std::int64_t>(1, std::llround(value));
    };
    size.cpu = base::millicores{predict(record->cpu, size.cpu.value())};
    if (size.memory.value() > 0) {
        size.memory = base::bytes{predict(record->memory, size.memory.value())};
    }
    // A correction upwards must not make a job impossible that would run at its declared size.
    const std::int64_t tasks = job.spec.kind == job_kind::gang ? job.spec.tasks : 1;
    const bool was_possible = m_state.tasks_held(job.spec.size, false, tasks) >= tasks;
    const auto allowed = [&](const resources& corrected) {
        return (!was_possible || m_state.tasks_held(corrected, false, tasks) >= tasks) &&
               m_state.within_empty_limit(job.team, scaled(corrected, tasks));
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
    const command_record* record = m_store->find(job);
    const std::uint32_t needed = std::max(m_state.settings.correction_samples, refresh_every);
    if (record == nullptr || record->run_time.count() < needed) {
        return job.spec.run_time;
    }
    const double predicted = record->run_time.predict(std::max(seconds(job.spec.run_time), 1.0));
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(predicted));
}

} // namespace lovagebeam::placement::internal
