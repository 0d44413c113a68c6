#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/consensus/effects.h"
#include "lovagebeam/consensus/types.h"
#include "lovagebeam/storage/file_system.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::storage {

struct store_options {
    /// A new segment is started once the active one has this many bytes.
    std::uint64_t segment_bytes = std::uint64_t{16} << 20U;
    /// A snapshot file is synced whenever this many bytes were added, so that no sync takes long.
    std::uint64_t snapshot_sync_bytes = std::uint64_t{1} << 20U;
    /// The incarnation to assign if the folder has none: a random non-zero number.
    consensus::incarnation fresh_incarnation;
};

/// Returns the value of consensus::snapshot_meta::checksum for a snapshot with these bytes.
std::uint64_t snapshot_checksum(std::string_view bytes);

/// Writes one snapshot in parts, between which the store can append to the log. If destroyed before
/// `finish` has returned ok, the snapshot is discarded. Must not outlive its store; must be used on
/// the store's thread.
class snapshot_writer {
public:
    snapshot_writer() = default;
    virtual ~snapshot_writer() = default;
    snapshot_writer(const snapshot_writer&) = delete;
    snapshot_writer& operator=(const snapshot_writer&) = delete;

    /// Writes the next bytes. `storage_full` leaves the writer unchanged, so that the call can be
    /// retried; `storage_failed` is fatal for the store.
    virtual absl::Status append(std::string_view bytes) = 0;

    /// The number of bytes written so far.
    [[nodiscard]] virtual std::uint64_t size() const = 0;

    /// Makes the snapshot durable and current, and removes older ones. Returns `snapshot_corrupt`
    /// if size or checksum don't match the metadata.
    virtual absl::Status finish() = 0;
};

class log_store;

/// The opened store and the content recovered from its folder.
struct recovery_result {
    std::unique_ptr<log_store> store;
    consensus::incarnation incarnation;
    /// True if the folder had no identity and was assigned `fresh_incarnation`.
    bool is_new = false;
    consensus::hard_state hard_state;
    /// The entries in order and without gaps. The first index is at most one above the snapshot's.
    std::vector<consensus::log_entry> entries;
    /// The last snapshot, whose bytes `read_snapshot` returns; index 0 if there is none.
    consensus::snapshot_meta snapshot;
    /// Bytes of a torn tail that were truncated. They had not been reported as durable, unless the
    /// disk damaged the very last batch.
    std::uint64_t truncated_bytes = 0;
};

/// The log, the hard state and the snapshots of one voter, stored in one folder. Not thread-safe;
/// owned by the storage thread.
///
/// Writes are durable once a later `sync` has returned ok. A failed sync, or any other failure that
/// leaves the content of the files unknown, is fatal: this and every later call that writes returns
/// `storage_failed`, and the process must exit. `storage_full` rejects one call as a whole and
/// changes nothing.
class log_store {
public:
    log_store() = default;
    virtual ~log_store() = default;
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// Opens the folder, creates it if needed, and truncates a torn tail. `files` must outlive the
    /// store. Errors: `in_use` if another process has the folder open, `log_corrupt` and
    /// `snapshot_corrupt` with file and offset if bytes that had been durable are corrupt,
    /// `storage_full`, `storage_failed`.
    static absl::StatusOr<recovery_result> open(file_system& files, const std::string& folder,
                                                const store_options& options);

    /// Appends the entries, whose first index must be `next_index()`, and the hard state if given.
    /// `invalid_request` if the indices have a gap.
    virtual absl::Status append(const std::vector<consensus::log_entry>& entries,
                                const std::optional<consensus::hard_state>& hard_state) = 0;

    /// Removes all entries from `index` on. `invalid_request` if the snapshot covers `index`.
    virtual absl::Status truncate_from(consensus::log_index index) = 0;

    /// Executes the request as one write.
    virtual absl::Status persist(const consensus::persist_request& request) = 0;

    /// Makes all previous writes durable.
    virtual absl::Status sync() = 0;

    /// Starts writing a snapshot that is newer than the current one. An unfinished one is
    /// abandoned. `meta.size` and `meta.checksum` describe its bytes.
    virtual absl::StatusOr<std::unique_ptr<snapshot_writer>>
    begin_snapshot(const consensus::snapshot_meta& meta) = 0;

    /// Writes a whole snapshot at once.
    virtual absl::Status save_snapshot(const consensus::snapshot_meta& meta,
                                       std::string_view bytes) = 0;

    /// Returns at most `size` bytes of the current snapshot. `not_found` if its index isn't
    /// `index`.
    virtual absl::StatusOr<std::string> read_snapshot(consensus::log_index index,
                                                      std::uint64_t offset, std::size_t size) = 0;

    /// Removes all entries, after a snapshot from a peer was installed. The log continues after the
    /// snapshot. After `storage_full`, the next append performs the reset.
    virtual absl::Status reset_log() = 0;

    /// Removes segments whose entries are all at or below `index`. `invalid_request` if the current
    /// snapshot doesn't cover `index`.
    virtual absl::Status compact_to(consensus::log_index index) = 0;

    [[nodiscard]] virtual consensus::log_index next_index() const = 0;
    [[nodiscard]] virtual const consensus::snapshot_meta& snapshot() const = 0;
    /// Returns whether a failure has made the store unusable.
    [[nodiscard]] virtual bool has_failed() const = 0;
};

} // namespace lovagebeam::storage
