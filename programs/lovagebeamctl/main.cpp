#include "lovagebeam/base/errors.h"
#include "lovagebeam/operators/log_explanation.h"
#include "lovagebeam/settings/daemon_settings.h"

#include "api_client.h"
#include "commands.h"
#include "evacuation_commands.h"

#include <boost/program_options.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace lovagebeam;

/// Exit codes, part of the program's interface.
enum exit_code {
    exit_ok = 0,
    exit_error = 1,
    exit_usage = 2,
    exit_conflict = 3,
    /// No answer: the change may or may not have been applied. Send it again with the same
    /// --operation-id.
    exit_unknown = 4,
};

struct options {
    targets::endpoint host;
    std::string credential_file;
    ctl::call_options call;
    std::vector<std::string> arguments;
};

targets::endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    const int port = colon == std::string::npos ? 0 : std::stoi(text.substr(colon + 1));
    if (port < 1 || port > 65535) {
        throw std::invalid_argument{"--host must be address:port, not \"" + text + "\""};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::optional<options> parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    options result;
    std::string host;
    po::options_description visible{"lovagebeamctl: the command-line tool for operators.\nOptions"};
    auto add = visible.add_options();
    add("help", "show this text");
    add("version", "show the version");
    add("host", po::value(&host)->default_value("127.0.0.1:8001"), "address:port of any host");
    add("credential-file", po::value(&result.credential_file), "file with the credential");
    add("json", po::bool_switch(&result.call.as_json), "print JSON instead of tables");
    add("who", po::value(&result.call.who), "the author of the change");
    add("why", po::value(&result.call.why), "the reason for the change");
    add("operation-id", po::value(&result.call.operation),
        "identifies a change, so that it can safely be sent again");
    add("expected-version", po::value(&result.call.expected_version),
        "the version that the change is based on; the current one if not given");
    add("expected-revision", po::value(&result.call.expected_revision),
        "the revision of the record that an evacuation is based on; any if not given");
    add("withdraw", po::bool_switch(&result.call.is_withdrawal), "withdraw an evacuation");
    po::options_description all = visible;
    all.add_options()("words", po::value(&result.arguments));
    po::positional_options_description positional;
    positional.add("words", -1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
              values);
    if (values.count("version") != 0) {
        std::cout << "lovagebeamctl " << LOVAGEBEAM_VERSION << '\n';
        return std::nullopt;
    }
    po::notify(values);
    if (values.count("help") != 0 || result.arguments.empty()) {
        std::cout << visible << ctl::command_help();
        return std::nullopt;
    }
    result.host = parse_endpoint(host);
    return result;
}

int exit_code_of(const absl::Status& status)
{
    const auto code = base::code_of(status);
    if (status.ok()) {
        return exit_ok;
    }
    if (code == base::error_code::invalid_request) {
        return exit_usage;
    }
    if (code == base::error_code::version_conflict) {
        return exit_conflict;
    }
    const bool is_unknown = code == base::error_code::timed_out ||
                            code == base::error_code::connection_reset ||
                            code == base::error_code::truncated_answer;
    return is_unknown ? exit_unknown : exit_error;
}

// Runs explain-log ID FILE..., which needs neither a host nor a credential.
int explain_log(const std::vector<std::string>& arguments)
{
    if (arguments.size() < 3) {
        std::cerr << "lovagebeamctl: explain-log needs an id and one or more log files\n";
        return exit_usage;
    }
    std::vector<operators::log_line> lines;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        std::ifstream file{arguments[i]};
        if (!file) {
            std::cerr << "lovagebeamctl: can't read " << arguments[i] << '\n';
            return exit_usage;
        }
        std::string text;
        operators::log_line line;
        while (std::getline(file, text)) {
            if (operators::parse_log_line(text, line)) {
                lines.push_back(line);
            }
        }
    }
    const auto found = operators::explain(arguments[1], lines);
    for (const auto& line : found) {
        std::cout << line.text << '\n';
    }
    if (found.empty()) {
        std::cerr << "lovagebeamctl: no log line refers to " << arguments[1] << '\n';
        return exit_error;
    }
    return exit_ok;
}

int run(int argc, char** argv)
{
    const auto parsed = parse(argc, argv);
    if (!parsed) {
        return exit_ok;
    }
    if (parsed->arguments.front() == "explain-log") {
        return explain_log(parsed->arguments);
    }
    const auto credential = ctl::is_evacuation_command(parsed->arguments.front())
                                ? absl::StatusOr<std::string>{""}
                                : settings::load_secret(parsed->credential_file);
    if (!credential.ok()) {
        std::cerr << "lovagebeamctl: " << credential.status().message() << '\n';
        return exit_usage;
    }
    ctl::api_client client{parsed->host, *credential};
    const absl::Status status = ctl::run_command(client, parsed->call, parsed->arguments);
    if (!status.ok()) {
        const auto code = base::code_of(status).value_or(base::error_code::internal_error);
        std::cerr << "lovagebeamctl: " << base::name_of(code) << ": " << status.message() << '\n';
    }
    return exit_code_of(status);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "lovagebeamctl: " << error.what() << '\n';
        return exit_usage;
    }
}
