#include "log_storage.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "null_log_writer.h"
#include "storage_thread.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>
#include <vector>

namespace lovagebeam::daemon {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

std::uint64_t hash_of(const std::string& text)
{
    return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

std::vector<base::node_id> initial_voters(const settings::daemon_settings& settings)
{
    std::vector<base::node_id> result;
    for (const auto& listed : settings.members) {
        if (listed.role == settings::member_role::voter) {
            result.push_back(listed.node);
        }
    }
    std::ranges::sort(result);
    return result;
}

// All initial voters must derive the same group id, so it depends only on settings that they share.
std::string group_description(const settings::daemon_settings& settings)
{
    std::string text = "group";
    for (const auto& node : initial_voters(settings)) {
        text += ' ' + node.str();
    }
    return text;
}

consensus::incarnation initial_incarnation(const settings::daemon_settings& settings,
                                           const base::node_id& node)
{
    return consensus::incarnation{hash_of(group_description(settings) + " member " + node.str())};
}

consensus::group_config initial_config(const settings::daemon_settings& settings)
{
    consensus::group_config config;
    for (const auto& node : initial_voters(settings)) {
        config.voters.push_back({node, initial_incarnation(settings, node)});
    }
    return config;
}

consensus::incarnation random_incarnation()
{
    std::uint64_t number = 0;
    while (number == 0) {
        randombytes_buf(&number, sizeof number);
    }
    return consensus::incarnation{number};
}

absl::StatusOr<storage::recovery_result> open_store(const settings::daemon_settings& settings,
                                                    storage::file_system& files,
                                                    consensus::incarnation new_incarnation)
{
    storage::store_options options;
    options.fresh_incarnation = new_incarnation;
    return storage::log_store::open(files, settings.data_folder, options);
}

// Restores the state from the snapshot, if there is one.
absl::Status restore_snapshot(storage::recovery_result& recovered, opened_log& out)
{
    if (recovered.snapshot.index.value() == 0) {
        return absl::OkStatus();
    }
    auto bytes = recovered.store->read_snapshot(
        recovered.snapshot.index, 0, static_cast<std::size_t>(recovered.snapshot.size.value()));
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto decoded = state::cell_state::decode_snapshot(*bytes);
    if (!decoded.ok()) {
        return decoded.status();
    }
    out.state = *std::move(decoded);
    out.snapshot = recovered.snapshot;
    out.snapshot_bytes = std::make_shared<const std::string>(*std::move(bytes));
    return absl::OkStatus();
}

absl::StatusOr<opened_log> build_replica(consensus::replica_builder builder, opened_log out,
                                         base::time_point now)
{
    auto replica = builder.build(now);
    if (!replica.ok()) {
        return replica.status();
    }
    out.replica = *std::move(replica);
    return out;
}

absl::StatusOr<opened_log> open_voter(const settings::daemon_settings& settings,
                                      storage::file_system& files, std::uint64_t run,
                                      base::time_point now)
{
    auto recovered = open_store(settings, files, random_incarnation());
    if (!recovered.ok()) {
        return recovered.status();
    }
    opened_log out;
    if (auto status = restore_snapshot(*recovered, out); !status.ok()) {
        return status;
    }
    out.identity = {settings.node, recovered->incarnation};
    const bool is_first = recovered->incarnation == initial_incarnation(settings, settings.node);
    if (is_first && recovered->snapshot.index.value() == 0) {
        out.snapshot.config = initial_config(settings);
        recovered->hard_state.group = consensus::group_id{hash_of(group_description(settings))};
    }
    log_event{severity::info, "log_opened"}
        .with("incarnation", recovered->incarnation.value())
        .with("new", recovered->is_new)
        .with("snapshot", recovered->snapshot.index.value())
        .with("entries", recovered->entries.size())
        .with("cut_bytes", recovered->truncated_bytes)
        .write();
    consensus::replica_builder builder{out.identity};
    builder.state(recovered->hard_state)
        .snapshot(out.snapshot)
        .entries(std::move(recovered->entries))
        .random(base::random_source{run});
    out.store = std::move(recovered->store);
    return build_replica(std::move(builder), std::move(out), now);
}

} // namespace

absl::StatusOr<opened_log> open_log(const settings::daemon_settings& settings,
                                    storage::file_system& files, std::uint64_t run,
                                    base::time_point now)
{
    if (!settings.data_folder.empty()) {
        return open_voter(settings, files, run, now);
    }
    opened_log out;
    out.identity = {settings.node, random_incarnation()};
    consensus::replica_builder builder{out.identity};
    builder.durable(false).random(base::random_source{run});
    return build_replica(std::move(builder), std::move(out), now);
}

absl::Status init_group(const settings::daemon_settings& settings, storage::file_system& files)
{
    if (settings.data_folder.empty()) {
        return make_error(error_code::invalid_settings,
                          settings.node.str() + " isn't a voter and has no data folder");
    }
    const auto recovered =
        open_store(settings, files, initial_incarnation(settings, settings.node));
    if (!recovered.ok()) {
        return recovered.status();
    }
    if (!recovered->is_new) {
        return make_error(error_code::already_exists,
                          settings.data_folder + " already belongs to a member of a group");
    }
    return absl::OkStatus();
}

std::unique_ptr<log_writer> make_writer(std::unique_ptr<storage::log_store> store,
                                        decision_loop& loop)
{
    if (store) {
        return std::make_unique<storage_thread>(std::move(store), loop);
    }
    return std::make_unique<null_log_writer>(loop);
}

} // namespace lovagebeam::daemon
