// Membership, targets and workers.
#include "checks.h"
#include "handlers.h"

#include <algorithm>
#include <array>
#include <set>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

constexpr int max_members = 1000;
constexpr std::uint32_t max_port = 65'535;

std::string_view name_of(pb::MembershipReason reason)
{
    switch (reason) {
    case pb::MEMBERSHIP_REASON_JOIN:
        return "join";
    case pb::MEMBERSHIP_REASON_SILENT:
        return "silent member";
    case pb::MEMBERSHIP_REASON_PLANNED_LEAVE:
        return "planned leave";
    default:
        return "";
    }
}

absl::Status check_members(const pb::InstallEpoch& message)
{
    if (message.members_size() == 0 || message.members_size() > max_members) {
        return make_error(error_code::invalid_request, "an epoch has 1 to 1000 members, not " +
                                                           std::to_string(message.members_size()));
    }
    if (name_of(message.reason()).empty()) {
        return make_error(error_code::invalid_request, "an epoch needs a known reason");
    }
    std::set<std::string_view> seen;
    for (const pb::Member& one : message.members()) {
        auto status =
            first_error(check_id("node", one.node()), check_text("address", one.address()),
                        check_optional_id("failure_domain", one.failure_domain()));
        if (!status.ok()) {
            return status;
        }
        if (!seen.insert(one.node()).second) {
            return make_error(error_code::invalid_request, "member " + one.node() + " is twice");
        }
    }
    return check_id("proposer", message.proposer());
}

template <class Message>
absl::Status check_location(const Message& message)
{
    auto status = first_error(check_text("address", message.address()),
                              check_optional_id("failure_domain", message.failure_domain()),
                              check_optional_id("rack", message.rack()));
    if (status.ok() && (message.port() == 0 || message.port() > max_port)) {
        status = make_error(error_code::invalid_request,
                            "port " + std::to_string(message.port()) + " is out of range");
    }
    return status;
}

template <class Map, class Value>
void put_if_changed(Map& map, Value value, apply_result& result)
{
    const Value* const old = map.find(value.id);
    if (old != nullptr && *old == value) {
        return;
    }
    const auto id = value.id;
    map.put(id, std::move(value));
    result.changed = true;
}

std::string describe_members(const std::vector<member>& members)
{
    constexpr std::size_t longest = 1000;
    std::string text;
    for (const member& one : members) {
        if (text.size() + one.node.str().size() > longest) {
            return text + " ...";
        }
        text += " " + one.node.str();
    }
    return text;
}

} // namespace

absl::Status apply(cell_data& data, const pb::InstallEpoch& message, apply_context& context)
{
    if (auto status = check_members(message); !status.ok()) {
        return status;
    }
    if (message.expected_epoch() != data.epoch.value()) {
        return make_error(error_code::stale_epoch,
                          "expected epoch " + std::to_string(message.expected_epoch()) +
                              ", present epoch " + std::to_string(data.epoch.value()));
    }
    std::vector<member> members;
    members.reserve(static_cast<std::size_t>(message.members_size()));
    for (const pb::Member& one : message.members()) {
        members.push_back(from_proto(one));
    }
    std::ranges::sort(members, {}, &member::node);
    data.set_members(std::move(members));
    data.epoch = data.epoch.next();
    audit_entry entry;
    entry.sequence = data.next_audit++;
    entry.who = message.proposer();
    entry.when = context.now;
    entry.what =
        "epoch " + std::to_string(data.epoch.value()) + ":" + describe_members(data.members);
    entry.why = name_of(message.reason());
    entry.before = data.version;
    entry.after = data.version;
    data.put_audit(std::move(entry));
    context.result.changed = true;
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::PutTarget& message, apply_context& context)
{
    const pb::Target& body = message.target();
    if (auto status = first_error(check_id("target", body.target()), check_location(body),
                                  check_amount("slots", body.slots(), 0),
                                  check_amount("connections", body.connections(), 0));
        !status.ok()) {
        return status;
    }
    put_if_changed(data.targets, from_proto(body), context.result);
    return absl::OkStatus();
}

absl::Status apply(cell_data& data, const pb::RemoveTarget& message, apply_context& context)
{
    context.result.changed = data.targets.erase(base::target_id{message.target()});
    return context.result.changed ? absl::OkStatus()
                                  : make_error(error_code::not_found, "there is no such target");
}

absl::Status apply(cell_data& data, const pb::PutWorker& message, apply_context& context)
{
    const pb::Worker& body = message.worker();
    if (auto status = first_error(check_id("worker", body.worker()), check_location(body),
                                  check_amount("millicores", body.millicores(), 0),
                                  check_amount("memory_bytes", body.memory_bytes(), 0),
                                  check_amount("accelerators", body.accelerators(), 0));
        !status.ok()) {
        return status;
    }
    put_if_changed(data.workers, from_proto(body), context.result);
    return absl::OkStatus();
}

// A worker keeps its record until its placements have ended or their leases have expired, since
// its capacity is in use until then.
absl::Status apply(cell_data& data, const pb::RemoveWorker& message, apply_context& context)
{
    const base::worker_id id{message.worker()};
    const auto entry = data.placements_by_worker.find(id);
    if (entry != data.placements_by_worker.end()) {
        return make_error(error_code::in_use, "worker " + id.str() + " holds " +
                                                  std::to_string(entry->second.tasks.size()) +
                                                  " placements");
    }
    context.result.changed = data.workers.erase(id);
    return context.result.changed ? absl::OkStatus()
                                  : make_error(error_code::not_found, "there is no such worker");
}

} // namespace lovagebeam::state
