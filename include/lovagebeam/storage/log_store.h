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
    /// A new segment is begun once the active one has this many bytes.
    std::uint64_t segment_bytes = std::uint64_t{16} << 20U;
    /// A snapshot's file is synced after this many bytes each, so that no sync takes long.
    std::uint64_t snapshot_sync_bytes = std::uint64_t{1} << 20U;
    /// The incarnation of a member whose folder has none: a random number other than 0.
    consensus::incarnation fresh_incarnation;
};

/// Returns the checksum that consensus::snapshot_meta wants for a snapshot with these bytes.
std::uint64_t snapshot_checksum(std::string_view bytes);

/// Writes one snapshot in parts, between which the store can append to the log. Destroyed before
/// `finish` has returned ok, it leaves nothing that counts. Must not outlive its store; used on
/// the store's thread.
class snapshot_writer {
public:
    snapshot_writer() = default;
    virtual ~snapshot_writer() = default;
    snapshot_writer(const snapshot_writer&) = delete;
    snapshot_writer& operator=(const snapshot_writer&) = delete;

    /// Writes the next bytes. `storage_full` leaves the writer as it was, so that the call can be
    /// repeated; `storage_failed` is fatal for the store.
    virtual absl::Status append(std::string_view bytes) = 0;

    /// The number of bytes written so far.
    [[nodiscard]] virtual std::uint64_t size() const = 0;

    /// Makes the snapshot durable and the store's present one, and removes older ones. Returns
    /// `snapshot_corrupt` when size or checksum differ from the description.
    virtual absl::Status finish() = 0;
};

class log_store;

/// What `log_store::open` found in the folder.
struct recovery_result {
    std::unique_ptr<log_store> store;
    consensus::incarnation incarnation;
    /// True when the folder had no identity and got `fresh_incarnation`.
    bool is_new = false;
    consensus::hard_state hard_state;
    /// The entries in order and without gaps. The first index is at most one above the snapshot's.
    std::vector<consensus::log_entry> entries;
    /// The last snapshot, whose bytes `read_snapshot` gives; index 0 if there is none.
    consensus::snapshot_meta snapshot;
    /// Bytes of a torn tail that were cut. They had not been reported as durable, unless the disk
    /// damaged the very last batch.
    std::uint64_t truncated_bytes = 0;
};

/// The log, the hard state and the snapshots of one voter under one folder. Not thread-safe; the
/// storage thread owns it.
///
/// Writes are durable once a later `sync` has returned ok. A failed sync or another failure that
/// leaves the files in doubt is fatal: this and every later call that writes returns
/// `storage_failed`, and the process must end. `storage_full` refuses one call as a whole and
/// leaves everything as it was.
class log_store {
public:
    log_store() = default;
    virtual ~log_store() = default;
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// Opens the folder, creates it if needed, and cuts a torn tail. `files` must outlive the
    /// store. Errors: `in_use` when another process has the folder, `log_corrupt` and
    /// `snapshot_corrupt` with file and offset when bytes are damaged that had been durable,
    /// `storage_full`, `storage_failed`.
    static absl::StatusOr<recovery_result> open(file_system& files, const std::string& folder,
                                                const store_options& options);

    /// Appends the entries, whose first index must be `next_index()`, and the hard state if given.
    /// `invalid_request` when the indices have a gap.
    virtual absl::Status append(const std::vector<consensus::log_entry>& entries,
                                const std::optional<consensus::hard_state>& hard_state) = 0;

    /// Removes all entries from `index` on. `invalid_request` when the snapshot covers `index`.
    virtual absl::Status truncate_from(consensus::log_index index) = 0;

    /// Does what the request asks, as one write.
    virtual absl::Status persist(const consensus::persist_request& request) = 0;

    /// Makes everything before durable.
    virtual absl::Status sync() = 0;

    /// Begins a snapshot that is newer than the present one. An unfinished one is given up.
    /// `meta.size` and `meta.checksum` describe its bytes.
    virtual absl::StatusOr<std::unique_ptr<snapshot_writer>>
    begin_snapshot(const consensus::snapshot_meta& meta) = 0;

    /// Writes a whole snapshot at once.
    virtual absl::Status save_snapshot(const consensus::snapshot_meta& meta,
                                       std::string_view bytes) = 0;

    /// Returns at most `size` bytes of the present snapshot. `not_found` when its index is another
    /// one.
    virtual absl::StatusOr<std::string> read_snapshot(consensus::log_index index,
                                                      std::uint64_t offset, std::size_t size) = 0;

    /// Removes all entries, after a snapshot of a peer was installed. The log goes on after it.
    /// After `storage_full` the next append does it.
    virtual absl::Status reset_log() = 0;

    /// Removes segments whose entries are all at or below `index`. `invalid_request` when the
    /// present snapshot doesn't cover `index`.
    virtual absl::Status compact_to(consensus::log_index index) = 0;

    [[nodiscard]] virtual consensus::log_index next_index() const = 0;
    [[nodiscard]] virtual const consensus::snapshot_meta& snapshot() const = 0;
    /// Whether a failure has made the store unusable.
    [[nodiscard]] virtual bool has_failed() const = 0;
};

} // namespace lovagebeam::storage
