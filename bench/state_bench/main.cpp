#include "bench.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;

// Prints a line of key=value pairs for each measurement.
int main(int argc, char** argv)
{
    lovagebeam::bench::bench_options options;
    po::options_description description{"Options"};
    description.add_options()("help", "show this text")(
        "seed", po::value(&options.seed)->default_value(options.seed),
        "seed of the job sizes and payloads")(
        "folder", po::value(&options.folder)->default_value(options.folder),
        "folder for the log, on the disk to be measured; it is deleted")(
        "rounds", po::value(&options.rounds)->default_value(options.rounds),
        "number of appends, with a sync each, for each batch size");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    lovagebeam::bench::measure_apply(options);
    for (const std::uint64_t jobs : {1'000U, 10'000U, 100'000U}) {
        lovagebeam::bench::measure_snapshot(options, jobs);
    }
    for (const std::uint64_t entries : {1'000U, 10'000U, 100'000U}) {
        lovagebeam::bench::measure_recovery(options, entries);
    }
    for (const std::uint64_t batch : {1U, 8U, 64U, 512U}) {
        lovagebeam::bench::measure_append(options, batch);
    }
    return 0;
}
