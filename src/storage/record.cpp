#include "record.h"

#include <xxhash.h>

namespace lovagebeam::storage {
namespace {

constexpr std::uint32_t record_magic = 0x4d52424cU; // "LBRM"
constexpr std::size_t number_size = 8;
constexpr std::size_t checksum_offset = 32;
constexpr std::uint64_t alignment = 8;
constexpr std::uint64_t entry_kind_count = 3;

std::uint64_t padded_size(std::uint64_t size)
{
    return (size + alignment - 1) / alignment * alignment;
}

std::uint64_t magic_and_kind(record_kind kind)
{
    return record_magic | (static_cast<std::uint64_t>(kind) << 32U);
}

/// Returns the checksum of the payload and of the header up to the checksum field.
std::uint64_t checksum_of(std::string_view header, std::string_view payload,
                          record_position position)
{
    const std::uint64_t seed = position.segment * 0x9e3779b97f4a7c15U + position.offset;
    const std::uint64_t body = XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
    return XXH3_64bits_withSeed(header.data(), checksum_offset, body);
}

} // namespace

void append_number(std::string& buffer, std::uint64_t number)
{
    for (std::size_t i = 0; i < number_size; ++i) {
        buffer.push_back(static_cast<char>((number >> (8 * i)) & 0xffU));
    }
}

std::uint64_t read_number(std::string_view& bytes)
{
    if (bytes.size() < number_size) {
        bytes = {};
        return 0;
    }
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < number_size; ++i) {
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(number_size);
    return number;
}

std::uint64_t append_record(std::string& buffer, record_kind kind, std::string_view payload,
                            std::uint64_t durable_size, std::uint64_t previous_checksum,
                            record_position position)
{
    std::string header;
    header.reserve(record_header_size);
    append_number(header, magic_and_kind(kind));
    append_number(header, payload.size());
    append_number(header, durable_size);
    append_number(header, previous_checksum);
    const std::uint64_t checksum = checksum_of(header, payload, position);
    append_number(header, checksum);
    buffer.append(header).append(payload);
    buffer.append(padded_size(payload.size()) - payload.size(), '\0');
    return checksum;
}

std::optional<record> read_record(std::string_view bytes, record_position position)
{
    if (bytes.size() < record_header_size) {
        return std::nullopt;
    }
    std::string_view header = bytes.substr(0, record_header_size);
    const std::uint64_t word = read_number(header);
    const std::uint64_t size = read_number(header);
    const std::uint64_t available = bytes.size() - record_header_size;
    if ((word & 0xffffffffU) != record_magic || size > available || padded_size(size) > available) {
        return std::nullopt;
    }
    record found;
    found.kind = static_cast<record_kind>(word >> 32U);
    found.durable_size = read_number(header);
    found.previous_checksum = read_number(header);
    found.checksum = read_number(header);
    found.payload = bytes.substr(record_header_size, size);
    found.size = record_header_size + padded_size(size);
    const std::string_view padding =
        bytes.substr(record_header_size + size, padded_size(size) - size);
    if (found.checksum != checksum_of(bytes, found.payload, position) ||
        padding.find_first_not_of('\0') != std::string_view::npos) {
        return std::nullopt;
    }
    return found;
}

std::string encode_entry(const consensus::log_entry& entry)
{
    std::string payload;
    payload.reserve(3 * number_size + entry.payload.size());
    append_number(payload, entry.index.value());
    append_number(payload, entry.term.value());
    append_number(payload, static_cast<std::uint64_t>(entry.kind));
    return payload += entry.payload;
}

std::optional<consensus::log_entry> decode_entry(std::string_view payload)
{
    if (payload.size() < 3 * number_size) {
        return std::nullopt;
    }
    consensus::log_entry entry;
    entry.index = consensus::log_index{read_number(payload)};
    entry.term = consensus::term{read_number(payload)};
    const std::uint64_t kind = read_number(payload);
    if (kind >= entry_kind_count || entry.index.value() == 0) {
        return std::nullopt;
    }
    entry.kind = static_cast<consensus::entry_kind>(kind);
    entry.payload = std::string{payload};
    return entry;
}

std::string encode_hard_state(const consensus::hard_state& state)
{
    std::string payload;
    append_number(payload, state.term.value());
    append_number(payload, state.group.value());
    append_number(payload, state.vote.incarnation.value());
    return payload += state.vote.id.str();
}

std::optional<consensus::hard_state> decode_hard_state(std::string_view payload)
{
    if (payload.size() < 3 * number_size) {
        return std::nullopt;
    }
    consensus::hard_state state;
    state.term = consensus::term{read_number(payload)};
    state.group = consensus::group_id{read_number(payload)};
    state.vote.incarnation = consensus::incarnation{read_number(payload)};
    state.vote.id = base::node_id{std::string{payload}};
    return state;
}

} // namespace lovagebeam::storage
