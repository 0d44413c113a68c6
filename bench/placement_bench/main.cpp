#include "cluster_simulation.h"
#include "cost.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::bench;

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void print(const run_result& result)
{
    std::printf("policy name=%s", result.name.c_str());
    for (const auto& [kind, waits] : result.waits) {
        const std::string_view name = placement::name_of(kind);
        std::printf(" %.*s_wait_ms=%.0f/%.0f", static_cast<int>(name.size()), name.data(),
                    quantile(waits, 0.5), quantile(waits, 0.99));
    }
    std::printf(" urgent_at_95_ms=%.0f/%.0f(%zu)", quantile(result.urgent_busy_waits, 0.5),
                quantile(result.urgent_busy_waits, 0.99), result.urgent_busy_waits.size());
    std::printf(" missed=%zu/%zu booked=%.3f used_of_booked=%.3f share_error=%.3f/%.3f(%zu)",
                result.missed_deadlines.size(), result.jobs_with_deadline, result.booked_ratio,
                result.used_ratio, result.max_share_error,
                result.share_error_sum /
                    static_cast<double>(std::max<std::size_t>(result.share_windows, 1)),
                result.share_windows);
    std::printf(" lost_core_s=%.0f of=%.0f preemptions=%zu commands=%zu completed=%zu "
                "step_us=%.1f/%.1f\n",
                result.lost_core_seconds, result.used_core_seconds, result.preemptions,
                result.commands, result.completed_tasks, quantile(result.step_us, 0.5),
                quantile(result.step_us, 0.99));
    for (const auto& [why, count] : result.reasons) {
        const std::string_view name = placement::name_of(why);
        std::printf("  commands why=%.*s count=%zu\n", static_cast<int>(name.size()), name.data(),
                    count);
    }
    std::fflush(stdout);
}

void run_policies(const workload_options& options, bool variants, bool alone)
{
    const workload work = make_workload(options);
    std::printf("workload seed=%llu workers=%u jobs=%zu load=%.2f\n",
                static_cast<unsigned long long>(options.seed), options.workers, work.jobs.size(),
                options.load);
    const base::time_point now{std::chrono::hours{1}};
    std::vector<std::unique_ptr<scheduling_policy>> policies;
    policies.push_back(make_scheduler(work, {}, now, "scheduler"));
    if (!alone) {
        policies.push_back(make_first_fit(work));
        policies.push_back(make_best_fit(work));
    }
    if (variants) {
        placement::scheduler_settings settings;
        settings.urgent_headroom = 0;
        policies.push_back(make_scheduler(work, settings, now, "no_headroom"));
        settings = {};
        settings.correction_samples = 1U << 30U;
        policies.push_back(make_scheduler(work, settings, now, "no_correction"));
        settings = {};
        settings.share_wait_timeout = std::chrono::hours{100};
        policies.push_back(make_scheduler(work, settings, now, "no_reclaim"));
    }
    std::vector<run_result> results;
    for (const auto& policy : policies) {
        results.push_back(cluster_simulation{work, options.seed, options.length}.run(*policy));
        print(results.back());
    }
    if (alone) {
        return;
    }
    std::size_t met_by_baseline = 0;
    for (const std::string& job : results[0].missed_deadlines) {
        met_by_baseline +=
            !results[1].missed_deadlines.contains(job) || !results[2].missed_deadlines.contains(job)
                ? 1
                : 0;
    }
    std::printf("missed_that_a_baseline_meets=%zu\n", met_by_baseline);
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    workload_options options;
    std::string mode;
    double minutes = 20;
    po::options_description description{"Options"};
    description.add_options()("help", "show this text")(
        "seed", po::value(&options.seed)->default_value(1), "seed of the workload")(
        "mode", po::value(&mode)->default_value("policies"), "policies, variants, alone or cost")(
        "load", po::value(&options.load)->default_value(options.load),
        "offered load as a multiple of the capacity")(
        "workers", po::value(&options.workers)->default_value(options.workers),
        "number of workers")("minutes", po::value(&minutes)->default_value(minutes),
                             "time during which jobs arrive");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    options.length = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::ratio<60>>(minutes));
    if (mode == "cost") {
        measure_scheduler_cost(options.seed);
    }
    else {
        run_policies(options, mode == "variants", mode == "alone");
    }
    return 0;
}
