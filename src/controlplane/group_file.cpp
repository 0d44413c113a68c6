#include "group_file.h"

#include "initial_voters.h"
#include "internal_calls.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

constexpr std::string_view file_name = "first-group";
constexpr std::string_view temporary_name = "first-group.tmp";
constexpr std::size_t max_file_bytes = 4'096;

absl::StatusOr<std::vector<std::string>> read_voters(storage::file_system& files,
                                                     const std::string& path)
{
    auto file = files.open(path, storage::open_mode::existing);
    if (!file.ok()) {
        return file.status();
    }
    auto text = (*file)->read_at(0, max_file_bytes);
    if (!text.ok()) {
        return text.status();
    }
    std::vector<std::string> out;
    std::string_view rest = *text;
    for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
        out.emplace_back(rest.substr(0, end));
        rest.remove_prefix(end + 1);
    }
    return out;
}

absl::Status write_voters(storage::file_system& files, const std::string& folder,
                          const std::vector<std::string>& voters)
{
    std::string text;
    for (const auto& voter : voters) {
        text += voter + '\n';
    }
    const std::string temporary = folder + '/' + std::string{temporary_name};
    auto file = files.open(temporary, storage::open_mode::create);
    if (!file.ok()) {
        return file.status();
    }
    for (std::size_t offset = 0; offset < text.size();) {
        const auto written = (*file)->write_at(offset, std::string_view{text}.substr(offset));
        if (!written.ok()) {
            return written.status();
        }
        offset += *written;
    }
    if (auto status = (*file)->sync(); !status.ok()) {
        return status;
    }
    if (auto status = files.rename(temporary, folder + '/' + std::string{file_name});
        !status.ok()) {
        return status;
    }
    return files.sync_folder(folder);
}

} // namespace

absl::StatusOr<std::vector<std::string>>
load_initial_voters(const settings::process_settings& settings, storage::file_system& files)
{
    if (auto status = files.create_folder(settings.data_folder); !status.ok()) {
        return status;
    }
    const auto names = files.list(settings.data_folder);
    if (!names.ok()) {
        return names.status();
    }
    if (std::ranges::find(*names, file_name) != names->end()) {
        return read_voters(files, settings.data_folder + '/' + std::string{file_name});
    }
    if (!settings.is_first_start || !names->empty()) {
        return std::vector<std::string>{};
    }
    auto discovered = discover_initial_voters(settings);
    const bool is_initial_voter =
        discovered.ok() && std::ranges::find(*discovered, settings.address) != discovered->end();
    if (!is_initial_voter) {
        return std::vector<std::string>{};
    }
    if (auto status = write_voters(files, settings.data_folder, *discovered); !status.ok()) {
        return status;
    }
    return discovered;
}

settings::daemon_settings log_settings(const settings::process_settings& settings,
                                       const std::vector<std::string>& initial_voters)
{
    settings::daemon_settings out;
    out.node = base::node_id{settings.address};
    out.data_folder = settings.data_folder.empty() ? "" : settings.data_folder + "/log";
    out.log_level = settings.log_level;
    const auto add = [&](const std::string& address, settings::member_role role) {
        settings::member member;
        member.node = base::node_id{address};
        member.domain = settings.domain;
        member.peers = {address, peer_port(settings)};
        member.role = role;
        out.members.push_back(std::move(member));
    };
    for (const auto& voter : initial_voters) {
        add(voter, settings::member_role::voter);
    }
    if (std::ranges::find(initial_voters, settings.address) == initial_voters.end()) {
        add(settings.address, settings::member_role::learner);
    }
    return out;
}

} // namespace lovagebeam::controlplane
