#include "lovagebeam/jobs/coordinator.h"

#include "objectives.h"

#include <algorithm>
#include <limits>

// Keeps the work that waits, from which the end of new jobs is forecast.

namespace lovagebeam::jobs {
namespace {

using scheduling::admission_forecast;

/// An admitted job that isn't in the ledger after this time isn't counted any more. Longer than the
/// time after which its commit is reported as unconfirmed.
constexpr std::chrono::seconds commit_wait{5};
/// How often the supplies of the pools are read.
constexpr milliseconds forecast_interval{100};

admission_forecast::work_key work_key_of(const step_key& key)
{
    return {key.job.value(), key.occurrence, key.step};
}

/// What `tasks` tasks without a worker count, and `placed` ones that run. Long-running tasks don't
/// end, so they reduce the capacity instead.
admission_forecast::amounts amounts_of(const step_spec& step, std::uint32_t tasks,
                                       std::uint32_t placed, bool is_ready, double factor)
{
    const auto millicores = booked_size(step).millicores;
    admission_forecast::amounts out;
    if (step.long_running) {
        out.held = millicores * (tasks + placed);
        return out;
    }
    out.work = millicores * tasks * corrected_estimate(step, factor).count();
    out.waiting = is_ready ? millicores * tasks : 0;
    return out;
}

bool is_exempt(const job_spec& job)
{
    return job.occurrences > 0 ||
           std::ranges::any_of(job.steps, [](const auto& step) { return step.long_running; });
}

/// The processors without which the job can't start: those of one task, or of a whole gang.
std::int64_t first_millicores(const job_spec& job)
{
    auto least = std::numeric_limits<std::int64_t>::max();
    for (const auto& step : job.steps) {
        if (step.depends_on.empty()) {
            least = std::min(least, booked_size(step).millicores * (step.gang ? step.tasks : 1));
        }
    }
    return job.steps.empty() ? 0 : least;
}

} // namespace

void coordinator::count_work(const job_record& job, const step_key& key)
{
    if (is_final(job.state)) {
        return;
    }
    const auto factor = m_estimates.factor(job.spec.queue, job.spec.account);
    const auto counted = [&](std::uint32_t step) {
        const auto& record = job.step(key.occurrence, step);
        // A task that is done may hold its worker for a moment longer.
        const auto waiting = record.undone - std::min(record.undone, record.placed);
        return amounts_of(job.spec.steps[step], waiting, record.placed,
                          job.is_ready(key.occurrence, step), factor);
    };
    if (m_forecast.contains(work_key_of(key))) {
        m_forecast.update(work_key_of(key), counted(key.step));
        return;
    }
    const auto from = job.spec.occurrences > 0 ? job.spec.due(key.occurrence) : job.accepted;
    const auto due = objective_end(job.spec, from, 1);
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        m_forecast.put(work_key_of({key.job, key.occurrence, step}), pool_of(job.spec),
                       job.spec.priority, due, counted(step));
    }
}

void coordinator::count_admitted(base::time_point now, const job_spec& spec, base::wall_time due)
{
    const auto factor = m_estimates.factor(spec.queue, spec.account);
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        m_forecast.put({spec.id.value(), 0, step}, pool_of(spec), spec.priority, due,
                       amounts_of(spec.steps[step], spec.steps[step].tasks, 0,
                                  spec.steps[step].depends_on.empty(), factor));
    }
    m_admitted.emplace_back(now + commit_wait, spec.id);
}

scheduling::admission_forecast::supply coordinator::supply_of(const std::string& pool) const
{
    const auto* const total = m_candidates.pool(pool);
    if (total == nullptr) {
        return {};
    }
    return {total->capacity.millicores, total->free.millicores + total->planned.millicores};
}

admission_forecast::verdict coordinator::judge_admission(base::time_point now, base::wall_time wall,
                                                         const job_spec& spec)
{
    if (m_ledger.find(spec.id) != nullptr || m_forecast.contains({spec.id.value(), 0, 0})) {
        return {};
    }
    const auto chains = remaining_chains(spec, advice_time(advice_for(spec)), m_estimates);
    admission_forecast::new_job candidate;
    candidate.id = spec.id.value();
    candidate.pool = pool_of(spec);
    candidate.priority = spec.priority;
    candidate.chain = longest_chain(chains);
    candidate.objective = objective_of(spec, candidate.chain, 1);
    candidate.due = wall + candidate.objective;
    candidate.first_millicores = first_millicores(spec);
    candidate.is_exempt = is_exempt(spec);
    const auto factor = m_estimates.factor(spec.queue, spec.account);
    for (const auto& step : spec.steps) {
        candidate.work += amounts_of(step, step.tasks, 0, true, factor).work;
    }
    auto verdict = m_forecast.judge(now, wall, candidate, supply_of(candidate.pool));
    verdict.objective = candidate.objective;
    if (verdict.is_admitted && spec.occurrences == 0) {
        count_admitted(now, spec, candidate.due);
        if (!candidate.is_exempt) {
            m_forecast.expect(spec.id.value(), wall + verdict.expected_end);
        }
    }
    return verdict;
}

void coordinator::update_forecast(base::time_point now, base::wall_time wall)
{
    while (!m_admitted.empty() && m_admitted.front().first <= now) {
        const auto id = m_admitted.front().second;
        m_admitted.pop_front();
        if (m_ledger.find(id) == nullptr) {
            m_forecast.remove(id.value());
            static_cast<void>(m_forecast.take_expected(id.value()));
        }
    }
    if (now < m_next_forecast) {
        return;
    }
    m_next_forecast = now + forecast_interval;
    std::size_t known = 0;
    std::size_t usable = 0;
    for (const auto& each : m_candidates.all()) {
        known += each.info != nullptr ? 1 : 0;
        usable += each.is_usable ? 1 : 0;
    }
    std::vector<std::pair<std::string, admission_forecast::supply>> pools;
    for (const auto& total : m_candidates.pools()) {
        pools.emplace_back(total.name, supply_of(total.name));
    }
    m_forecast.tick(now, wall, pools, known, usable);
}

void coordinator::stop_counting(const job_record& job)
{
    m_forecast.remove(job.spec.id.value());
    const auto expected = m_forecast.take_expected(job.spec.id.value());
    if (expected && job.state == job_state::completed) {
        const auto worthless =
            objective_end(job.spec, job.accepted, m_settings.planner.expiry_objectives);
        m_out.forecasts.push_back({job.spec.queue, job.ended - *expected, job.ended > worthless});
    }
}

} // namespace lovagebeam::jobs
