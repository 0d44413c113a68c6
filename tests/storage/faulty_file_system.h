#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/storage/file_system.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lovagebeam::test {

/// Thrown by a call during which the host loses power, and by every call after it.
struct power_loss {};

/// One file: its durable content, its current content and the changes that aren't durable yet.
struct disk_file {
    struct change {
        bool is_truncation = false;
        std::uint64_t offset = 0; // or the new size
        std::string bytes;
    };

    std::string durable;
    std::string current;
    std::vector<change> pending;
};

/// An in-memory file system that loses unsynced changes, tears writes and injects failures.
/// `restart` applies each change that wasn't durable completely, partly or not at all,
/// independently of the others; creations, renames and removals change the folder's entries.
class faulty_file_system : public storage::file_system {
public:
    explicit faulty_file_system(std::uint64_t seed) : m_random{seed} {}

    /// Power fails during a call that writes or syncs, after `calls` further such calls.
    void fail_power_after(std::uint64_t calls) { m_calls_until_power_loss = calls; }
    /// One sync of a file or folder fails, after `syncs` further successful ones.
    void fail_sync_after(std::uint64_t syncs) { m_syncs_until_failure = syncs; }
    /// Sets how many bytes can be written before the disk is full; negative for no limit.
    void set_free_bytes(std::int64_t bytes) { m_free_bytes = bytes; }

    /// Restarts the host, with a part of the pending changes that depends on the seed. Files that
    /// were open must no longer be used.
    void restart();

    [[nodiscard]] bool is_powered() const { return m_is_powered; }
    [[nodiscard]] std::string& content(const std::string& path);
    [[nodiscard]] bool has(const std::string& path) const { return m_names.contains(path); }

    absl::Status create_folder(const std::string& path) override;
    absl::StatusOr<std::unique_ptr<storage::folder_lock>>
    lock_folder(const std::string& path) override;
    absl::StatusOr<std::vector<std::string>> list(const std::string& path) override;
    absl::StatusOr<std::unique_ptr<storage::file>> open(const std::string& path,
                                                        storage::open_mode mode) override;
    absl::Status rename(const std::string& from, const std::string& to) override;
    absl::Status remove(const std::string& path) override;
    absl::Status sync_folder(const std::string& path) override;

    // For the open files.
    absl::StatusOr<std::size_t> write(disk_file& target, std::uint64_t offset,
                                      std::string_view bytes);
    absl::Status truncate(disk_file& target, std::uint64_t size);
    absl::Status sync(disk_file& target);

private:
    using file_pointer = std::shared_ptr<disk_file>;

    struct name_change {
        std::string path;
        std::string from;  // the old name of a renamed file
        file_pointer file; // null for a removal
    };

    bool is_power_lost_now();
    bool is_sync_failing_now();
    void resolve_pending(disk_file& target);
    static void apply(std::string& content, const disk_file::change& change);
    void apply(const name_change& change);

    base::random_source m_random;
    std::map<std::string, file_pointer> m_names;
    std::map<std::string, file_pointer> m_durable_names;
    std::vector<name_change> m_pending_names;
    bool m_is_powered = true;
    std::uint64_t m_calls_until_power_loss = UINT64_MAX;
    std::uint64_t m_syncs_until_failure = UINT64_MAX;
    std::int64_t m_free_bytes = -1;
};

} // namespace lovagebeam::test
