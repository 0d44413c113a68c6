#include "lovagebeam/standin/announcer.h"
#include "lovagebeam/standin/serve.h"
#include "lovagebeam/standin/worker.h"
#include "lovagebeam/telemetry/log.h"

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>

namespace {

using namespace lovagebeam;

struct options {
    standin::worker_settings worker;
    standin::serve_settings serve;
};

std::optional<options> parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    options result;
    std::string id;
    std::string entry_hosts;
    std::int64_t millicores = 0;
    std::int64_t memory_bytes = 0;
    po::options_description description{"standin_worker: a stand-in for a worker"};
    auto add = description.add_options();
    add("help", "show this text");
    add("id", po::value(&id)->required(), "worker id");
    add("entry-hosts", po::value(&entry_hosts)->required(), "address:port,... to announce to");
    add("address", po::value(&result.serve.address)->default_value("127.0.0.1"), "listen address");
    add("port", po::value(&result.serve.port)->default_value(0), "listen port; 0 takes any");
    add("failure-domain", po::value(&result.worker.failure_domain)->default_value("d1"), "domain");
    add("rack", po::value(&result.worker.rack)->default_value("r1"), "rack");
    add("millicores", po::value(&millicores)->default_value(64'000), "processors");
    add("memory-bytes", po::value(&memory_bytes)->default_value(std::int64_t{256} << 30), "memory");
    add("accelerators", po::value(&result.worker.accelerators)->default_value(0), "accelerators");
    add("failing", po::bool_switch(&result.worker.failing), "fail every task");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    po::notify(values);
    result.worker.id = base::worker_id{id};
    result.worker.millicores = base::millicores{millicores};
    result.worker.memory = base::bytes{memory_bytes};
    result.serve.entry_hosts = standin::parse_endpoints(entry_hosts);
    result.serve.announce_path = "/v1/workers/announce";
    return result;
}

int run(int argc, char** argv)
{
    auto chosen = parse(argc, argv);
    if (!chosen) {
        return 0;
    }
    telemetry::start_logging(telemetry::severity::info, chosen->worker.id.str());
    standin::worker worker{chosen->worker};
    const int code = standin::serve(
        chosen->serve,
        {.handle = [&](auto request, auto reply) { worker.handle(request, reply); },
         .announcement = [&](const auto& where) { return worker.announcement(where); },
         .on_announcement_answer = [&](const auto& answer,
                                       auto sent) { worker.renew_leases(answer, sent); },
         .on_connection_count = [](auto) {}});
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
        std::cerr << "standin_worker: " << error.what() << '\n';
        return 2;
    }
}
