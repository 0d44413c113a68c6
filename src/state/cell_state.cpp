#include "lovagebeam/state/cell_state.h"

#include "lovagebeam/base/errors.h"

#include "cell_data.h"
#include "handlers.h"
#include "snapshot.h"

#include <exception>
#include <utility>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

// The year 2200. Times beyond it can only be garbage, and sums with durations stay far below the
// range of the type.
constexpr std::int64_t max_time_ms = 7'258'118'400'000;

absl::Status apply_regular_command(cell_data& data, const pb::Command& message,
                                   apply_context& context)
{
    switch (message.body_case()) {
    case pb::Command::kInstallEpoch:
        return apply(data, message.install_epoch(), context);
    case pb::Command::kPutTarget:
        return apply(data, message.put_target(), context);
    case pb::Command::kRemoveTarget:
        return apply(data, message.remove_target(), context);
    case pb::Command::kPutWorker:
        return apply(data, message.put_worker(), context);
    case pb::Command::kRemoveWorker:
        return apply(data, message.remove_worker(), context);
    case pb::Command::kAcceptJob:
        return apply(data, message.accept_job(), context);
    case pb::Command::kPlaceTasks:
        return apply(data, message.place_tasks(), context);
    case pb::Command::kTaskStarted:
        return apply(data, message.task_started(), context);
    case pb::Command::kTaskEnded:
        return apply(data, message.task_ended(), context);
    case pb::Command::kLeaseExpired:
        return apply(data, message.lease_expired(), context);
    case pb::Command::kCancelJob:
        return apply(data, message.cancel_job(), context);
    case pb::Command::kCommitIntent:
        return apply(data, message.commit_intent(), context);
    case pb::Command::kResolveIntent:
        return apply(data, message.resolve_intent(), context);
    case pb::Command::kRecordResult:
        return apply(data, message.record_result(), context);
    case pb::Command::kExpireEntries:
        return apply(data, message.expire_entries(), context);
    case pb::Command::kJobBatch:
        context.result.changed = true;
        return data.job_ledger.apply(message.job_batch());
    default:
        return make_error(error_code::invalid_request, "unknown command");
    }
}

bool is_operator_command(const pb::Command& message)
{
    return message.has_change_configuration() || message.has_give_key() ||
           message.has_withdraw_key();
}

absl::Status parse(std::string_view bytes, std::size_t limit, pb::Command& message)
{
    if (bytes.size() > limit) {
        return make_error(error_code::message_too_large,
                          "command of " + std::to_string(bytes.size()) + " bytes, at most " +
                              std::to_string(limit));
    }
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return make_error(error_code::invalid_request, "not a command");
    }
    if (message.time_ms() <= 0 || message.time_ms() > max_time_ms) {
        return make_error(error_code::invalid_request,
                          "time " + std::to_string(message.time_ms()) + " is out of range");
    }
    return absl::OkStatus();
}

void apply_command(cell_data& data, std::string_view bytes, apply_result& result)
{
    pb::Command message;
    if (result.status = parse(bytes, data.limits.max_command_bytes, message); !result.status.ok()) {
        return;
    }
    apply_context context{std::max(data.time, from_ms(message.time_ms())), result};
    if (is_operator_command(message)) {
        result.status = apply_operator_command(data, message, context);
        return;
    }
    result.status = apply_regular_command(data, message, context);
    if (result.changed) {
        data.time = context.now;
    }
    result.version = data.version;
    result.epoch = data.epoch;
}

} // namespace

cell_state::cell_state(state_limits limits) : m_data{std::make_unique<cell_data>(limits)}
{
    m_data->set_config({});
}

cell_state::cell_state(std::unique_ptr<cell_data> data) : m_data{std::move(data)} {}

cell_state::~cell_state() = default;
cell_state::cell_state(cell_state&&) noexcept = default;
cell_state& cell_state::operator=(cell_state&&) noexcept = default;

apply_result cell_state::apply(std::uint64_t index, std::string_view bytes) noexcept
{
    apply_result result;
    result.version = m_data->version;
    result.epoch = m_data->epoch;
    if (index <= m_data->index) {
        result.status =
            make_error(error_code::state_diverged, "index " + std::to_string(index) + " after " +
                                                       std::to_string(m_data->index));
    }
    else {
        m_data->index = index;
        try {
            apply_command(*m_data, bytes, result);
        }
        catch (const std::exception& error) {
            result.status = make_error(error_code::state_diverged, error.what());
        }
    }
    result.index = index;
    return result;
}

const jobs::ledger& cell_state::job_ledger() const
{
    return m_data->job_ledger;
}

std::string cell_state::encode_snapshot() const
{
    return encode_data(*m_data);
}

absl::StatusOr<cell_state> cell_state::decode_snapshot(std::string_view bytes, state_limits limits)
{
    auto data = decode_data(bytes, limits);
    if (!data.ok()) {
        return data.status();
    }
    return cell_state{*std::move(data)};
}

} // namespace lovagebeam::state
