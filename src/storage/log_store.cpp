#include "lovagebeam/storage/log_store.h"

#include "files.h"
#include "log_store_impl.h"
#include "snapshot_file.h"

namespace lovagebeam::storage {

using base::error_code;
using base::make_error;

absl::StatusOr<recovery_result> log_store::open(file_system& files, const std::string& folder,
                                                const store_options& options)
{
    auto store = std::make_unique<log_store_impl>(files, folder, options);
    auto found = store->recover();
    if (found.ok()) {
        found->store = std::move(store);
    }
    return found;
}

std::string log_store_impl::segment_path(std::uint64_t number) const
{
    return path_of(numbered_name(segment_prefix, number));
}

absl::Status log_store_impl::mark_failed(const absl::Status& cause)
{
    if (m_failure.ok()) {
        m_failure = make_error(error_code::storage_failed,
                               "the store has failed: " + std::string{cause.message()});
    }
    return m_failure;
}

absl::Status log_store_impl::append(const std::vector<consensus::log_entry>& entries,
                                    const std::optional<consensus::hard_state>& hard_state)
{
    return persist({{}, std::nullopt, entries, hard_state});
}

absl::Status log_store_impl::truncate_from(consensus::log_index index)
{
    return persist({{}, index, {}, std::nullopt});
}

absl::Status log_store_impl::check_request(const consensus::persist_request& request) const
{
    consensus::log_index expected = m_next;
    if (request.truncate_from) {
        if (*request.truncate_from <= m_snapshot.index) {
            return make_error(error_code::invalid_request,
                              "can't truncate from index " +
                                  std::to_string(request.truncate_from->value()) +
                                  ", which the snapshot at index " +
                                  std::to_string(m_snapshot.index.value()) + " covers");
        }
        expected = std::min(expected, *request.truncate_from);
    }
    for (const consensus::log_entry& entry : request.entries) {
        if (entry.index != expected) {
            return make_error(error_code::invalid_request,
                              "entry " + std::to_string(entry.index.value()) + " where entry " +
                                  std::to_string(expected.value()) + " is expected");
        }
        expected = expected.next();
    }
    return absl::OkStatus();
}

std::string log_store_impl::encode_request(const consensus::persist_request& request,
                                           std::uint64_t& checksum) const
{
    std::string buffer;
    const auto add = [&](record_kind kind, std::string_view payload) {
        checksum = append_record(buffer, kind, payload, m_durable, checksum,
                                 {m_segments.back().number, m_size + buffer.size()});
    };
    const bool is_truncation = request.truncate_from && *request.truncate_from < m_next;
    if (m_is_reset_pending || is_truncation) {
        std::string payload;
        append_number(payload, m_is_reset_pending ? 0 : request.truncate_from->value());
        add(record_kind::truncate, payload);
    }
    for (const consensus::log_entry& entry : request.entries) {
        add(record_kind::entry, encode_entry(entry));
    }
    if (request.hard_state) {
        add(record_kind::hard_state, encode_hard_state(*request.hard_state));
    }
    return buffer;
}

absl::Status log_store_impl::persist(const consensus::persist_request& request)
{
    if (!m_failure.ok()) {
        return m_failure;
    }
    if (auto status = check_request(request); !status.ok()) {
        return status;
    }
    if (m_size >= m_options.segment_bytes) {
        if (auto status = begin_segment(); !status.ok()) {
            return status;
        }
    }
    std::uint64_t checksum = m_checksum;
    const std::string buffer = encode_request(request, checksum);
    if (auto status = write_records(buffer, checksum); !status.ok()) {
        return status;
    }
    m_is_reset_pending = false;
    if (request.truncate_from) {
        m_next = std::min(m_next, *request.truncate_from);
    }
    if (!request.entries.empty()) {
        const consensus::log_index last = request.entries.back().index;
        m_next = last.next();
        segment_info& active = m_segments.back();
        active.highest_index = std::max(active.highest_index, last.value());
    }
    if (request.hard_state) {
        m_hard_state = *request.hard_state;
    }
    return absl::OkStatus();
}

// A rejected write may have been written in part. The part is truncated durably, since complete
// records in it could otherwise reappear after a power loss.
absl::Status log_store_impl::write_records(const std::string& buffer, std::uint64_t checksum)
{
    auto status = write_all(*m_active, m_size, buffer);
    if (base::has_code(status, error_code::storage_full)) {
        if (auto cut = m_active->truncate(m_size); !cut.ok()) {
            return mark_failed(cut);
        }
        auto synced = sync();
        return synced.ok() ? status : synced;
    }
    if (!status.ok()) {
        return mark_failed(status);
    }
    m_size += buffer.size();
    m_checksum = checksum;
    return absl::OkStatus();
}

absl::Status log_store_impl::write_reset()
{
    m_is_reset_pending = true;
    m_next = m_snapshot.index.next();
    return persist({});
}

absl::Status log_store_impl::sync()
{
    if (!m_failure.ok()) {
        return m_failure;
    }
    if (auto status = m_active->sync(); !status.ok()) {
        return mark_failed(status);
    }
    m_durable = m_size;
    return absl::OkStatus();
}

// An unfinished segment is removed durably before the previous one is written to again: recovery
// treats corruption in any segment but the last as corruption of durable bytes.
absl::StatusOr<std::unique_ptr<file>> log_store_impl::create_segment(std::uint64_t number,
                                                                     const std::string& header)
{
    auto created = m_files.open(segment_path(number), open_mode::create);
    absl::Status status = created.status();
    if (status.ok()) {
        status = write_all(**created, 0, header);
    }
    if (base::has_code(status, error_code::storage_full)) {
        if (created.ok()) {
            if (auto removed = remove_segment_file(number); !removed.ok()) {
                return mark_failed(removed);
            }
        }
        return status;
    }
    if (status.ok()) {
        status = (*created)->sync();
    }
    if (status.ok()) {
        status = m_files.sync_folder(m_folder);
    }
    if (!status.ok()) {
        return mark_failed(status);
    }
    return created;
}

// The active segment is synced first: recovery treats corruption in any segment but the last as
// corruption of durable bytes.
absl::Status log_store_impl::begin_segment()
{
    if (m_active != nullptr) {
        if (auto status = sync(); !status.ok()) {
            return status;
        }
    }
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.back().number + 1;
    std::string payload;
    append_number(payload, number);
    payload += encode_hard_state(m_hard_state);
    std::string header;
    const std::uint64_t checksum =
        append_record(header, record_kind::segment_header, payload, 0, 0, {number, 0});
    auto created = create_segment(number, header);
    if (!created.ok()) {
        return created.status();
    }
    m_segments.push_back({number, 0});
    m_active = *std::move(created);
    m_size = header.size();
    m_durable = m_size;
    m_checksum = checksum;
    return absl::OkStatus();
}

// The folder is synced after each removal, so that a later file can't disappear before an earlier
// one.
absl::Status log_store_impl::remove_segment_file(std::uint64_t number)
{
    if (auto status = m_files.remove(segment_path(number)); !status.ok()) {
        return status;
    }
    return m_files.sync_folder(m_folder);
}

absl::Status log_store_impl::reset_log()
{
    return m_failure.ok() ? write_reset() : m_failure;
}

absl::Status log_store_impl::compact_to(consensus::log_index index)
{
    if (!m_failure.ok()) {
        return m_failure;
    }
    if (index > m_snapshot.index) {
        return make_error(error_code::invalid_request,
                          "can't compact to index " + std::to_string(index.value()) +
                              ", the snapshot is at index " +
                              std::to_string(m_snapshot.index.value()));
    }
    // Without a snapshot, even a segment without entries is retained: recovery treats a missing
    // beginning of the log as lost entries.
    if (index.value() == 0) {
        return absl::OkStatus();
    }
    while (m_segments.size() > 1 && m_segments.front().highest_index <= index.value()) {
        if (auto status = remove_segment_file(m_segments.front().number); !status.ok()) {
            return mark_failed(status);
        }
        m_segments.pop_front();
    }
    return absl::OkStatus();
}

absl::StatusOr<std::string> log_store_impl::read_snapshot(consensus::log_index index,
                                                          std::uint64_t offset, std::size_t size)
{
    if (index != m_snapshot.index || index.value() == 0) {
        return make_error(error_code::not_found,
                          "there is no snapshot at index " + std::to_string(index.value()));
    }
    const std::uint64_t total = static_cast<std::uint64_t>(m_snapshot.size.value());
    if (offset >= total) {
        return std::string{};
    }
    auto source =
        m_files.open(path_of(numbered_name(snapshot_prefix, index.value())), open_mode::existing);
    if (!source.ok()) {
        return source.status();
    }
    const std::uint64_t header = encode_snapshot_header(m_snapshot).size();
    return (*source)->read_at(header + offset, std::min<std::uint64_t>(size, total - offset));
}

} // namespace lovagebeam::storage
