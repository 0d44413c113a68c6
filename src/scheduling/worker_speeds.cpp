#include "lovagebeam/scheduling/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lovagebeam::scheduling {
namespace {

constexpr double slow_below = 0.8;
constexpr double fast_above = 1.25;
/// A single run suggests at most this factor, so that a wrong duration counts like any other one.
const double largest_sample = std::log(16.0);
/// Differences between successive samples of one worker that must be known before any speed is
/// derived.
constexpr std::size_t min_differences = 6;
constexpr std::size_t max_differences = 64;
/// Deviations up to this multiple of the median difference, divided by the root of the number of
/// samples, may be chance. The median of the differences is 0.95 standard deviations, and the rare
/// tasks that take several times as long as the others of their step don't move it.
constexpr double spread_factor = 4;

/// `values` isn't empty.
double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    const auto upper = *middle;
    return values.size() % 2 == 1 ? upper : (*std::max_element(values.begin(), middle) + upper) / 2;
}

double log_of(base::duration time)
{
    return std::log(std::chrono::duration<double>{time}.count());
}

template <class Value>
void push_bounded(std::deque<Value>& to, Value value, std::size_t limit)
{
    to.push_back(std::move(value));
    if (to.size() > limit) {
        to.pop_front();
    }
}

} // namespace

speed_class class_of(double speed)
{
    if (speed < slow_below) {
        return speed_class::slow;
    }
    return speed > fast_above ? speed_class::fast : speed_class::normal;
}

std::string_view name_of(speed_class of)
{
    switch (of) {
    case speed_class::slow:
        return "slow";
    case speed_class::normal:
        return "normal";
    case speed_class::fast:
        return "fast";
    }
    return "";
}

worker_speeds::worker_speeds(speed_settings settings) : m_settings{settings} {}

void worker_speeds::on_instance(const base::worker_id& worker, const std::string& pool,
                                base::wall_time instance)
{
    auto& known = m_workers[worker];
    if (known.instance < instance) {
        m_has_changed = m_has_changed || known.speed != 1;
        known = {};
        known.instance = instance;
    }
    known.pool = pool;
}

void worker_speeds::forget(const base::worker_id& worker)
{
    m_workers.erase(worker);
}

bool worker_speeds::set_cold(base::time_point now, const base::worker_id& worker,
                             base::wall_time instance, base::time_point until)
{
    auto& known = m_workers[worker];
    if (instance < known.instance) {
        return false;
    }
    if (known.instance < instance) {
        const auto pool = known.pool;
        on_instance(worker, pool, instance);
    }
    const bool was_cold = known.cold_until && now < *known.cold_until;
    known.cold_until = until;
    return was_cold != (now < until);
}

void worker_speeds::observe_run(base::time_point now, const base::worker_id& worker,
                                base::wall_time instance, const run_observation& run)
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end() || known->second.instance != instance ||
        run.took < m_settings.least_run || run.took > m_settings.longest_run ||
        run.step_tasks < m_settings.min_step_workers ||
        run.step_tasks > m_settings.max_step_tasks) {
        return;
    }
    // A run that began while the worker was cold says little about its speed when warm.
    if (known->second.cold_until && now - run.took < *known->second.cold_until) {
        return;
    }
    observe_in_step(worker, run);
}

// Runs end in the order of their durations, so a comparison before the last one has ended would
// count those that end late as slow.
void worker_speeds::observe_in_step(const base::worker_id& worker, const run_observation& run)
{
    const auto [found, is_new] = m_steps.try_emplace(run.step);
    if (is_new) {
        m_step_order.push_back(run.step);
        if (m_step_order.size() > m_settings.max_steps) {
            m_steps.erase(m_step_order.front());
            m_step_order.pop_front();
        }
    }
    auto& runs = found->second;
    runs.push_back({worker, log_of(run.took)});
    if (runs.size() == run.step_tasks) {
        compare(runs);
        runs.clear();
    }
}

void worker_speeds::compare(const std::vector<finished_run>& runs)
{
    std::map<base::worker_id, std::vector<double>> by_worker;
    for (const auto& run : runs) {
        by_worker[run.worker].push_back(run.work);
    }
    if (by_worker.size() < m_settings.min_step_workers) {
        return;
    }
    std::vector<double> work_at_speed_one;
    work_at_speed_one.reserve(by_worker.size());
    std::map<base::worker_id, double> medians;
    for (auto& [id, durations] : by_worker) {
        const auto middle = median(std::move(durations));
        medians.emplace(id, middle);
        work_at_speed_one.push_back(middle + std::log(speed(id)));
    }
    const auto typical = median(std::move(work_at_speed_one));
    for (const auto& [id, middle] : medians) {
        add_sample(id, std::clamp(typical - middle, -largest_sample, largest_sample));
    }
}

void worker_speeds::add_sample(const base::worker_id& worker, double sample)
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end()) {
        return;
    }
    auto& samples = known->second.samples;
    if (!samples.empty()) {
        push_bounded(m_differences, std::abs(sample - samples.back()), max_differences);
    }
    push_bounded(samples, sample, m_settings.steps_per_worker);
    known->second.median = median({samples.begin(), samples.end()});
    m_has_changed = true;
}

std::vector<worker_speeds::change> worker_speeds::update()
{
    std::vector<change> changes;
    if (m_differences.size() < min_differences || !std::exchange(m_has_changed, false)) {
        return changes;
    }
    const auto spread = median({m_differences.begin(), m_differences.end()});
    std::map<std::string, std::vector<double>> by_pool;
    for (const auto& [id, worker] : m_workers) {
        by_pool[worker.pool].push_back(worker.median);
    }
    std::map<std::string, double> medians;
    for (auto& [pool, values] : by_pool) {
        medians.emplace(pool, median(std::move(values)));
    }
    for (auto& [id, worker] : m_workers) {
        const auto count = worker.samples.size();
        if (count < m_settings.min_steps) {
            continue;
        }
        const auto deviation = worker.median - medians.at(worker.pool);
        const auto least = std::max(std::log1p(m_settings.least_deviation),
                                    spread * spread_factor / std::sqrt(static_cast<double>(count)));
        const auto speed = std::abs(deviation) <= least
                               ? 1.0
                               : std::clamp(std::exp(deviation), m_settings.least_speed,
                                            m_settings.greatest_speed);
        if (class_of(speed) != class_of(worker.speed)) {
            changes.push_back({id, speed, count});
        }
        worker.speed = speed;
    }
    return changes;
}

double worker_speeds::speed(const base::worker_id& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? 1 : found->second.speed;
}

double worker_speeds::speed_at(base::time_point now, const base::worker_id& worker) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return 1;
    }
    const auto& known = found->second;
    const bool cold = known.cold_until && now < *known.cold_until;
    return known.speed * (cold ? m_settings.cold_factor : 1);
}

bool worker_speeds::is_cold(base::time_point now, const base::worker_id& worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.cold_until && now < *found->second.cold_until;
}

} // namespace lovagebeam::scheduling
