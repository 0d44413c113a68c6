#include "lovagebeam/consensus/codec.h"

#include "wire.h"

#include <set>

namespace lovagebeam::consensus {

namespace wire {

void to_proto(const member& value, proto::Member& out)
{
    out.set_id(value.id.str());
    out.set_incarnation(value.incarnation.value());
}

void to_proto(const group_config& value, proto::GroupConfig& out)
{
    for (const member& voter : value.voters) {
        to_proto(voter, *out.add_voters());
    }
    for (const member& learner : value.learners) {
        to_proto(learner, *out.add_learners());
    }
}

void to_proto(const log_entry& value, proto::LogEntry& out)
{
    out.set_index(value.index.value());
    out.set_term(value.term.value());
    out.set_kind(static_cast<std::uint32_t>(value.kind));
    out.set_payload(value.payload);
}

void to_proto(const snapshot_meta& value, proto::SnapshotMeta& out)
{
    out.set_index(value.index.value());
    out.set_term(value.term.value());
    to_proto(value.config, *out.mutable_config());
    out.set_size(value.size.value());
    out.set_checksum(value.checksum);
}

member from_proto(const proto::Member& value)
{
    return member{base::node_id{value.id()}, incarnation{value.incarnation()}};
}

std::optional<group_config> from_proto(const proto::GroupConfig& value)
{
    group_config config;
    std::set<std::string> seen;
    for (const auto& voter : value.voters()) {
        if (voter.id().empty() || !seen.insert(voter.id()).second) {
            return std::nullopt;
        }
        config.voters.push_back(from_proto(voter));
    }
    for (const auto& learner : value.learners()) {
        if (learner.id().empty() || !seen.insert(learner.id()).second) {
            return std::nullopt;
        }
        config.learners.push_back(from_proto(learner));
    }
    return config;
}

std::optional<log_entry> from_proto(const proto::LogEntry& value)
{
    if (value.kind() > static_cast<std::uint32_t>(entry_kind::membership)) {
        return std::nullopt;
    }
    const auto kind = static_cast<entry_kind>(value.kind());
    if (kind == entry_kind::membership && !decode_config(value.payload())) {
        return std::nullopt;
    }
    return log_entry{log_index{value.index()}, term{value.term()}, kind, value.payload()};
}

std::optional<snapshot_meta> from_proto(const proto::SnapshotMeta& value)
{
    auto config = from_proto(value.config());
    if (!config || value.size() < 0) {
        return std::nullopt;
    }
    return snapshot_meta{log_index{value.index()}, term{value.term()}, std::move(*config),
                         base::bytes{value.size()}, value.checksum()};
}

} // namespace wire

std::string encode_config(const group_config& config)
{
    proto::GroupConfig out;
    wire::to_proto(config, out);
    return out.SerializeAsString();
}

std::optional<group_config> decode_config(std::string_view payload)
{
    proto::GroupConfig in;
    if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return std::nullopt;
    }
    return wire::from_proto(in);
}

std::string encode_snapshot_meta(const snapshot_meta& meta)
{
    proto::SnapshotMeta out;
    wire::to_proto(meta, out);
    return out.SerializeAsString();
}

std::optional<snapshot_meta> decode_snapshot_meta(std::string_view bytes)
{
    proto::SnapshotMeta in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return wire::from_proto(in);
}

} // namespace lovagebeam::consensus
