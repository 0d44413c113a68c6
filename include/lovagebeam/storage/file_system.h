#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::storage {

/// An open file. Closed by its destructor, which syncs nothing.
class file {
public:
    file() = default;
    virtual ~file() = default;
    file(const file&) = delete;
    file& operator=(const file&) = delete;

    /// Writes a prefix of `bytes` at `offset` and returns its size, which is at least 1 unless
    /// `bytes` is empty. Errors: `storage_full`, `storage_failed`.
    virtual absl::StatusOr<std::size_t> write_at(std::uint64_t offset, std::string_view bytes) = 0;

    /// Reads at most `size` bytes at `offset`; fewer only at the end of the file.
    virtual absl::StatusOr<std::string> read_at(std::uint64_t offset, std::size_t size) = 0;

    /// Truncates the file to `size` bytes.
    virtual absl::Status truncate(std::uint64_t size) = 0;

    /// Returns once the content and the size are durable. After an error, the state of the bytes
    /// written since the last successful sync is unknown.
    virtual absl::Status sync() = 0;

    virtual absl::StatusOr<std::uint64_t> size() = 0;
};

/// Exclusive lock of a folder, held until destruction.
class folder_lock {
public:
    folder_lock() = default;
    virtual ~folder_lock() = default;
    folder_lock(const folder_lock&) = delete;
    folder_lock& operator=(const folder_lock&) = delete;
};

enum class open_mode {
    existing, ///< `not_found` if there is no such file
    create,   ///< creates an empty file, or empties the existing one
};

/// The file system calls of the store, as an interface so that tests can inject failures. Paths are
/// absolute or relative to the working directory. Creations, renames and removals are durable only
/// after the folder was synced. Errors: `not_found`, `storage_full`, `storage_failed`, `in_use`.
class file_system {
public:
    file_system() = default;
    virtual ~file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;

    /// Creates the folder unless it exists, and syncs its parent.
    virtual absl::Status create_folder(const std::string& path) = 0;
    /// Locks the folder for this process, or returns `in_use`.
    virtual absl::StatusOr<std::unique_ptr<folder_lock>> lock_folder(const std::string& path) = 0;
    /// Returns the names in the folder in ascending order.
    virtual absl::StatusOr<std::vector<std::string>> list(const std::string& path) = 0;
    virtual absl::StatusOr<std::unique_ptr<file>> open(const std::string& path, open_mode mode) = 0;
    virtual absl::Status rename(const std::string& from, const std::string& to) = 0;
    virtual absl::Status remove(const std::string& path) = 0;
    virtual absl::Status sync_folder(const std::string& path) = 0;
};

/// Returns the POSIX implementation. Thread-safe; its files are not.
std::unique_ptr<file_system> make_posix_file_system();

} // namespace lovagebeam::storage
