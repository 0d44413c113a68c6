#include "simulated_cluster.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <malloc.h>

namespace {

using namespace lovagebeam;
using namespace lovagebeam::bench;
using routing::work_class;

double heap_bytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void measure_decision_cost(std::uint64_t seed, std::uint32_t targets, std::uint32_t teams)
{
    cluster_options options;
    options.seed = seed;
    options.targets = targets;
    simulated_cluster cluster{options};
    cluster.run_for(1500ms);
    cluster.reset_measurements();
    constexpr std::uint64_t requests = 20'000;
    for (std::uint64_t i = 0; i < requests; ++i) {
        cluster.call("team-" + std::to_string(i % teams), work_class::interactive, 20ms, 5s);
        cluster.run_for(250us);
    }
    cluster.run_for(1s);
    const auto ns_per_request = [&](router_role role) { return cluster.cpu_ns(role) / requests; };
    std::cout << "bench=decision_cost seed=" << seed << " targets=" << targets << " teams=" << teams
              << " requests=" << requests << " entry_ns=" << ns_per_request(router_role::entry)
              << " owner_ns=" << ns_per_request(router_role::owner)
              << " home_ns=" << ns_per_request(router_role::home)
              << " tick_ns=" << cluster.tick_ns() / cluster.ticks() << std::endl;
}

void measure_memory(std::uint64_t seed)
{
    constexpr std::uint32_t targets = 2000;
    constexpr std::uint32_t requests = 10'000;
    cluster_options options;
    options.seed = seed;
    options.hosts = 1;
    options.targets = 0;
    simulated_cluster waiting{options};
    waiting.run_for(100ms);
    double before = heap_bytes();
    for (std::uint32_t i = 0; i < requests; ++i) {
        waiting.call("team", work_class::batch, 10ms, 20s);
    }
    const double bytes_per_waiting_request = (heap_bytes() - before) / requests;

    before = heap_bytes();
    options.targets = targets;
    simulated_cluster stored{options};
    stored.run_for(1s);
    const double bytes_per_target = (heap_bytes() - before) / targets;
    before = heap_bytes();
    for (std::uint32_t i = 0; i < requests; ++i) {
        stored.call("team", work_class::batch, 10ms, 20s, "key-" + std::to_string(i));
    }
    stored.run_for(25s);
    const double bytes_per_stored_result = (heap_bytes() - before) / requests;
    std::cout << "bench=memory seed=" << seed
              << " body_bytes=105 waiting_request_bytes=" << bytes_per_waiting_request
              << " target_bytes=" << bytes_per_target
              << " stored_result_bytes=" << bytes_per_stored_result << std::endl;
}

double quantile_ms(std::vector<duration>& values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return std::chrono::duration<double, std::milli>(values[index]).count();
}

/// Generates a load of `load` times the slots of the cluster. Urgent lookups of 20 ms make up a
/// tenth of it, batch requests of 100 ms on average the rest.
void offer_load(simulated_cluster& cluster, double load, duration time)
{
    constexpr double slots = 400;
    const double lookups_per_ms = load * slots * 0.1 / 20;
    const double batch_per_ms = load * slots * 0.9 / 100;
    const auto steps = time / 1ms;
    for (std::int64_t i = 0; i < steps; ++i) {
        for (double count = lookups_per_ms + cluster.random().unit(); count >= 1; count -= 1) {
            cluster.call("team-" + std::to_string(cluster.random().below(6)), work_class::urgent,
                         20ms, 1500ms);
        }
        for (double count = batch_per_ms + cluster.random().unit(); count >= 1; count -= 1) {
            const duration service = std::chrono::milliseconds{cluster.random().between(50, 150)};
            cluster.call("team-" + std::to_string(cluster.random().below(6)), work_class::batch,
                         service, 1s);
        }
        cluster.run_for(1ms);
    }
}

double measure_wait_times(std::uint64_t seed, double load)
{
    cluster_options options;
    options.seed = seed;
    simulated_cluster cluster{options};
    cluster.run_for(1500ms);
    offer_load(cluster, load, 12s);
    cluster.run_for(5s);
    std::vector<duration> waits;
    std::map<std::pair<work_class, routing::outcome>, std::uint64_t> counts;
    for (const auto& record : cluster.calls()) {
        ++counts[{record.priority, record.result}];
        if (record.priority == work_class::urgent && record.started != time_point{}) {
            waits.push_back(record.started - record.called);
        }
    }
    using routing::outcome;
    const auto count = [&](work_class priority, outcome result) {
        return counts[{priority, result}];
    };
    const double p99 = quantile_ms(waits, 0.99);
    std::cout << "bench=waiting seed=" << seed << " load_percent=" << load * 100
              << " lookup_p50_ms=" << quantile_ms(waits, 0.5) << " lookup_p99_ms=" << p99
              << " lookups_completed=" << count(work_class::urgent, outcome::completed)
              << " lookups_not_run=" << count(work_class::urgent, outcome::not_run)
              << " lookups_unknown=" << count(work_class::urgent, outcome::unknown)
              << " batch_completed=" << count(work_class::batch, outcome::completed)
              << " batch_not_run=" << count(work_class::batch, outcome::not_run)
              << " batch_unknown=" << count(work_class::batch, outcome::unknown) << std::endl;
    return p99;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::uint64_t seed = 1;
    po::options_description description{"Options"};
    description.add_options()("help", "show this text")(
        "seed", po::value(&seed)->default_value(seed), "seed of all random numbers");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    for (const std::uint32_t targets : {50U, 2000U}) {
        for (const std::uint32_t teams : {6U, 48U}) {
            measure_decision_cost(seed, targets, teams);
        }
    }
    measure_memory(seed);
    measure_wait_times(seed, 0.2);
    const double moderate = measure_wait_times(seed, 0.8);
    const double overload = measure_wait_times(seed, 1.2);
    std::cout << "bench=goal seed=" << seed << " p99_ratio_120_to_80=" << overload / moderate
              << " met=" << (overload <= 2 * moderate ? "yes" : "no") << std::endl;
    return 0;
}
