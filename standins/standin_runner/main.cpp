#include "lovagebeam/standin/announcer.h"
#include "lovagebeam/standin/runner.h"
#include "lovagebeam/standin/serve.h"
#include "lovagebeam/telemetry/log.h"

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>

namespace {

using namespace lovagebeam;

struct options {
    standin::runner_settings runner;
    standin::serve_settings serve;
};

std::optional<options> parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    options result;
    std::string id;
    std::string entry_hosts;
    std::int64_t service_ms = 0;
    po::options_description description{"standin_runner: a stand-in for a runner"};
    auto add = description.add_options();
    add("help", "show this text");
    add("id", po::value(&id)->required(), "target id");
    add("entry-hosts", po::value(&entry_hosts)->required(), "address:port,... to announce to");
    add("address", po::value(&result.serve.address)->default_value("127.0.0.1"), "listen address");
    add("port", po::value(&result.serve.port)->default_value(0), "listen port; 0 takes any");
    add("failure-domain", po::value(&result.runner.failure_domain)->default_value("d1"), "domain");
    add("rack", po::value(&result.runner.rack)->default_value("r1"), "rack");
    add("slots", po::value(&result.runner.slots)->default_value(8), "slots");
    add("connections", po::value(&result.runner.connections)->default_value(64), "connections");
    add("service-ms", po::value(&service_ms)->default_value(20), "time that each request takes");
    add("journal", po::value(&result.runner.journal), "file for the starts and ends of attempts");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    po::notify(values);
    result.runner.id = base::target_id{id};
    result.runner.service_time = std::chrono::milliseconds{service_ms};
    result.serve.entry_hosts = standin::parse_endpoints(entry_hosts);
    result.serve.announce_path = "/v1/targets/announce";
    return result;
}

int run(int argc, char** argv)
{
    auto chosen = parse(argc, argv);
    if (!chosen) {
        return 0;
    }
    telemetry::start_logging(telemetry::severity::info, chosen->runner.id.str());
    standin::runner runner{chosen->runner};
    const int code = standin::serve(
        chosen->serve,
        {.handle = [&](auto request, auto reply) { runner.handle(std::move(request), reply); },
         .announcement = [&](const auto& where) { return runner.announcement(where); },
         .on_announcement_answer = [](const auto&, auto) {},
         .on_connection_count = [&](auto open) { runner.observe_connections(open); }});
    telemetry::stop_logging();
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "standin_runner: " << error.what() << '\n';
        return 2;
    }
}
