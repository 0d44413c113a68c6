#include "cell_run.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lovagebeam::bench {

namespace {

/// Divides `total` by weight; no team gets more than it demands. Written apart from the scheduler's
/// own function, so that a fault there shows here.
std::map<std::string, double> divide(const std::map<std::string, double>& demand,
                                     const std::map<std::string, double>& weight, double total)
{
    std::map<std::string, double> result;
    std::map<std::string, double> open = demand;
    while (!open.empty() && total > 1e-9) {
        double weights = 0;
        for (const auto& entry : open) {
            weights += weight.at(entry.first);
        }
        const auto met = std::find_if(open.begin(), open.end(), [&](const auto& entry) {
            return entry.second <= total * weight.at(entry.first) / weights;
        });
        if (met == open.end()) {
            for (const auto& entry : open) {
                result[entry.first] = total * weight.at(entry.first) / weights;
            }
            return result;
        }
        result[met->first] = met->second;
        total -= met->second;
        open.erase(met);
    }
    return result;
}

} // namespace

void cell_run::sample_shares(const std::map<std::string, double>& booked)
{
    constexpr std::size_t window = 60;
    std::map<std::string, double> demand = booked;
    std::map<std::string, double> weight;
    double capacity = 0;
    double total = 0;
    bool waiting = false;
    for (const placement::worker_seen& worker : m_work.workers) {
        capacity += static_cast<double>(worker.capacity.cpu.value());
    }
    for (const bench_team& team : m_work.teams) {
        weight[team.id.str()] = static_cast<double>(team.settings.share);
    }
    for (const auto& entry : booked) {
        total += entry.second;
    }
    for (std::size_t i = 0; i < m_work.jobs.size(); ++i) {
        const bench_job& job = m_work.jobs[i];
        const job_progress& progress = m_progress[i];
        if (job.arrival + std::chrono::seconds{12} > m_now) {
            break;
        }
        if (progress.cancelled || progress.final || job.spec.kind == placement::job_kind::service) {
            continue;
        }
        const double tasks = job.spec.tasks - progress.placed_first;
        demand[job.spec.team.str()] += tasks * static_cast<double>(job.use.cpu.value()) / capacity;
        waiting = waiting || tasks > 0;
    }
    // Two thirds of the fleet booked with work waiting counts as full, since a contender that
    // fragments the fleet must not be excused by it.
    m_full_seconds = waiting && total > 0.66 ? m_full_seconds + 1 : 0;
    const std::map<std::string, double> fair = divide(demand, weight, total);
    for (const auto& [team, share] : weight) {
        const auto of = [&team = team](const std::map<std::string, double>& from) {
            const auto at = from.find(team);
            return at == from.end() ? 0.0 : at->second;
        };
        std::vector<double>& differences = m_window[team];
        differences.push_back(of(booked) - of(fair));
        if (m_full_seconds < window) {
            continue;
        }
        const double sum = std::accumulate(differences.end() - window, differences.end(), 0.0);
        const double error = std::abs(sum) / window;
        m_result.share_error = std::max(m_result.share_error, error);
        m_result.share_error_mean += error;
        ++m_result.share_windows;
    }
}

} // namespace lovagebeam::bench
