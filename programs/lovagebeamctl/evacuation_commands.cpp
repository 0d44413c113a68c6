#include "evacuation_commands.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/targets/protocol.h"

#include "table.h"

#include <boost/json.hpp>

#include <iostream>

namespace lovagebeam::ctl {
namespace {

namespace json = boost::json;

constexpr auto evacuations_path = "/v1/evacuations";

absl::Status usage_error(const std::string& text)
{
    return base::make_error(base::error_code::invalid_request, text + "; see --help");
}

absl::Status print_evacuations(api_client& client, const call_options& options)
{
    const auto answer = client.call("GET", evacuations_path);
    if (!answer.ok()) {
        return answer.status();
    }
    const auto* const rows = answer->if_contains("evacuations");
    if (options.as_json || rows == nullptr || !rows->is_array()) {
        std::cout << json::serialize(*answer) << '\n';
    }
    else {
        std::cout << render_table(rows->get_array());
    }
    return absl::OkStatus();
}

absl::Status set_evacuation(api_client& client, const call_options& options,
                            const std::string& domain)
{
    if (options.who.empty() || options.why.empty()) {
        return usage_error("a change needs --who and --why");
    }
    json::object body{{"who", options.who}, {"why", options.why}};
    if (options.expected_revision > 0) {
        body["expected_revision"] = options.expected_revision;
    }
    const auto answer =
        client.call(options.is_withdrawal ? "DELETE" : "PUT",
                    std::string{evacuations_path} + "/" + targets::percent_encode(domain),
                    json::serialize(body));
    if (!answer.ok()) {
        return answer.status();
    }
    if (options.as_json) {
        std::cout << json::serialize(*answer) << '\n';
    }
    else {
        std::cout << render_table(json::array{*answer});
    }
    return absl::OkStatus();
}

} // namespace

bool is_evacuation_command(const std::string& name)
{
    return name == "evacuate" || name == "evacuations";
}

absl::Status run_evacuation_command(api_client& client, const call_options& options,
                                    const std::vector<std::string>& arguments)
{
    if (arguments.size() == 1 && arguments[0] == "evacuations") {
        return print_evacuations(client, options);
    }
    if (arguments.size() == 2 && arguments[0] == "evacuate") {
        return set_evacuation(client, options, arguments[1]);
    }
    return usage_error("expected: evacuate DOMAIN [--withdraw] | evacuations");
}

} // namespace lovagebeam::ctl
