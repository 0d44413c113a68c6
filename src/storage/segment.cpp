#include "segment.h"

#include "files.h"

namespace lovagebeam::storage {
namespace {

using base::error_code;
using base::make_error;

constexpr std::uint64_t record_alignment = 8;

/// Returns whether a valid record after `offset` shows that the bytes at `offset` were durable.
bool is_known_durable(std::string_view bytes, std::uint64_t number, std::uint64_t offset)
{
    std::uint64_t at = offset + record_alignment;
    while (at + record_header_size <= bytes.size()) {
        const auto found = read_record(bytes.substr(at), {number, at});
        if (found && found->durable_size > offset) {
            return true;
        }
        at += found ? found->size : record_alignment;
    }
    return false;
}

/// Reads the header, which contains a copy of the hard state so that older segments can be removed.
/// It is a single record, so that a partly written header isn't read as one without a hard state.
bool read_header(const record& first, std::uint64_t number, log_image& image)
{
    std::string_view payload = first.payload;
    if (first.kind != record_kind::segment_header || read_number(payload) != number) {
        return false;
    }
    auto state = decode_hard_state(payload);
    if (!state) {
        return false;
    }
    image.hard_state = *std::move(state);
    return true;
}

} // namespace

absl::Status log_image::apply(const record& next)
{
    if (next.kind == record_kind::entry) {
        auto entry = decode_entry(next.payload);
        if (!entry) {
            return make_error(error_code::log_corrupt, "malformed entry");
        }
        if (!entries.empty() && entry->index != entries.back().index.next()) {
            return make_error(error_code::log_corrupt,
                              "entry " + std::to_string(entry->index.value()) + " after " +
                                  std::to_string(entries.back().index.value()));
        }
        highest_index = std::max(highest_index, entry->index.value());
        entries.push_back(*std::move(entry));
        return absl::OkStatus();
    }
    if (next.kind == record_kind::hard_state) {
        auto state = decode_hard_state(next.payload);
        if (!state) {
            return make_error(error_code::log_corrupt, "malformed hard state");
        }
        hard_state = *std::move(state);
        return absl::OkStatus();
    }
    if (next.kind == record_kind::truncate && next.payload.size() == 8) {
        std::string_view payload = next.payload;
        const consensus::log_index from{read_number(payload)};
        while (!entries.empty() && entries.back().index >= from) {
            entries.pop_back();
        }
        return absl::OkStatus();
    }
    return make_error(error_code::log_corrupt, "unknown or malformed record");
}

bool log_image::reconcile_with(const consensus::snapshot_meta& snapshot)
{
    if (entries.empty() || snapshot.index.value() == 0 || entries.front().index > snapshot.index) {
        return false;
    }
    const std::uint64_t covered = snapshot.index.value() - entries.front().index.value();
    if (covered < entries.size() && entries[covered].term == snapshot.term) {
        return false;
    }
    entries.clear();
    return true;
}

absl::StatusOr<segment_scan> scan_segment(const std::string& path, std::uint64_t number,
                                          std::string_view bytes, bool is_last, log_image& image)
{
    segment_scan scan;
    while (scan.size < bytes.size() || scan.size == 0) {
        const auto next = read_record(bytes.substr(scan.size), {number, scan.size});
        const bool is_valid = next && next->previous_checksum == scan.checksum &&
                              (scan.size > 0 || read_header(*next, number, image));
        if (!is_valid) {
            if (!is_last || is_known_durable(bytes, number, scan.size)) {
                return file_error(error_code::log_corrupt, path, scan.size,
                                  "corrupt record in the durable part of the log");
            }
            return scan;
        }
        if (scan.size > 0) {
            if (auto status = image.apply(*next); !status.ok()) {
                return file_error(error_code::log_corrupt, path, scan.size,
                                  std::string{status.message()});
            }
        }
        scan.size += next->size;
        scan.checksum = next->checksum;
    }
    return scan;
}

} // namespace lovagebeam::storage
