#include "lovagebeam/standin/announcer.h"

#include "load_run.h"

#include <boost/program_options.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>

namespace {

using namespace lovagebeam;

std::vector<load::team_credentials> read_credentials(const std::string& path)
{
    std::ifstream file{path};
    std::vector<load::team_credentials> result;
    load::team_credentials next;
    while (file >> next.team >> next.key) {
        result.push_back(next);
    }
    if (result.empty()) {
        throw std::invalid_argument{path + " must contain lines \"TEAM KEY\""};
    }
    return result;
}

std::optional<load::load_settings> parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    load::load_settings result;
    std::string hosts;
    std::string keys;
    std::int64_t seconds = 0;
    std::int64_t deadline_ms = 0;
    po::options_description description{
        "lovagebeam_load: sends a seeded workload through entry hosts"};
    auto add = description.add_options();
    add("help", "show this text");
    add("version", "show the version");
    add("hosts", po::value(&hosts)->required(), "address:port,... of entry hosts");
    add("keys", po::value(&keys)->required(), "file with a line \"TEAM KEY\" for each team");
    add("seed", po::value(&result.seed)->default_value(1), "seed");
    add("rate", po::value(&result.requests_per_second)->default_value(100), "requests per second");
    add("seconds", po::value(&seconds)->default_value(10), "duration");
    add("urgent", po::value(&result.urgent_fraction)->default_value(0.5),
        "fraction of urgent requests");
    add("batch", po::value(&result.batch_fraction)->default_value(0.3),
        "fraction of batch requests");
    add("once", po::value(&result.unrepeatable_fraction)->default_value(0),
        "fraction of requests that may not be repeated");
    add("resend", po::value(&result.resend_fraction)->default_value(0),
        "fraction of requests that are sent a second time, to another host");
    add("work-keys", po::value(&result.work_keys)->default_value(0),
        "distinct work keys of each team; 0 for none");
    add("deadline-ms", po::value(&deadline_ms)->default_value(5000), "deadline");
    add("history", po::value(&result.history), "file to which a line for each answer is appended");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    if (values.count("version") != 0) {
        std::cout << "lovagebeam_load " << LOVAGEBEAM_VERSION << '\n';
        return std::nullopt;
    }
    po::notify(values);
    result.hosts = standin::parse_endpoints(hosts);
    result.teams = read_credentials(keys);
    result.duration = std::chrono::seconds{seconds};
    result.deadline = std::chrono::milliseconds{deadline_ms};
    return result;
}

void print_latency(const load::load_run& run, routing::work_class priority)
{
    std::cout << "class=" << routing::name_of(priority)
              << " p50_ms=" << run.latency_seconds(priority, 0.5) * 1000
              << " p99_ms=" << run.latency_seconds(priority, 0.99) * 1000 << '\n';
}

int run(int argc, char** argv)
{
    const auto settings = parse(argc, argv);
    if (!settings) {
        return 0;
    }
    load::load_run workload{*settings};
    const load::load_result result = workload.run();
    std::cout << "seed=" << settings->seed << " sent=" << result.sent << " resent=" << result.resent
              << " wrong_answers=" << result.wrong_answers
              << " malformed_answers=" << result.malformed_answers << '\n';
    for (const auto& [outcome, count] : result.outcomes) {
        std::cout << "outcome=" << outcome << " count=" << count << '\n';
    }
    for (const auto& [code, count] : result.codes) {
        std::cout << "code=" << code << " count=" << count << '\n';
    }
    for (const auto priority : {routing::work_class::urgent, routing::work_class::interactive,
                                routing::work_class::batch}) {
        print_latency(workload, priority);
    }
    return result.wrong_answers + result.malformed_answers == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "lovagebeam_load: " << error.what() << '\n';
        return 2;
    }
}
