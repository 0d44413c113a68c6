#include "commands.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/operators/protocol.h"
#include "lovagebeam/targets/protocol.h"

#include "config_diff.h"
#include "evacuation_commands.h"
#include "table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string_view>

namespace lovagebeam::ctl {
namespace {

namespace json = boost::json;
using base::error_code;
using base::make_error;
using argument_list = std::vector<std::string>;

struct list_command {
    std::string_view name;
    std::string_view path;
    std::string_view field;
    std::string_view help;
};

constexpr std::array list_table{
    list_command{"hosts", "/v1/hosts", "hosts", "hosts of the current membership epoch"},
    list_command{"targets", "/v1/targets", "targets", "runners that have announced themselves"},
    list_command{"workers", "/v1/workers", "workers",
                 "workers with their capacity and reserved resources"},
    list_command{"teams", "/v1/teams", "teams", "teams with their shares and upper limits"},
    list_command{"jobs", "/v1/all-jobs", "jobs", "jobs of all teams"},
    list_command{"audit", "/v1/audit", "audit", "the audit trail"},
};

absl::Status usage_error(const std::string& text)
{
    return make_error(error_code::invalid_request, text + "; see --help");
}

std::string generate_operation_id()
{
    std::random_device device;
    std::ostringstream out;
    out << "op-" << std::hex << device() << device();
    return out.str();
}

void print(const call_options& options, const json::object& answer, std::string_view field)
{
    if (options.as_json) {
        std::cout << json::serialize(answer) << '\n';
        return;
    }
    const auto* const rows = answer.if_contains({field.data(), field.size()});
    if (rows != nullptr && rows->is_array()) {
        std::cout << render_table(rows->get_array());
        return;
    }
    for (const auto& entry : answer) {
        const auto& value = entry.value();
        std::cout << entry.key() << ": "
                  << (value.is_string() ? std::string{value.get_string()} : json::serialize(value))
                  << '\n';
    }
}

absl::Status show(api_client& client, const call_options& options, const std::string& path,
                  std::string_view field)
{
    const auto answer = client.call("GET", path);
    if (!answer.ok()) {
        return answer.status();
    }
    print(options, *answer, field);
    return absl::OkStatus();
}

absl::StatusOr<operators::change_call> make_change_call(api_client& client,
                                                        const call_options& options)
{
    if (options.who.empty() || options.why.empty()) {
        return usage_error("a change needs --who and --why");
    }
    operators::change_call call;
    call.who = options.who;
    call.why = options.why;
    call.operation =
        base::operation_id{options.operation.empty() ? generate_operation_id() : options.operation};
    if (options.expected_version >= 0) {
        call.expected = base::config_version{static_cast<std::uint64_t>(options.expected_version)};
        return call;
    }
    const auto config = client.call("GET", "/v1/config");
    if (!config.ok()) {
        return config.status();
    }
    call.expected = base::config_version{config->at("version").to_number<std::uint64_t>()};
    return call;
}

absl::Status send_change(api_client& client, const call_options& options, const std::string& method,
                         const std::string& path, const std::string& body)
{
    const auto answer = client.call(method, path, body);
    if (!answer.ok()) {
        return answer.status();
    }
    print(options, *answer, "");
    return absl::OkStatus();
}

absl::StatusOr<state::configuration> read_document(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return usage_error("can't read " + path);
    }
    return operators::decode_configuration(text.str());
}

absl::StatusOr<state::configuration> fetch_document(api_client& client)
{
    auto answer = client.call("GET", "/v1/config");
    if (!answer.ok()) {
        return answer.status();
    }
    answer->erase("version");
    return operators::decode_configuration(json::serialize(*answer));
}

absl::Status apply_document(api_client& client, const call_options& options,
                            const state::configuration& document)
{
    const auto call = make_change_call(client, options);
    if (!call.ok()) {
        return call.status();
    }
    return send_change(client, options, "PUT", "/v1/config",
                       operators::encode(operators::config_change{*call, document}));
}

absl::Status diff_document(api_client& client, const state::configuration& desired)
{
    const auto current = fetch_document(client);
    if (!current.ok()) {
        return current.status();
    }
    std::cout << diff_configurations(*current, desired);
    return absl::OkStatus();
}

absl::Status config_command(api_client& client, const call_options& options,
                            const argument_list& arguments)
{
    if (arguments.size() == 2 && arguments[1] == "show") {
        return show(client, options, "/v1/config", "");
    }
    if (arguments.size() == 3 && (arguments[1] == "apply" || arguments[1] == "diff")) {
        const auto document = read_document(arguments[2]);
        if (!document.ok()) {
            return document.status();
        }
        return arguments[1] == "apply" ? apply_document(client, options, *document)
                                       : diff_document(client, *document);
    }
    return usage_error("expected: config show | config diff FILE | config apply FILE");
}

absl::Status keys_command(api_client& client, const call_options& options,
                          const argument_list& arguments)
{
    if (arguments.size() == 2 && arguments[1] == "list") {
        return show(client, options, "/v1/keys", "keys");
    }
    if (arguments.size() != 3 || (arguments[1] != "give" && arguments[1] != "withdraw")) {
        return usage_error("expected: keys list | keys give TEAM | keys withdraw KEY_ID");
    }
    const auto call = make_change_call(client, options);
    if (!call.ok()) {
        return call.status();
    }
    if (arguments[1] == "give") {
        return send_change(
            client, options, "POST", "/v1/keys",
            operators::encode(operators::key_grant{*call, base::team_id{arguments[2]}}));
    }
    return send_change(client, options, "DELETE",
                       "/v1/keys/" + targets::percent_encode(arguments[2]),
                       operators::encode(*call));
}

// Draining is stored as a configuration exception, so that it has a reason and appears in the audit
// trail.
absl::Status drain_command(api_client& client, const call_options& options,
                           const argument_list& arguments)
{
    const bool is_drain = arguments[0] == "drain";
    if (arguments.size() != 3 || (arguments[1] != "host" && arguments[1] != "target")) {
        return usage_error("expected: " + arguments[0] + " host|target ID");
    }
    auto document = fetch_document(client);
    if (!document.ok()) {
        return document.status();
    }
    const std::string scope = arguments[1] + ":" + arguments[2];
    auto found = std::ranges::find(document->exceptions, scope, &state::config_exception::scope);
    if (found == document->exceptions.end()) {
        if (!is_drain) {
            return make_error(error_code::not_found, scope + " isn't draining");
        }
        document->exceptions.push_back({scope, {}, options.why});
        found = std::prev(document->exceptions.end());
    }
    found->set.draining = is_drain ? std::optional{true} : std::nullopt;
    if (found->set == state::settings_set{}) {
        document->exceptions.erase(found);
    }
    return apply_document(client, options, *document);
}

absl::Status explain_command(api_client& client, const call_options& options,
                             const argument_list& arguments)
{
    if (arguments.size() == 3 && arguments[1] == "job") {
        return show(client, options, "/v1/explain/jobs/" + targets::percent_encode(arguments[2]),
                    "");
    }
    if (arguments.size() == 2 && arguments[1] == "teams") {
        const auto text = client.call_text("GET", "/v1/explain/teams");
        if (!text.ok()) {
            return text.status();
        }
        const auto rows = json::parse(*text);
        std::cout << (options.as_json ? *text + "\n" : render_table(rows.as_array()));
        return absl::OkStatus();
    }
    return usage_error("expected: explain job ID | explain teams");
}

} // namespace

