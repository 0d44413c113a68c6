#include "lovagebeam/base/random_source.h"
#include "lovagebeam/storage/log_store.h"

#include "bench.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>
#include <vector>

namespace lovagebeam::bench {
namespace {

constexpr std::size_t payload_bytes = 256;

struct open_store {
    std::unique_ptr<storage::file_system> files = storage::make_posix_file_system();
    storage::recovery_result recovery;

    explicit open_store(const std::string& folder)
    {
        storage::store_options options;
        options.fresh_incarnation = consensus::incarnation{1};
        auto opened = storage::log_store::open(*files, folder, options);
        exit_on_error(opened.status());
        recovery = *std::move(opened);
    }
};

consensus::log_entry entry(std::uint64_t index, std::string payload)
{
    return {consensus::log_index{index}, consensus::term{1}, consensus::entry_kind::command,
            std::move(payload)};
}

double percentile(std::vector<double> values, double share)
{
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

} // namespace

void measure_recovery(const bench_options& options, std::uint64_t entries)
{
    std::filesystem::remove_all(options.folder);
    std::uint64_t initial_index = 0;
    {
        open_store store{options.folder};
        state_driver driver{options.seed};
        apply_initial_state(driver);
        initial_index = driver.cell.applied_index();
        std::vector<consensus::log_entry> batch;
        for (std::uint64_t i = 1; i <= entries; ++i) {
            batch.push_back(entry(i, driver.encode(driver.make_job(i))));
            if (batch.size() == 256 || i == entries) {
                exit_on_error(store.recovery.store->append(batch, std::nullopt));
                batch.clear();
            }
        }
        exit_on_error(store.recovery.store->sync());
    }
    state_driver driver{options.seed};
    apply_initial_state(driver);
    const std::uint64_t before = allocated_bytes();
    const stopwatch opening;
    const open_store store{options.folder};
    const double open_us = opening.microseconds();
    const stopwatch applying;
    for (const consensus::log_entry& logged : store.recovery.entries) {
        exit_on_error(
            driver.cell.apply(initial_index + logged.index.value(), logged.payload).status);
    }
    std::cout << "bench=recovery seed=" << options.seed << " entries=" << entries
              << " open_ms=" << open_us / 1000 << " apply_ms=" << applying.microseconds() / 1000
              << " memory_bytes=" << allocated_bytes() - before << '\n';
    std::filesystem::remove_all(options.folder);
}

void measure_append(const bench_options& options, std::uint64_t batch)
{
    std::filesystem::remove_all(options.folder);
    {
        const open_store store{options.folder};
        base::random_source random{options.seed};
        std::vector<double> times;
        std::uint64_t index = 0;
        for (std::uint64_t i = 0; i < options.rounds; ++i) {
            std::vector<consensus::log_entry> entries;
            for (std::uint64_t j = 0; j < batch; ++j) {
                std::string payload(payload_bytes, '\0');
                payload[0] = static_cast<char>(random.below(256));
                entries.push_back(entry(++index, std::move(payload)));
            }
            const stopwatch watch;
            exit_on_error(store.recovery.store->append(entries, std::nullopt));
            exit_on_error(store.recovery.store->sync());
            times.push_back(watch.microseconds());
        }
        const double median = percentile(times, 0.5);
        std::cout << "bench=append seed=" << options.seed << " batch=" << batch
                  << " payload_bytes=" << payload_bytes << " rounds=" << options.rounds
                  << " median_us=" << median << " p99_us=" << percentile(times, 0.99)
                  << " median_us_per_entry=" << median / static_cast<double>(batch) << '\n';
    }
    std::filesystem::remove_all(options.folder);
}

} // namespace lovagebeam::bench
