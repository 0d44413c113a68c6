// Recovery of the store when its folder is opened.
#include "files.h"
#include "log_store_impl.h"
#include "snapshot_file.h"

#include <xxhash.h>

namespace lovagebeam::storage {
namespace {

using base::error_code;

constexpr const char* identity_name = "identity";
constexpr std::uint64_t identity_magic = 0x3130444942444c4cU;
constexpr std::size_t identity_size = 24;

std::string encode_identity(consensus::incarnation incarnation)
{
    std::string bytes;
    append_number(bytes, identity_magic);
    append_number(bytes, incarnation.value());
    append_number(bytes, XXH3_64bits(bytes.data(), bytes.size()));
    return bytes;
}

std::vector<std::uint64_t> parse_numbered_names(const std::vector<std::string>& names,
                                                std::string_view prefix)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string& name : names) {
        if (const auto number = parse_numbered_name(prefix, name)) {
            numbers.push_back(*number);
        }
    }
    return numbers;
}

} // namespace

absl::StatusOr<recovery_result> log_store_impl::recover()
{
    if (auto status = m_files.create_folder(m_folder); !status.ok()) {
        return status;
    }
    auto lock = m_files.lock_folder(m_folder);
    if (!lock.ok()) {
        return lock.status();
    }
    m_lock = *std::move(lock);
    const auto names = m_files.list(m_folder);
    if (!names.ok()) {
        return names.status();
    }
    for (const std::string& name : *names) {
        if (name.ends_with(temporary_suffix)) {
            if (auto status = m_files.remove(path_of(name)); !status.ok()) {
                return status;
            }
        }
    }
    recovery_result found;
    log_image image;
    absl::Status status = load_identity(*names, found);
    if (status.ok()) {
        status = load_snapshot(*names);
    }
    if (status.ok()) {
        status = load_segments(*names, image, found.truncated_bytes);
    }
    if (status.ok()) {
        status = finish_recovery(image);
    }
    if (!status.ok()) {
        return status;
    }
    found.hard_state = image.hard_state;
    found.entries = std::move(image.entries);
    found.snapshot = m_snapshot;
    return found;
}

// A folder with a log but without an identity has lost files. With a new identity, the log would
// count for a member that never wrote it.
absl::Status log_store_impl::load_identity(const std::vector<std::string>& names,
                                           recovery_result& found)
{
    const std::string path = path_of(identity_name);
    const auto bytes = read_all(m_files, path);
    if (bytes.ok()) {
        std::string_view rest = *bytes;
        const std::uint64_t magic = read_number(rest);
        found.incarnation = consensus::incarnation{read_number(rest)};
        if (bytes->size() != identity_size || magic != identity_magic ||
            *bytes != encode_identity(found.incarnation)) {
            return file_error(error_code::log_corrupt, path, 0, "the identity is corrupt");
        }
        return absl::OkStatus();
    }
    if (!base::has_code(bytes.status(), error_code::not_found)) {
        return bytes.status();
    }
    if (!parse_numbered_names(names, segment_prefix).empty() ||
        !parse_numbered_names(names, snapshot_prefix).empty()) {
        return file_error(error_code::log_corrupt, path, 0, "the identity of the log is missing");
    }
    if (m_options.fresh_incarnation.value() == 0) {
        return base::make_error(error_code::invalid_settings,
                                "the incarnation of a new store must not be 0");
    }
    found.incarnation = m_options.fresh_incarnation;
    found.is_new = true;
    return replace_file(m_files, m_folder, identity_name, encode_identity(found.incarnation));
}