std::string command_help()
{
    std::string out =
        "Commands:\n"
        "  config show             the active configuration\n"
        "  config diff FILE        the changes that applying FILE would make\n"
        "  config apply FILE       replace the defaults and exceptions\n"
        "  keys list               team keys, without their secrets\n"
        "  keys give TEAM          create a key; it is shown only once\n"
        "  keys withdraw KEY_ID    revoke a key\n"
        "  drain host|target ID    assign it no new work\n"
        "  undrain host|target ID  assign it new work again\n"
        "  evacuate DOMAIN         start no more tasks in a failure domain of the job\n"
        "                          system; --host is a core process's internal port\n"
        "  evacuate DOMAIN --withdraw  start tasks there again\n"
        "  evacuations             the failure domains that are evacuated or were\n"
        "  explain job ID          why a job is in its current state\n"
        "  explain teams           what each team runs compared with its share\n"
        "  explain-log ID FILE...  the log lines of one job or request, in order\n";
    for (const auto& command : list_table) {
        out += "  ";
        out += command.name;
        out.append(24 - command.name.size(), ' ');
        out += command.help;
        out += '\n';
    }
    return out;
}

absl::Status run_command(api_client& client, const call_options& options,
                         const argument_list& arguments)
{
    const std::string& name = arguments.front();
    const auto* const list = std::ranges::find(list_table, name, &list_command::name);
    if (list != list_table.end() && arguments.size() == 1) {
        return show(client, options, std::string{list->path}, list->field);
    }
    if (name == "config") {
        return config_command(client, options, arguments);
    }
    if (name == "keys") {
        return keys_command(client, options, arguments);
    }
    if (name == "drain" || name == "undrain") {
        return drain_command(client, options, arguments);
    }
    if (is_evacuation_command(name)) {
        return run_evacuation_command(client, options, arguments);
    }
    if (name == "explain") {
        return explain_command(client, options, arguments);
    }
    return usage_error("unknown command \"" + name + "\"");
}

} // namespace lovagebeam::ctl
