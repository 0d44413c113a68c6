// Conversion of configuration, keys, membership, targets, workers and the audit trail.
#include "convert.h"

namespace lovagebeam::state {

pb::Settings to_proto(const settings_set& set)
{
    pb::Settings message;
    const auto copy = [&message](const auto& field, auto setter) {
        if (field) {
            (message.*setter)(*field);
        }
    };
    copy(set.share, &pb::Settings::set_share);
    copy(set.upper_limit_slots, &pb::Settings::set_upper_limit_slots);
    copy(set.upper_limit_accelerators, &pb::Settings::set_upper_limit_accelerators);
    copy(set.queue_limit, &pb::Settings::set_queue_limit);
    copy(set.open, &pb::Settings::set_open);
    copy(set.draining, &pb::Settings::set_draining);
    if (set.upper_limit_millicores) {
        message.set_upper_limit_millicores(set.upper_limit_millicores->value());
    }
    if (set.upper_limit_memory) {
        message.set_upper_limit_memory_bytes(set.upper_limit_memory->value());
    }
    if (set.max_deadline) {
        message.set_max_deadline_ms(set.max_deadline->count());
    }
    if (set.result_retention) {
        message.set_result_retention_ms(set.result_retention->count());
    }
    return message;
}

settings_set from_proto(const pb::Settings& message)
{
    settings_set set;
    const auto copy = [](bool present, auto& field, auto value) {
        if (present) {
            field.emplace(value);
        }
    };
    copy(message.has_share(), set.share, message.share());
    copy(message.has_upper_limit_slots(), set.upper_limit_slots, message.upper_limit_slots());
    copy(message.has_upper_limit_millicores(), set.upper_limit_millicores,
         message.upper_limit_millicores());
    copy(message.has_upper_limit_memory_bytes(), set.upper_limit_memory,
         message.upper_limit_memory_bytes());
    copy(message.has_upper_limit_accelerators(), set.upper_limit_accelerators,
         message.upper_limit_accelerators());
    copy(message.has_queue_limit(), set.queue_limit, message.queue_limit());
    copy(message.has_max_deadline_ms(), set.max_deadline, message.max_deadline_ms());
    copy(message.has_result_retention_ms(), set.result_retention, message.result_retention_ms());
    copy(message.has_open(), set.open, message.open());
    copy(message.has_draining(), set.draining, message.draining());
    return set;
}

pb::Configuration to_proto(const configuration& document)
{
    pb::Configuration message;
    *message.mutable_defaults() = to_proto(document.defaults);
    for (const config_exception& exception : document.exceptions) {
        pb::ConfigException& added = *message.add_exceptions();
        added.set_scope(exception.scope);
        *added.mutable_set() = to_proto(exception.set);
        added.set_reason(exception.reason);
    }
    return message;
}

configuration from_proto(const pb::Configuration& message)
{
    configuration document;
    document.defaults = from_proto(message.defaults());
    document.exceptions.reserve(static_cast<std::size_t>(message.exceptions_size()));
    for (const pb::ConfigException& exception : message.exceptions()) {
        document.exceptions.push_back(
            {exception.scope(), from_proto(exception.set()), exception.reason()});
    }
    return document;
}

pb::Member to_proto(const member& value)
{
    pb::Member message;
    message.set_node(value.node.str());
    message.set_address(value.address);
    message.set_failure_domain(value.domain.str());
    message.set_voter(value.voter);
    message.set_incarnation(value.incarnation);
    return message;
}

member from_proto(const pb::Member& message)
{
    return {base::node_id{message.node()}, message.address(),
            base::failure_domain{message.failure_domain()}, message.voter(), message.incarnation()};
}

pb::Target to_proto(const target& value)
{
    pb::Target message;
    message.set_target(value.id.str());
    message.set_address(value.address);
    message.set_port(value.port);
    message.set_failure_domain(value.domain.str());
    message.set_rack(value.rack);
    message.set_slots(value.slots);
    message.set_connections(value.connections);
    message.set_leaving(value.leaving);
    return message;
}

target from_proto(const pb::Target& message)
{
    target value;
    value.id = base::target_id{message.target()};
    value.address = message.address();
    value.port = static_cast<std::uint16_t>(message.port());
    value.domain = base::failure_domain{message.failure_domain()};
    value.rack = message.rack();
    value.slots = message.slots();
    value.connections = message.connections();
    value.leaving = message.leaving();
    return value;
}

pb::Worker to_proto(const worker& value)
{
    pb::Worker message;
    message.set_worker(value.id.str());
    message.set_address(value.address);
    message.set_port(value.port);
    message.set_failure_domain(value.domain.str());
    message.set_rack(value.rack);
    message.set_millicores(value.cores.value());
    message.set_memory_bytes(value.memory.value());
    message.set_accelerators(value.accelerators);
    message.set_leaving(value.leaving);
    return message;
}

worker from_proto(const pb::Worker& message)
{
    worker value;
    value.id = base::worker_id{message.worker()};
    value.address = message.address();
    value.port = static_cast<std::uint16_t>(message.port());
    value.domain = base::failure_domain{message.failure_domain()};
    value.rack = message.rack();
    value.cores = base::millicores{message.millicores()};
    value.memory = base::bytes{message.memory_bytes()};
    value.accelerators = message.accelerators();
    value.leaving = message.leaving();
    return value;
}

pb::KeyRecord to_proto(const team_key& value)
{
    pb::KeyRecord message;
    message.set_key_id(value.id.str());
    message.set_team(value.team.str());
    message.set_salt(value.salt);
    message.set_hash(value.hash);
    message.set_given_by(value.given_by);
    message.set_given_ms(to_ms(value.given));
    return message;
}

team_key from_proto(const pb::KeyRecord& message)
{
    return {base::key_id{message.key_id()},
            base::team_id{message.team()},
            message.salt(),
            message.hash(),
            message.given_by(),
            from_ms(message.given_ms())};
}

pb::AuditRecord to_proto(const audit_entry& value)
{
    pb::AuditRecord message;
    message.set_sequence(value.sequence);
    message.set_who(value.who);
    message.set_when_ms(to_ms(value.when));
    message.set_what(value.what);
    message.set_why(value.why);
    message.set_version_before(value.before.value());
    message.set_version_after(value.after.value());
    message.set_operation_id(value.operation.str());
    return message;
}

audit_entry from_proto(const pb::AuditRecord& message)
{
    audit_entry value;
    value.sequence = message.sequence();
    value.who = message.who();
    value.when = from_ms(message.when_ms());
    value.what = message.what();
    value.why = message.why();
    value.before = base::config_version{message.version_before()};
    value.after = base::config_version{message.version_after()};
    value.operation = base::operation_id{message.operation_id()};
    return value;
}

} // namespace lovagebeam::state
