#include "lovagebeam/settings/daemon_settings.h"

#include "lovagebeam/base/errors.h"

#include "text_file.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace lovagebeam::settings {
namespace {

constexpr std::size_t min_secret_length = 32;

void read_endpoint(json_reader& parent, std::string_view name, endpoint& out,
                   std::vector<problem>& problems)
{
    const auto* const object = parent.child(name, presence::required);
    if (object == nullptr) {
        return;
    }
    json_reader reader{*object, parent.path_of(name), problems};
    std::int64_t port = 0;
    reader.read("address", out.address, presence::required);
    reader.read("port", port, 1, 65535, presence::required);
    out.port = static_cast<std::uint16_t>(port);
    boost::system::error_code error;
    boost::asio::ip::make_address(out.address, error);
    if (error && !out.address.empty()) {
        reader.report("address", "must be an IP address, but is \"" + out.address + "\"");
    }
    reader.finish();
}

member read_member(const boost::json::object& object, const std::string& path,
                   std::vector<problem>& problems)
{
    json_reader reader{object, path, problems};
    std::string node;
    std::string domain;
    bool voter = false;
    member result;
    reader.read("node_id", node, presence::required);
    reader.read("failure_domain", domain, presence::required);
    reader.read("voter", voter, presence::optional);
    read_endpoint(reader, "peers", result.peers, problems);
    read_endpoint(reader, "callers", result.callers, problems);
    reader.finish();
    result.node = base::node_id{node};
    result.domain = base::failure_domain{domain};
    result.role = voter ? member_role::voter : member_role::learner;
    return result;
}

void read_members(json_reader& reader, daemon_settings& out, std::vector<problem>& problems)
{
    const auto* const members = reader.array("members", presence::required);
    if (members == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < members->size(); ++i) {
        const std::string path = "members[" + std::to_string(i) + "]";
        if (const auto* const object = (*members)[i].if_object()) {
            out.members.push_back(read_member(*object, path, problems));
        }
        else {
            problems.push_back({path, "must be an object"});
        }
    }
}

void check_members_are_unique(const daemon_settings& settings, std::vector<problem>& problems)
{
    std::set<base::node_id> nodes;
    std::set<std::pair<std::string, std::uint16_t>> endpoints;
    for (std::size_t i = 0; i < settings.members.size(); ++i) {
        const member& current = settings.members[i];
        const std::string path = "members[" + std::to_string(i) + "]";
        if (!nodes.insert(current.node).second) {
            problems.push_back(
                {path + ".node_id", "\"" + current.node.str() + "\" is there twice"});
        }
        for (const auto* address : {&current.peers, &current.callers}) {
            if (!endpoints.emplace(address->address, address->port).second) {
                problems.push_back({path, address->address + ":" + std::to_string(address->port) +
                                              " is there twice"});
            }
        }
    }
}

void check_own_entry(const daemon_settings& settings, std::vector<problem>& problems)
{
    const auto self = std::ranges::find(settings.members, settings.node, &member::node);
    if (self == settings.members.end()) {
        problems.push_back({"node_id", "\"" + settings.node.str() + "\" isn't in members"});
        return;
    }
    if (self->role == member_role::voter && settings.data_folder.empty()) {
        problems.push_back({"data_folder", "is missing, but this host is a voter"});
    }
    if (self->role == member_role::learner && !settings.data_folder.empty()) {
        problems.push_back({"data_folder", "is set, but this host isn't a voter"});
    }
}

void check_voters(const daemon_settings& settings, std::vector<problem>& problems)
{
    const auto voters = std::ranges::count(settings.members, member_role::voter, &member::role);
    if (voters != 1 && voters != 3 && voters != 5 && voters != 7) {
        problems.push_back({"members", "there must be 1, 3, 5 or 7 voters, but there are " +
                                           std::to_string(voters)});
    }
}

void check_log_level(const daemon_settings& settings, std::vector<problem>& problems)
{
    static const std::vector<std::string> levels{"debug", "info", "warning", "error"};
    if (std::ranges::find(levels, settings.log_level) == levels.end()) {
        problems.push_back({"log_level", "must be debug, info, warning or error, but is \"" +
                                             settings.log_level + "\""});
    }
}

daemon_settings read_settings(const boost::json::object& object, std::vector<problem>& problems)
{
    daemon_settings result;
    json_reader reader{object, "", problems};
    std::string node;
    reader.read("node_id", node, presence::required);
    result.node = base::node_id{node};
    reader.read("data_folder", result.data_folder, presence::optional);
    reader.read("cluster_secret_file", result.cluster_secret_file, presence::required);
    reader.read("operator_credential_file", result.operator_credential_file, presence::required);
    reader.read("log_level", result.log_level, presence::optional);
    read_members(reader, result, problems);
    reader.finish();
    return result;
}

} // namespace

const member& daemon_settings::self() const
{
    return *std::ranges::find(members, node, &member::node);
}

parse_result parse_daemon_settings(std::string_view text)
{
    parse_result result;
    const auto document = parse_document(text, result.problems);
    if (!document) {
        return result;
    }
    daemon_settings settings = read_settings(*document, result.problems);
    if (result.problems.empty()) {
        check_members_are_unique(settings, result.problems);
        check_own_entry(settings, result.problems);
        check_voters(settings, result.problems);
        check_log_level(settings, result.problems);
    }
    if (result.problems.empty()) {
        result.settings = std::move(settings);
    }
    return result;
}

absl::StatusOr<daemon_settings> load_daemon_settings(const std::string& path)
{
    const auto text = read_text_file(path);
    if (!text.ok()) {
        return text.status();
    }
    parse_result result = parse_daemon_settings(*text);
    if (result.settings) {
        return *std::move(result.settings);
    }
    return problems_error(path, result.problems);
}

absl::StatusOr<std::string> load_secret(const std::string& path)
{
    const auto text = read_text_file(path);
    if (!text.ok()) {
        return text.status();
    }
    std::string secret = text->substr(0, text->find('\n'));
    if (secret.size() < min_secret_length) {
        return base::make_error(base::error_code::invalid_settings,
                                path + " must hold at least 32 characters, but holds " +
                                    std::to_string(secret.size()));
    }
    return secret;
}

} // namespace lovagebeam::settings
