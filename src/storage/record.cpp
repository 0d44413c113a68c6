#include "record.h"

#include <xxhash.h>

namespace lovagebeam::storage {
namespace {

constexpr std::uint32_t record_magic = 0x4d52424cU; // "LBRM"
constexpr std::size_t number_size = 8;
constexpr std::size_t checksum_offset = 32;
constexpr std::uint64_t alignment = 8;
constexpr std::uint64_t entry_kinds = 3;

std::uint64_t padded(std::uint64_t size)
{
    return (size + alignment - 1) / alignment * alignment;
}

std::uint64_t first_word(record_kind kind)
{
    return record_magic | (static_cast<std::uint64_t>(kind) << 32U);
}

/// The checksum covers the head up to the checksum's own field and the payload.
std::uint64_t checksum_of(std::string_view head, std::string_view payload, record_position position)
{
    const std::uint64_t seed = position.segment * 0x9e3779b97f4a7c15U + position.offset;
    const std::uint64_t body = XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
    return XXH3_64bits_withSeed(head.data(), checksum_offset, body);
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
                            std::uint64_t durable_size, std::uint64_t previous,
                            record_position position)
{
    std::string head;
    head.reserve(record_head_size);
    append_number(head, first_word(kind));
    append_number(head, payload.size());
    append_number(head, durable_size);
    append_number(head, previous);
    const std::uint64_t checksum = checksum_of(head, payload, position);
    append_number(head, checksum);
    buffer.append(head).append(payload);
    buffer.append(padded(payload.size()) - payload.size(), '\0');
    return checksum;
}

std::optional<record> read_record(std::string_view bytes, record_position position)
{
    if (bytes.size() < record_head_size) {
        return std::nullopt;
    }
    std::string_view head = bytes.substr(0, record_head_size);
    const std::uint64_t word = read_number(head);
    const std::uint64_t size = read_number(head);
    const std::uint64_t available = bytes.size() - record_head_size;
    if ((word & 0xffffffffU) != record_magic || size > available || padded(size) > available) {
        return std::nullopt;
    }
    record found;
    found.kind = static_cast<record_kind>(word >> 32U);
    found.durable_size = read_number(head);
    found.previous = read_number(head);
    found.checksum = read_number(head);
    found.payload = bytes.substr(record_head_size, size);
    found.size = record_head_size + padded(size);
    const std::string_view padding = bytes.substr(record_head_size + size, padded(size) - size);
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
    if (kind >= entry_kinds || entry.index.value() == 0) {
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
