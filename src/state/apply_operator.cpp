// Commands that operators give: configuration and team keys.
#include "checks.h"
#include "handlers.h"

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

constexpr std::size_t min_salt_bytes = 16;
constexpr std::size_t max_salt_bytes = 64;
constexpr std::size_t hash_size = 32;
constexpr std::size_t max_sealed_key_bytes = 1024;

/// What the audit trail says of a change that was made.
using change_result = absl::StatusOr<std::string>;

change_result change_configuration(cell_data& data, const pb::ChangeConfiguration& message)
{
    configuration document = from_proto(message.configuration());
    if (auto status = check_configuration(document); !status.ok()) {
        return status;
    }
    std::string what = describe_change(data.config, document);
    data.set_config(std::move(document));
    return what;
}

absl::Status check_key(const pb::GiveKey& message)
{
    auto status =
        first_error(check_id("team", message.team()), check_id("key_id", message.key_id()));
    if (!status.ok()) {
        return status;
    }
    if (message.team().starts_with("queue:")) {
        return make_error(error_code::invalid_request,
                          message.team() + ": teams of open queues have no keys");
    }
    if (message.key_id().find('.') != std::string::npos) {
        return make_error(error_code::invalid_request, "a key id has no dots");
    }
    if (message.salt().size() < min_salt_bytes || message.salt().size() > max_salt_bytes ||
        message.hash().size() != hash_size || message.sealed_key().size() > max_sealed_key_bytes) {
        return make_error(error_code::invalid_request, "wrong size of salt, hash or sealed key");
    }
    return absl::OkStatus();
}

change_result give_key(cell_data& data, const pb::GiveKey& message, const std::string& who,
                       apply_context& context)
{
    if (auto status = check_key(message); !status.ok()) {
        return status;
    }
    const base::key_id id{message.key_id()};
    if (data.keys.find(id) != nullptr) {
        return make_error(error_code::already_exists, "key " + id.str() + " exists");
    }
    data.put_key(
        {id, base::team_id{message.team()}, message.salt(), message.hash(), who, context.now});
    context.result.key = id;
    context.result.sealed_key = message.sealed_key();
    return "key " + id.str() + " given to team " + message.team();
}

change_result withdraw_key(cell_data& data, const pb::WithdrawKey& message)
{
    const base::key_id id{message.key_id()};
    const team_key* const key = data.keys.find(id);
    if (key == nullptr) {
        // The id isn't quoted: it may be of any length.
        return make_error(error_code::not_found, "there is no such key");
    }
    std::string what = "key " + id.str() + " of team " + key->team.str() + " withdrawn";
    data.erase_key(id);
    return what;
}

change_result apply_change(cell_data& data, const pb::Command& message, apply_context& context)
{
    if (message.has_change_configuration()) {
        return change_configuration(data, message.change_configuration());
    }
    if (message.has_give_key()) {
        return give_key(data, message.give_key(), message.operator_call().who(), context);
    }
    return withdraw_key(data, message.withdraw_key());
}

/// Hashes what the operator asked for. The time and the random parts of a key differ in a resend.
std::uint64_t fingerprint_of(const pb::Command& message)
{
    pb::Command content = message;
    content.clear_time_ms();
    if (content.has_give_key()) {
        content.mutable_give_key()->clear_key_id();
        content.mutable_give_key()->clear_salt();
        content.mutable_give_key()->clear_hash();
        content.mutable_give_key()->clear_sealed_key();
    }
    return hash_message(content, static_cast<std::uint64_t>(section::operations));
}

absl::Status check_call(const pb::OperatorCall& call, const cell_data& data)
{
    if (is_blank(call.why())) {
        return make_error(error_code::reason_missing, "a change needs a reason");
    }
    if (call.expected_version() != data.version.value()) {
        return make_error(error_code::version_conflict,
                          "expected version " + std::to_string(call.expected_version()) +
                              ", present version " + std::to_string(data.version.value()));
    }
    return absl::OkStatus();
}

absl::Status apply_audited_change(cell_data& data, const pb::Command& message,
                                  apply_context& context)
{
    const pb::OperatorCall& call = message.operator_call();
    if (auto status = check_call(call, data); !status.ok()) {
        return status;
    }
    change_result made = apply_change(data, message, context);
    if (!made.ok()) {
        return made.status();
    }
    const base::config_version before = data.version;
    data.version = before.next();
    data.put_audit({data.next_audit++, call.who(), context.now, *std::move(made), call.why(),
                    before, data.version, base::operation_id{call.operation_id()}});
    return absl::OkStatus();
}

} // namespace

absl::Status apply_operator_command(cell_data& data, const pb::Command& message,
                                    apply_context& context)
{
    const pb::OperatorCall& call = message.operator_call();
    if (auto status = first_error(check_id("operation_id", call.operation_id()),
                                  check_text("who", call.who()), check_text("why", call.why()));
        !status.ok()) {
        return status;
    }
    if (is_blank(call.who())) {
        return make_error(error_code::invalid_request, "a change needs the name of who makes it");
    }
    const base::operation_id id{call.operation_id()};
    const std::uint64_t fingerprint = fingerprint_of(message);
    if (const operation_record* const first = data.operations.find(id)) {
        if (first->fingerprint != fingerprint) {
            return make_error(error_code::already_exists,
                              "operation " + id.str() + " was another change");
        }
        context.result = first->result;
        context.result.changed = false;
        return context.result.status;
    }
    apply_result& result = context.result;
    result.status = apply_audited_change(data, message, context);
    result.changed = result.status.ok();
    result.version = data.version;
    result.epoch = data.epoch;
    data.time = context.now;
    data.put_operation({id, fingerprint, result, context.now + data.limits.operation_retention});
    return result.status;
}

} // namespace lovagebeam::state
