#include "http_bench.h"
#include "peers_bench.h"

#include <boost/program_options.hpp>

#include <cstddef>
#include <exception>
#include <iostream>

namespace {

int run(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::size_t scale = 1;
    po::options_description description{
        "Measures the packages peers, callers and targets over loopback"};
    description.add_options()("help",
                              "show this text")("scale", po::value(&scale)->default_value(scale),
                                                "factor for the number of messages and requests");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    using namespace lovagebeam::bench;
    bench_messages(100, 400'000 * scale);
    bench_messages(4096, 100'000 * scale);
    bench_idle_connection();
    bench_handshake();
    bench_http(1, 200, 20'000 * scale);
    bench_http(20, 200, 60'000 * scale);
    bench_http(20, 4096, 60'000 * scale);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "error=\"" << error.what() << "\"\n";
        return 1;
    }
}
