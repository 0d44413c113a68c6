#pragma once

#include "lovagebeam/state/command.h"
#include "lovagebeam/state/model.h"

#include <cstdint>
#include <optional>
#include <state.pb.h>

namespace lovagebeam::state {

namespace pb = proto::state;

/// The answer of an operator's operation as it is kept for a resend.
struct operation_record {
    base::operation_id id;
    std::uint64_t fingerprint = 0;
    apply_result result;
    base::wall_time expiry;
};

inline std::int64_t to_ms(base::wall_time time)
{
    return time.time_since_epoch().count();
}

inline base::wall_time from_ms(std::int64_t time)
{
    return base::wall_time{milliseconds{time}};
}

pb::KeyRecord to_proto(const team_key& value);
pb::JobRecord to_proto(const job& value);
pb::TaskRecord to_proto(const task& value);
pb::IntentRecord to_proto(const intent& value);
pb::ResultRecord to_proto(const result_record& value);
pb::AuditRecord to_proto(const audit_entry& value);
pb::OperationRecord to_proto(const operation_record& value);
pb::Result to_proto(const apply_result& value);

settings_set from_proto(const pb::Settings& message);
configuration from_proto(const pb::Configuration& message);
member from_proto(const pb::Member& message);
target from_proto(const pb::Target& message);
worker from_proto(const pb::Worker& message);
team_key from_proto(const pb::KeyRecord& message);
audit_entry from_proto(const pb::AuditRecord& message);

/// These return nothing when an enumeration or an error name is unknown.
std::optional<job_kind> from_proto(pb::JobKind kind);
std::optional<work_outcome> from_proto(pb::WorkOutcome outcome);
std::optional<task_outcome> from_proto(pb::TaskOutcome outcome);
std::optional<job_spec> from_proto(const pb::JobSpec& message);
std::optional<job> from_proto(const pb::JobRecord& message);
std::optional<task> from_proto(const pb::TaskRecord& message);
std::optional<intent> from_proto(const pb::IntentRecord& message);
std::optional<result_record> from_proto(const pb::ResultRecord& message);
std::optional<operation_record> from_proto(const pb::OperationRecord& message);
std::optional<apply_result> from_proto(const pb::Result& message);

} // namespace lovagebeam::state
