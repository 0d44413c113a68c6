#include "snapshot.h"

#include "checks.h"
#include "handlers.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>
#include <xxhash.h>

#include <cstring>

namespace lovagebeam::state {
namespace {

using base::error_code;
using base::make_error;

// Frame: 8 bytes magic, 8 bytes length of the payload (little endian), the payload, 16 bytes
// XXH3-128 of everything before.
constexpr std::string_view magic = "LBSTATE1";
constexpr std::size_t length_size = 8;
constexpr std::size_t checksum_size = 16;
constexpr std::size_t header_size = magic.size() + length_size;
constexpr std::uint32_t snapshot_format = 1;

absl::Status corrupt_error(const std::string& what)
{
    return make_error(error_code::snapshot_corrupt, "snapshot: " + what);
}

std::string length_bytes(std::uint64_t length)
{
    std::string bytes(length_size, '\0');
    for (std::size_t i = 0; i < length_size; ++i) {
        bytes[i] = static_cast<char>((length >> (8 * i)) & 0xffU);
    }
    return bytes;
}

std::string checksum_of(std::string_view bytes)
{
    XXH128_canonical_t canonical;
    XXH128_canonicalFromHash(&canonical, XXH3_128bits(bytes.data(), bytes.size()));
    std::string result(checksum_size, '\0');
    std::memcpy(result.data(), canonical.digest, checksum_size);
    return result;
}

absl::StatusOr<std::string_view> extract_payload(std::string_view bytes)
{
    if (bytes.size() < header_size + checksum_size) {
        return corrupt_error("only " + std::to_string(bytes.size()) + " bytes");
    }
    const std::string_view checked = bytes.substr(0, bytes.size() - checksum_size);
    if (checksum_of(checked) != bytes.substr(checked.size())) {
        return corrupt_error("wrong checksum");
    }
    const std::string_view payload = checked.substr(header_size);
    if (!checked.starts_with(magic) ||
        checked.substr(magic.size(), length_size) != length_bytes(payload.size())) {
        return corrupt_error("wrong magic or length");
    }
    return payload;
}

/// Writes the records as the repeated field `field` of the message Snapshot. One record at a time
/// is faster than building the whole message, which holds every record a second time.
template <class Map>
void write_all(const Map& map, int field, google::protobuf::io::CodedOutputStream& out)
{
    using google::protobuf::internal::WireFormatLite;
    const std::uint32_t tag =
        WireFormatLite::MakeTag(field, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    for (const auto& [key, slot] : map.slots()) {
        const auto message = to_proto(slot.value);
        out.WriteTag(tag);
        out.WriteVarint32(static_cast<std::uint32_t>(message.ByteSizeLong()));
        message.SerializeWithCachedSizes(&out);
    }
}

/// Reads every record of `messages` and hands it to `put`; false when one isn't valid.
template <class Messages, class Put>
bool read_all(const Messages& messages, Put put)
{
    for (const auto& message : messages) {
        auto value = from_proto(message);
        if constexpr (requires { value.has_value(); }) {
            if (!value || !put(std::move(*value))) {
                return false;
            }
        }
        else if (!put(std::move(value))) {
            return false;
        }
    }
    return true;
}

bool read_jobs(cell_data& data, const pb::Snapshot& message)
{
    return read_all(message.jobs(),
                    [&data](job value) {
                        if (!check_spec(value.spec, data.limits).ok()) {
                            return false;
                        }
                        data.put_job(std::move(value));
                        return true;
                    }) &&
           read_all(message.tasks(), [&data](task value) {
               if (data.jobs.find(value.job) == nullptr) {
                   return false;
               }
               data.put_task(std::move(value));
               return true;
           });
}

/// Wraps a put function for records that need no check.
template <class Value>
auto put_unchecked(cell_data& data, void (cell_data::*put)(Value))
{
    return [&data, put](Value value) {
        (data.*put)(std::move(value));
        return true;
    };
}

bool read_records(cell_data& data, const pb::Snapshot& message)
{
    const auto put_target = [&data](target value) {
        const base::target_id id = value.id;
        data.targets.put(id, std::move(value));
        return true;
    };
    const auto put_worker = [&data](worker value) {
        const base::worker_id id = value.id;
        data.workers.put(id, std::move(value));
        return true;
    };
    return read_all(message.keys(), put_unchecked(data, &cell_data::put_key)) &&
           read_all(message.operations(), put_unchecked(data, &cell_data::put_operation)) &&
           read_all(message.audit(), put_unchecked(data, &cell_data::put_audit)) &&
           read_all(message.targets(), put_target) && read_all(message.workers(), put_worker) &&
           read_jobs(data, message) &&
           read_all(message.intents(), put_unchecked(data, &cell_data::put_intent)) &&
           read_all(message.results(), put_unchecked(data, &cell_data::put_result));
}

void write_header(const cell_data& data, pb::Snapshot& message)
{
    message.set_format(snapshot_format);
    message.set_index(data.index);
    message.set_time_ms(to_ms(data.time));
    message.set_digest(data.digest());
    *message.mutable_configuration() = to_proto(data.config);
    message.set_version(data.version.value());
    message.set_epoch(data.epoch.value());
    for (const member& one : data.members) {
        *message.add_members() = to_proto(one);
    }
    message.set_next_audit(data.next_audit);
    message.set_job_ledger(data.job_ledger.encode());
}

void read_header(cell_data& data, const pb::Snapshot& message)
{
    data.index = message.index();
    data.time = from_ms(message.time_ms());
    data.set_config(from_proto(message.configuration()));
    data.version = base::config_version{message.version()};
    data.epoch = base::epoch{message.epoch()};
    std::vector<member> members;
    for (const pb::Member& one : message.members()) {
        members.push_back(from_proto(one));
    }
    data.set_members(std::move(members));
    data.next_audit = message.next_audit();
}

} // namespace

std::string frame_snapshot(std::string_view payload)
{
    std::string bytes;
    bytes.reserve(header_size + payload.size() + checksum_size);
    bytes.append(magic).append(length_bytes(payload.size())).append(payload);
    return bytes += checksum_of(bytes);
}

std::string encode_data(const cell_data& data)
{
    pb::Snapshot header;
    write_header(data, header);
    std::string payload = header.SerializeAsString();
    {
        google::protobuf::io::StringOutputStream stream{&payload};
        google::protobuf::io::CodedOutputStream out{&stream};
        write_all(data.keys, pb::Snapshot::kKeysFieldNumber, out);
        write_all(data.operations, pb::Snapshot::kOperationsFieldNumber, out);
        write_all(data.audit, pb::Snapshot::kAuditFieldNumber, out);
        write_all(data.targets, pb::Snapshot::kTargetsFieldNumber, out);
        write_all(data.workers, pb::Snapshot::kWorkersFieldNumber, out);
        write_all(data.jobs, pb::Snapshot::kJobsFieldNumber, out);
        write_all(data.tasks, pb::Snapshot::kTasksFieldNumber, out);
        write_all(data.intents, pb::Snapshot::kIntentsFieldNumber, out);
        write_all(data.results, pb::Snapshot::kResultsFieldNumber, out);
    }
    return frame_snapshot(payload);
}

absl::StatusOr<std::unique_ptr<cell_data>> decode_data(std::string_view bytes,
                                                       const state_limits& limits)
{
    const auto payload = extract_payload(bytes);
    if (!payload.ok()) {
        return payload.status();
    }
    pb::Snapshot message;
    if (payload->size() > INT32_MAX ||
        !message.ParseFromArray(payload->data(), static_cast<int>(payload->size()))) {
        return corrupt_error("not a message");
    }
    if (message.format() != snapshot_format) {
        return corrupt_error("unknown format " + std::to_string(message.format()));
    }
    auto data = std::make_unique<cell_data>(limits);
    read_header(*data, message);
    if (!read_records(*data, message)) {
        return corrupt_error("a record is not valid");
    }
    if (auto status = data->job_ledger.decode(message.job_ledger()); !status.ok()) {
        return status;
    }
    if (data->digest() != message.digest()) {
        return corrupt_error("the content does not give the stored digest");
    }
    return data;
}

} // namespace lovagebeam::state
