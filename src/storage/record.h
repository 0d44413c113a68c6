#pragma once

#include "lovagebeam/consensus/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::storage {

// All numbers are little endian. Every record begins at a multiple of 8 bytes:
//
//   offset  size  field
//        0     4  magic
//        4     4  kind
//        8     8  size of the payload
//       16     8  number of bytes of the segment that were durable when the record was written
//       24     8  checksum of the previous record (of the segment header for the first one)
//       32     8  checksum of everything else, seeded with the segment's number and the offset
//       40     -  payload, zeros up to a multiple of 8 (any other padding is corruption)
//
// The checksum of the previous record keeps a stale record from being read after one that overwrote
// its predecessor. The durable size distinguishes a torn tail from corruption: an invalid record
// below the durable size in a later valid record had been durable.

enum class record_kind : std::uint32_t {
    segment_header = 1, ///< payload: number of the segment, the hard state as below
    entry = 2,          ///< payload: index, term, kind (8 bytes each), payload of the entry
    hard_state = 3,     ///< payload: term, group, incarnation of the vote, id of the vote
    truncate = 4,       ///< payload: the first removed index
};

inline constexpr std::size_t record_header_size = 40;

struct record {
    record_kind kind = record_kind::entry;
    std::uint64_t durable_size = 0;
    std::uint64_t previous_checksum = 0;
    std::uint64_t checksum = 0;
    std::string_view payload;
    std::uint64_t size = 0; // of the whole record with padding
};

/// Position of a record, which is part of its checksum.
struct record_position {
    std::uint64_t segment = 0;
    std::uint64_t offset = 0;
};

/// Appends a record to `buffer`, which will be written at `position`, and returns its checksum.
std::uint64_t append_record(std::string& buffer, record_kind kind, std::string_view payload,
                            std::uint64_t durable_size, std::uint64_t previous_checksum,
                            record_position position);

/// Returns the record at the start of `bytes`, or nothing if it is incomplete or corrupt.
std::optional<record> read_record(std::string_view bytes, record_position position);

void append_number(std::string& buffer, std::uint64_t number);

/// Removes a number from the start of `bytes` and returns it; returns 0 if there are too few bytes.
std::uint64_t read_number(std::string_view& bytes);

std::string encode_entry(const consensus::log_entry& entry);
std::optional<consensus::log_entry> decode_entry(std::string_view payload);
std::string encode_hard_state(const consensus::hard_state& state);
std::optional<consensus::hard_state> decode_hard_state(std::string_view payload);

} // namespace lovagebeam::storage
