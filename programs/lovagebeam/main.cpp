#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/telemetry/log.h"

#include "core_process.h"
#include "entry_process.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <pthread.h>
#include <string>

namespace {

namespace po = boost::program_options;

using namespace lovagebeam;

constexpr int exit_ok = 0;
constexpr int exit_usage = 2;
constexpr int exit_invalid_settings = 3;

/// Environment variable in which the platform passes the path of the settings file.
constexpr const char* settings_variable = "LOVAGEBEAM_SETTINGS";

enum class process_role { core, entry };

struct arguments {
    process_role role = process_role::entry;
    std::string settings_path;
    bool check_only = false;
};

std::optional<process_role> role_from_name(const std::string& name)
{
    if (name == "core") {
        return process_role::core;
    }
    return name == "entry" ? std::optional{process_role::entry} : std::nullopt;
}

// Returns nothing after --help or --version.
std::optional<arguments> parse(int argc, char** argv)
{
    arguments out;
    std::string role;
    po::options_description options{"usage: lovagebeam core|entry [options]"};
    auto add = options.add_options();
    add("help", "show this text");
    add("version", "show the version");
    add("settings", po::value(&out.settings_path),
        "path of the settings file; default: the variable LOVAGEBEAM_SETTINGS");
    add("check-settings", po::bool_switch(&out.check_only), "check the settings and exit");
    add("role", po::value(&role)->required(), "core or entry");
    po::positional_options_description positions;
    positions.add("role", 1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(),
              values);
    if (values.count("help") != 0) {
        std::cout << options;
        return std::nullopt;
    }
    if (values.count("version") != 0) {
        std::cout << "lovagebeam " << LOVAGEBEAM_VERSION << '\n';
        return std::nullopt;
    }
    po::notify(values);
    const auto known = role_from_name(role);
    if (!known) {
        throw po::error{"the role must be core or entry, but is \"" + role + "\""};
    }
    out.role = *known;
    if (out.settings_path.empty()) {
        const char* const path = std::getenv(settings_variable);
        out.settings_path = path == nullptr ? "" : path;
    }
    return out;
}

// Must be called before any thread starts, so that only sigwait() receives the signals.
sigset_t block_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(int argc, char** argv)
{
    const auto args = parse(argc, argv);
    if (!args) {
        return exit_ok;
    }
    auto settings = settings::load_process_settings(args->settings_path);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return exit_invalid_settings;
    }
    if (args->check_only) {
        std::cout << args->settings_path << " is valid\n";
        return exit_ok;
    }
    const sigset_t signals = block_signals();
    telemetry::start_logging(telemetry::severity_from_name(settings->log_level),
                             settings->node.str(), telemetry::log_stream::output);
    const programs::process_context context{*std::move(settings), args->settings_path, signals};
    const int result = args->role == process_role::core ? programs::run_core(context)
                                                        : programs::run_entry(context);
    telemetry::stop_logging();
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "lovagebeam: " << error.what() << '\n';
        return exit_usage;
    }
}
