#include "cluster_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lovagebeam::bench {

namespace {

/// Returns the weighted max-min fair allocation of `total`. It is implemented independently of the
/// scheduler's own function, so that a fault in that function shows in the result.
std::map<std::string, double> max_min_fair_shares(const std::map<std::string, double>& demand,
                                                  const std::map<std::string, double>& weight,
                                                  double total)
{
    std::map<std::string, double> result;
    std::map<std::string, double> unsatisfied = demand;
    while (!unsatisfied.empty() && total > 1e-9) {
        double weights = 0;
        for (const auto& entry : unsatisfied) {
            weights += weight.at(entry.first);
        }
        const auto satisfied =
            std::find_if(unsatisfied.begin(), unsatisfied.end(), [&](const auto& entry) {
                return entry.second <= total * weight.at(entry.first) / weights;
            });
        if (satisfied == unsatisfied.end()) {
            for (const auto& entry : unsatisfied) {
                result[entry.first] = total * weight.at(entry.first) / weights;
            }
            return result;
        }
        result[satisfied->first] = satisfied->second;
        total -= satisfied->second;
        unsatisfied.erase(satisfied);
    }
    return result;
}

} // namespace

void cluster_simulation::sample_shares(const std::map<std::string, double>& booked)
{
    constexpr std::size_t window_seconds = 60;
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
        if (progress.cancelled || progress.ended || job.spec.kind == placement::job_kind::service) {
            continue;
        }
        const double tasks = job.spec.tasks - progress.placed_tasks;
        demand[job.spec.team.str()] += tasks * static_cast<double>(job.use.cpu.value()) / capacity;
        waiting = waiting || tasks > 0;
    }
    // With tasks waiting, a fleet counts as full once two thirds of it are booked. With a higher
    // bound, a policy that fragments the fleet would escape the check.
    m_full_seconds = waiting && total > 0.66 ? m_full_seconds + 1 : 0;
    const std::map<std::string, double> fair = max_min_fair_shares(demand, weight, total);
    for (const auto& [team, share] : weight) {
        const auto share_of = [&team = team](const std::map<std::string, double>& from) {
            const auto at = from.find(team);
            return at == from.end() ? 0.0 : at->second;
        };
        std::vector<double>& differences = m_share_differences[team];
        differences.push_back(share_of(booked) - share_of(fair));
        if (m_full_seconds < window_seconds) {
            continue;
        }
        const double sum =
            std::accumulate(differences.end() - window_seconds, differences.end(), 0.0);
        const double error = std::abs(sum) / window_seconds;
        m_result.max_share_error = std::max(m_result.max_share_error, error);
        m_result.share_error_sum += error;
        ++m_result.share_windows;
    }
}

} // namespace lovagebeam::bench