absl::Status log_store_impl::load_snapshot(const std::vector<std::string>& names)
{
    const std::vector<std::uint64_t> indices = parse_numbered_names(names, snapshot_prefix);
    if (indices.empty()) {
        return absl::OkStatus();
    }
    const std::string path = path_of(numbered_name(snapshot_prefix, indices.back()));
    auto header = check_snapshot_file(m_files, path);
    if (!header.ok()) {
        return header.status();
    }
    if (header->meta.index.value() != indices.back()) {
        return file_error(error_code::snapshot_corrupt, path, 0,
                          "the index doesn't match the file name");
    }
    m_snapshot = std::move(header->meta);
    for (std::size_t i = 0; i + 1 < indices.size(); ++i) {
        const std::string old = path_of(numbered_name(snapshot_prefix, indices[i]));
        if (auto status = m_files.remove(old); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status log_store_impl::load_segments(const std::vector<std::string>& names, log_image& image,
                                           std::uint64_t& truncated_bytes)
{
    const std::vector<std::uint64_t> numbers = parse_numbered_names(names, segment_prefix);
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const std::uint64_t expected = numbers.front() + i;
        if (numbers[i] != expected) {
            return file_error(error_code::log_corrupt, segment_path(expected), 0,
                              "the segment is missing");
        }
        const bool is_last = i + 1 == numbers.size();
        if (auto status = load_segment(numbers[i], is_last, image, truncated_bytes); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status log_store_impl::load_segment(std::uint64_t number, bool is_last, log_image& image,
                                          std::uint64_t& truncated_bytes)
{
    const std::string path = segment_path(number);
    const auto bytes = read_all(m_files, path);
    if (!bytes.ok()) {
        return bytes.status();
    }
    image.highest_index = 0;
    const auto scan = scan_segment(path, number, *bytes, is_last, image);
    if (!scan.ok()) {
        return scan.status();
    }
    truncated_bytes += bytes->size() - scan->size;
    if (scan->size == 0) {
        // The process ended while it created the segment. All previous records are in older
        // segments.
        return remove_segment_file(number);
    }
    m_segments.push_back({number, image.highest_index});
    return is_last ? open_last_segment(*scan, bytes->size()) : absl::OkStatus();
}

absl::Status log_store_impl::open_last_segment(const segment_scan& scan, std::uint64_t file_size)
{
    auto tail = m_files.open(segment_path(m_segments.back().number), open_mode::existing);
    if (!tail.ok()) {
        return tail.status();
    }
    if (file_size > scan.size) {
        if (auto status = (*tail)->truncate(scan.size); !status.ok()) {
            return status;
        }
    }
    m_active = *std::move(tail);
    m_size = scan.size;
    m_checksum = scan.checksum;
    return absl::OkStatus();
}

absl::Status log_store_impl::check_log_start(const log_image& image) const
{
    const std::uint64_t covered = m_snapshot.index.value();
    const bool has_gap =
        !image.entries.empty() && image.entries.front().index.value() > covered + 1;
    const bool is_snapshot_missing =
        covered == 0 && !m_segments.empty() && m_segments.front().number > 1;
    if (!has_gap && !is_snapshot_missing) {
        return absl::OkStatus();
    }
    return file_error(error_code::log_corrupt, segment_path(m_segments.front().number), 0,
                      "entries between the snapshot at index " + std::to_string(covered) +
                          " and the log are missing");
}

// If only the process ended and not the host, the recovered data may be only in the page cache: it
// must be durable before it is used.
absl::Status log_store_impl::finish_recovery(log_image& image)
{
    if (auto status = check_log_start(image); !status.ok()) {
        return status;
    }
    const bool needs_reset = image.reconcile_with(m_snapshot);
    m_hard_state = image.hard_state;
    m_next = image.entries.empty() ? m_snapshot.index.next() : image.entries.back().index.next();
    if (m_active == nullptr) {
        // Also if the last segment was removed because its header was torn.
        if (auto status = begin_segment(); !status.ok()) {
            return status;
        }
    }
    if (needs_reset) {
        if (auto status = write_reset(); !status.ok()) {
            return status;
        }
    }
    if (auto status = sync(); !status.ok()) {
        return status;
    }
    return m_files.sync_folder(m_folder);
}

} // namespace lovagebeam::storage
