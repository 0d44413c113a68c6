#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace lovagebeam::bench {

namespace {

using placement::job_kind;
using placement::resources;

constexpr std::int64_t gigabyte = std::int64_t{1} << 30;
constexpr std::int64_t host_cores = 64;

/// A kind of job that a team submits. `load` is its fraction of the offered load.
struct job_template {
    const char* team;
    const char* name;
    job_kind kind;
    std::int64_t millicores;
    double gigabytes;
    double run_seconds;
    std::uint32_t max_tasks;
    /// Deadline as a multiple of the run time; 0 for none.
    double deadline_factor;
    bool repeatable;
    double load;
};

constexpr std::array<job_template, 8> job_templates{{
    {"trust-roster", "season_roster", job_kind::batch, 4000, 12, 60, 8, 12, true, 0.30},
    {"trust-grants", "grant_reconciliation", job_kind::batch, 2000, 10, 40, 12, 0, true, 0.20},
    {"trust-desk", "availability", job_kind::urgent, 800, 1, 0.8, 1, 2, true, 0.004},
    {"guild-tallies", "season_tally", job_kind::gang, 4000, 14, 50, 12, 20, true, 0.08},
    {"guild-tallies", "daily_tally", job_kind::batch, 6000, 20, 50, 6, 15, true, 0.20},
    {"guild-payouts", "grower_payout", job_kind::batch, 1500, 6, 30, 4, 40, false, 0.08},
    {"guild-slips", "picker_slips", job_kind::batch, 1000, 3, 15, 16, 30, true, 0.13},
    {"guild-shed", "lookup", job_kind::urgent, 400, 1, 0.4, 1, 3, true, 0.003},
}};

base::duration seconds(double value)
{
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(value));
}

/// Returns a random factor in [1/max_factor, max_factor], equally likely above and below 1.
double random_factor(base::random_source& random, double max_factor)
{
    return std::exp((random.unit() * 2.0 - 1.0) * std::log(max_factor));
}

resources make_resources(double millicores, double bytes)
{
    return {base::millicores{std::max<std::int64_t>(10, std::llround(millicores))},
            base::bytes{std::max<std::int64_t>(1 << 20, std::llround(bytes))},
            {}};
}

bench_job make_job(const job_template& kind, std::size_t number, time_point arrival,
                   base::random_source& random)
{
    bench_job job;
    const double scale = random_factor(random, 1.3);
    const double cpu = static_cast<double>(kind.millicores) * scale;
    const double memory =
        kind.gigabytes * static_cast<double>(gigabyte) * random_factor(random, 1.3);
    const double run = kind.run_seconds * random_factor(random, 2.0);
    job.arrival = arrival;
    job.use = make_resources(cpu, memory);
    job.run_time = seconds(run);
    job.spec.id = base::job_id{std::string{kind.name} + "-" + std::to_string(number)};
    job.spec.team = base::team_id{kind.team};
    job.spec.command = kind.name;
    job.spec.kind = kind.kind;
    job.spec.tasks = static_cast<std::uint32_t>(random.between(1, kind.max_tasks));
    // A size that is declared too small mostly leads to a retry, one that is too large wastes
    // capacity. The workload has both.
    job.spec.size = make_resources(std::min(cpu * random_factor(random, 5.0), 60000.0),
                                   std::min(memory * random_factor(random, 5.0), 240.0 * gigabyte));
    job.spec.run_time = seconds(run * random_factor(random, 10.0));
    if (kind.deadline_factor > 0) {
        job.spec.deadline = arrival + seconds(run * kind.deadline_factor);
    }
    job.spec.repeatable = kind.repeatable;
    return job;
}

void add_services(workload& work, base::random_source& random, time_point start)
{
    for (int i = 0; i < 6; ++i) {
        const job_template service{i % 2 == 0 ? "trust-desk" : "guild-shed",
                                   "front_end",
                                   job_kind::service,
                                   1500,
                                   4,
                                   1e6,
                                   8,
                                   0,
                                   true,
                                   0};
        work.jobs.push_back(make_job(service, static_cast<std::size_t>(i), start, random));
    }
}

} // namespace

workload make_workload(const workload_options& options)
{
    base::random_source random{options.seed};
    workload result;
    const time_point start{std::chrono::hours{1}};
    for (std::uint32_t i = 0; i < options.workers; ++i) {
        placement::worker_seen worker;
        worker.worker = base::worker_id{"worker-" + std::to_string(i)};
        worker.domain = base::failure_domain{"domain-" + std::to_string(i % 4)};
        worker.rack =
            placement::rack_id{"rack-" + std::to_string(i % 4) + "-" + std::to_string(i / 24)};
        worker.capacity = make_resources(host_cores * 1000.0, 256.0 * gigabyte);
        result.workers.push_back(worker);
    }
    for (const auto& [team, share] :
         std::initializer_list<std::pair<const char*, std::int64_t>>{{"trust-roster", 3},
                                                                     {"trust-grants", 1},
                                                                     {"trust-desk", 2},
                                                                     {"guild-tallies", 3},
                                                                     {"guild-payouts", 1},
                                                                     {"guild-slips", 2},
                                                                     {"guild-shed", 1}}) {
        bench_team entry{base::team_id{team}, {}};
        entry.settings.share = share;
        entry.settings.limit_cpu = base::millicores{options.workers * host_cores * 700};
        result.teams.push_back(entry);
    }
    add_services(result, random, start);
    const double cores = options.workers * static_cast<double>(host_cores) * options.load;
    for (const job_template& kind : job_templates) {
        const double core_seconds_per_job = static_cast<double>(kind.millicores) / 1000.0 *
                                            kind.run_seconds * (1.0 + kind.max_tasks) / 2.0;
        const double rate = cores * kind.load / core_seconds_per_job;
        std::size_t number = 0;
        for (double at = 0; at < std::chrono::duration<double>(options.length).count();
             at += -std::log(1.0 - random.unit()) / rate) {
            result.jobs.push_back(make_job(kind, number++, start + seconds(at), random));
        }
    }
    std::stable_sort(
        result.jobs.begin(), result.jobs.end(),
        [](const bench_job& left, const bench_job& right) { return left.arrival < right.arrival; });
    return result;
}

} // namespace lovagebeam::bench
