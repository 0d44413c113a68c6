#include "lovagebeam/daemon/host.h"
#include "lovagebeam/settings/daemon_settings.h"
#include "lovagebeam/telemetry/log.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace lovagebeam;

/// Exit codes; part of the public interface.
enum exit_code {
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_settings = 3,
    exit_requests_aborted = 4
};

struct options {
    std::string settings_path;
    bool check_only = false;
    bool init_group = false;
};

std::optional<options> parse_options(int argc, char** argv)
{
    namespace po = boost::program_options;
    options result;
    po::options_description description{"lovagebeamd: one host of the cluster scheduler"};
    auto add = description.add_options();
    add("help", "show this text");
    add("version", "show the version");
    add("settings", po::value(&result.settings_path)->required(), "JSON settings file");
    add("check-settings", po::bool_switch(&result.check_only), "check the settings and exit");
    add("init-group", po::bool_switch(&result.init_group),
        "prepare the empty data folder of a first voter of a new group and exit; only for a new "
        "installation");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return std::nullopt;
    }
    if (values.count("version") != 0) {
        std::cout << "lovagebeamd " << LOVAGEBEAM_VERSION << '\n';
        return std::nullopt;
    }
    po::notify(values);
    return result;
}

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run_host(settings::daemon_settings settings)
{
    // Block the signals before any thread starts, so that only sigwait receives them.
    const sigset_t signals = block_stop_signals();
    telemetry::start_logging(telemetry::severity_from_name(settings.log_level),
                             settings.node.str());
    auto host = daemon::host::create(std::move(settings));
    const absl::Status started = host.ok() ? (*host)->start() : host.status();
    if (!started.ok()) {
        telemetry::stop_logging();
        std::cerr << "lovagebeamd: " << started.message() << '\n';
        return exit_failed;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    const absl::Status stopped = (*host)->stop();
    telemetry::stop_logging();
    return stopped.ok() ? exit_ok : exit_requests_aborted;
}

int init_data_folder(const settings::daemon_settings& settings)
{
    const absl::Status status = daemon::init_group(settings);
    if (!status.ok()) {
        std::cerr << "lovagebeamd: " << status.message() << '\n';
        return exit_failed;
    }
    std::cout << settings.data_folder << " is ready\n";
    return exit_ok;
}

int run(int argc, char** argv)
{
    const auto parsed = parse_options(argc, argv);
    if (!parsed) {
        return exit_ok;
    }
    auto settings = settings::load_daemon_settings(parsed->settings_path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_settings;
    }
    if (parsed->check_only) {
        std::cout << parsed->settings_path << " is valid\n";
        return exit_ok;
    }
    return parsed->init_group ? init_data_folder(*settings) : run_host(*std::move(settings));
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "lovagebeamd: " << error.what() << '\n';
        return exit_usage;
    }
}
