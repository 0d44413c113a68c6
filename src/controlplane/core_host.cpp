#include "lovagebeam/controlplane/core_host.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/jobs/coordinator.h"
#include "lovagebeam/telemetry/log.h"

#include "caller_service.h"
#include "core_group.h"
#include "core_host_implementation.h"
#include "decision_loop.h"
#include "group_file.h"
#include "internal_calls.h"
#include "log_storage.h"
#include "peer_links.h"
#include "replication.h"

#include <sodium.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

using base::error_code;
using base::make_error;

std::uint64_t random_run_id()
{
    std::uint64_t run = 0;
    while (run == 0) {
        randombytes_buf(&run, sizeof run);
    }
    return run;
}

absl::Status prepare_log(const settings::daemon_settings& settings, bool is_initial_voter,
                         storage::file_system& files)
{
    if (!is_initial_voter) {
        return absl::OkStatus();
    }
    auto status = daemon::init_group(settings, files);
    // After a restart the log already exists.
    return base::has_code(status, error_code::already_exists) ? absl::OkStatus() : status;
}

} // namespace

absl::StatusOr<std::unique_ptr<core_host>> core_host::create(dependencies deps)
{
    if (sodium_init() < 0) {
        return make_error(error_code::internal_error, "libsodium can't be initialised");
    }
    auto files = storage::make_posix_file_system();
    std::vector<std::string> voters;
    if (!deps.settings.data_folder.empty()) {
        auto found = load_initial_voters(deps.settings, *files);
        if (!found.ok()) {
            return found.status();
        }
        voters = *std::move(found);
    }
    const auto settings = log_settings(deps.settings, voters);
    const bool is_initial_voter = std::ranges::find(voters, deps.settings.address) != voters.end();
    if (auto status = prepare_log(settings, is_initial_voter, *files); !status.ok()) {
        return status;
    }
    const auto run = random_run_id();
    auto log = daemon::open_log(settings, *files, run, base::boot_time());
    if (!log.ok()) {
        return log.status();
    }
    return std::unique_ptr<core_host>{std::make_unique<core_host_implementation>(
        std::move(deps), settings, run, std::move(files), *std::move(log))};
}

} // namespace lovagebeam::controlplane
