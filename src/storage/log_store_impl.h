#pragma once

#include "lovagebeam/storage/log_store.h"

#include "segment.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace lovagebeam::storage {

struct segment_info {
    std::uint64_t number = 0;
    std::uint64_t highest_index = 0; // of the entries ever appended to it
};

inline constexpr std::string_view segment_prefix = "segment-";

class log_store_impl : public log_store {
public:
    log_store_impl(file_system& files, std::string folder, const store_options& options)
        : m_files{files}, m_folder{std::move(folder)}, m_options{options}
    {
    }

    /// Reads the folder. Must be called once, before all other functions.
    absl::StatusOr<recovery_result> recover();

    absl::Status append(const std::vector<consensus::log_entry>& entries,
                        const std::optional<consensus::hard_state>& hard_state) override;
    absl::Status truncate_from(consensus::log_index index) override;
    absl::Status persist(const consensus::persist_request& request) override;
    absl::Status sync() override;
    absl::StatusOr<std::unique_ptr<snapshot_writer>>
    begin_snapshot(const consensus::snapshot_meta& meta) override;
    absl::Status save_snapshot(const consensus::snapshot_meta& meta,
                               std::string_view bytes) override;
    absl::StatusOr<std::string> read_snapshot(consensus::log_index index, std::uint64_t offset,
                                              std::size_t size) override;
    absl::Status reset_log() override;
    absl::Status compact_to(consensus::log_index index) override;

    [[nodiscard]] consensus::log_index next_index() const override { return m_next; }
    [[nodiscard]] const consensus::snapshot_meta& snapshot() const override { return m_snapshot; }
    [[nodiscard]] bool has_failed() const override { return !m_failure.ok(); }

    // For the snapshot writer.
    [[nodiscard]] file_system& files() { return m_files; }
    [[nodiscard]] const std::string& folder() const { return m_folder; }
    [[nodiscard]] const absl::Status& failure() const { return m_failure; }
    [[nodiscard]] std::uint64_t snapshot_generation() const { return m_snapshot_generation; }
    /// Makes the completely written snapshot `meta` the current one.
    absl::Status set_current_snapshot(const consensus::snapshot_meta& meta);
    /// Makes every later write fail, and returns the error.
    absl::Status mark_failed(const absl::Status& cause);

private:
    [[nodiscard]] std::string path_of(const std::string& name) const
    {
        return m_folder + "/" + name;
    }
    [[nodiscard]] std::string segment_path(std::uint64_t number) const;

    absl::Status load_identity(const std::vector<std::string>& names, recovery_result& found);
    absl::Status load_snapshot(const std::vector<std::string>& names);
    absl::Status load_segments(const std::vector<std::string>& names, log_image& image,
                               std::uint64_t& truncated_bytes);
    absl::Status load_segment(std::uint64_t number, bool is_last, log_image& image,
                              std::uint64_t& truncated_bytes);
    absl::Status open_last_segment(const segment_scan& scan, std::uint64_t file_size);
    absl::Status check_log_start(const log_image& image) const;
    absl::Status finish_recovery(log_image& image);

    absl::Status check_request(const consensus::persist_request& request) const;
    std::string encode_request(const consensus::persist_request& request,
                               std::uint64_t& checksum) const;
    absl::Status write_records(const std::string& buffer, std::uint64_t checksum);
    absl::Status write_reset();
    absl::Status begin_segment();
    absl::StatusOr<std::unique_ptr<file>> create_segment(std::uint64_t number,
                                                         const std::string& header);
    absl::Status remove_segment_file(std::uint64_t number);

    file_system& m_files;
    std::string m_folder;
    store_options m_options;
    std::unique_ptr<folder_lock> m_lock;
    absl::Status m_failure;

    std::deque<segment_info> m_segments; // the last one is active
    std::unique_ptr<file> m_active;
    std::uint64_t m_size = 0;        // of the active segment
    std::uint64_t m_durable = 0;     // the part of it that is durable
    std::uint64_t m_checksum = 0;    // of its last record
    bool m_is_reset_pending = false; // the next write starts with a record that removes all entries

    consensus::hard_state m_hard_state;
    consensus::log_index m_next{1};
    consensus::snapshot_meta m_snapshot;
    std::uint64_t m_snapshot_generation = 0; // number of begin_snapshot calls
};

} // namespace lovagebeam::storage
