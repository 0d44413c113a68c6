// Intents of work that may not be repeated, identities of results, expiry.
#include "checks.h"
#include "handlers.h"

#include <algorithm>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

constexpr std::size_t max_hash_bytes = 64;

template <class Message>
absl::Status check_request(const Message& message)
{
    return first_error(check_id("team", message.team()),
                       check_id("idempotency_key", message.idempotency_key()),
                       check_id("attempt", message.attempt()));
}

template <class Message>
request_key key_of(const Message& message)
{
    return {base::team_id{message.team()}, base::idempotency_key{message.idempotency_key()}};
}

template <class Record>
absl::Status already_recorded_error(const Record& record, apply_context& context)
{
    context.result.attempt = record.attempt;
    context.result.outcome = record.outcome;
    return make_error(error_code::already_exists, "attempt " + record.attempt.str() +
                                                      " is on record with outcome " +
                                                      std::string{name_of(record.outcome)});
}

/// P7: another attempt is allowed only when the earlier one is known not to have run.
template <class Record>
bool blocks_attempt(const Record* record, const base::attempt_id& attempt)
{
    return record != nullptr &&
           (record->outcome != work_outcome::not_run || record->attempt == attempt);
}

absl::Status check_result(const pb::RecordResult& message)
{
    if (auto status = first_error(check_request(message),
                                  check_amount("retention", message.retention_ms(), 0));
        !status.ok()) {
        return status;
    }
    if (message.answer_hash().size() > max_hash_bytes) {
        return make_error(error_code::invalid_request, "the hash is longer than 64 bytes");
    }
    return absl::OkStatus();
}

template <class Message>
absl::StatusOr<work_outcome> outcome_of(const Message& message)
{
    const auto outcome = from_proto(message.outcome());
    if (!outcome || *outcome == work_outcome::none) {
        return make_error(error_code::invalid_request, "unknown outcome");
    }
    return *outcome;
}

} // namespace

absl::Status apply(cell_data& data, const pb::CommitIntent& message, apply_context& context)
{
    if (auto status = first_error(check_request(message), check_id("target", message.target()),
                                  check_optional_id("work_key", message.work_key()));
        !status.ok()) {
        return status;
    }
    // The former owner of a team must not commit an intent once the team has moved.
    if (message.epoch() != data.epoch.value()) {
        return make_error(error_code::stale_epoch, "epoch " + std::to_string(message.epoch()) +
                                                       ", present epoch " +
                                                       std::to_string(data.epoch.value()));
    }
    const request_key key = key_of(message);
    const base::attempt_id attempt{message.attempt()};
    const intent* const known = data.intents.find(key);
    if (known != nullptr && known->outcome == work_outcome::none && known->attempt == attempt) {
        context.result.attempt = attempt;
        return absl::OkStatus();
    }
    if (blocks_attempt(known, attempt)) {
        return already_recorded_error(*known, context);
    }
    const result_record* const result = data.results.find(key);
    if (blocks_attempt(result, attempt)) {
        return already_recorded_error(*result, context);
    }
    data.put_intent({key.first, key.second, attempt, base::target_id{message.target()}, data.epoch,
                     work_outcome::none, context.now, std::nullopt,
                     base::work_key{message.work_key()}});
    context.result.attempt = attempt;
    context.result.changed = true;
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::ResolveIntent& message, apply_context& context)
{
    const auto outcome = outcome_of(message);
    if (auto status = first_error(check_request(message), outcome.status()); !status.ok()) {
        return status;
    }
    const request_key key = key_of(message);
    const intent* const known = data.intents.find(key);
    if (known == nullptr || known->attempt.str() != message.attempt()) {
        if (known != nullptr) {
            context.result.attempt = known->attempt;
            context.result.outcome = known->outcome;
        }
        return make_error(error_code::not_found, "there is no intent for the attempt");
    }
    const bool is_late_answer =
        known->outcome == work_outcome::unknown && *outcome == work_outcome::completed;
    if (known->outcome != work_outcome::none && known->outcome != *outcome && !is_late_answer) {
        return already_recorded_error(*known, context);
    }
    if (known->outcome != *outcome) {
        intent value = *known;
        value.outcome = *outcome;
        value.expiry = context.now + data.settings_for_team(value.team).result_retention;
        data.put_intent(std::move(value));
        context.result.changed = true;
    }
    context.result.attempt = base::attempt_id{message.attempt()};
    context.result.outcome = *outcome;
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::RecordResult& message, apply_context& context)
{
    const auto outcome = outcome_of(message);
    if (auto status = first_error(check_result(message), outcome.status()); !status.ok()) {
        return status;
    }
    const request_key key = key_of(message);
    result_record value;
    value.team = key.first;
    value.key = key.second;
    value.attempt = base::attempt_id{message.attempt()};
    value.outcome = *outcome;
    value.answer_hash = message.answer_hash();
    const milliseconds retention{message.retention_ms()};
    value.expiry =
        context.now +
        (retention.count() > 0 ? retention : data.settings_for_team(value.team).result_retention);
    const result_record* const known = data.results.find(key);
    const bool is_late_answer = known != nullptr && known->outcome == work_outcome::unknown &&
                                known->attempt == value.attempt &&
                                value.outcome == work_outcome::completed;
    const bool is_repeat = known != nullptr && known->attempt == value.attempt &&
                           known->outcome == value.outcome &&
                           known->answer_hash == value.answer_hash;
    if (!is_repeat && !is_late_answer && blocks_attempt(known, value.attempt)) {
        return already_recorded_error(*known, context);
    }
    context.result.attempt = value.attempt;
    context.result.outcome = value.outcome;
    if (!is_repeat) {
        data.put_result(std::move(value));
        context.result.changed = true;
    }
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::ExpireEntries& message, apply_context& context)
{
    const std::uint32_t limit = message.limit() == 0
                                    ? data.limits.default_expire_count
                                    : std::min(message.limit(), data.limits.max_expire_count);
    const auto is_due = [&] {
        return !data.expiry_index.empty() && data.expiry_index.begin()->expiry <= context.now;
    };
    while (context.result.expired < limit && is_due()) {
        context.result.expired += data.erase_expired(expiry_entry{*data.expiry_index.begin()});
    }
    context.result.more = is_due();
    context.result.changed = context.result.expired > 0;
    return absl::OkStatus();
}

} // namespace lovagebeam::state
