#include "lovagebeam/storage/file_system.h"

#include "files.h"

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace lovagebeam::storage {
namespace {

using base::error_code;

constexpr int file_mode = 0600;
constexpr int folder_mode = 0700;

absl::Status system_error(const std::string& path, std::string_view call, int number)
{
    error_code code = error_code::storage_failed;
    if (number == ENOSPC || number == EDQUOT) {
        code = error_code::storage_full;
    }
    else if (number == ENOENT) {
        code = error_code::not_found;
    }
    else if (number == EWOULDBLOCK) {
        code = error_code::in_use;
    }
    return base::make_error(code, path + ": " + std::string{call} + ": " +
                                      std::generic_category().message(number));
}

/// Owns a file descriptor.
class descriptor {
public:
    explicit descriptor(int number) : m_number{number} {}
    ~descriptor()
    {
        if (m_number >= 0) {
            ::close(m_number);
        }
    }
    descriptor(descriptor&& other) noexcept : m_number{std::exchange(other.m_number, -1)} {}
    descriptor& operator=(descriptor&&) = delete;
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;

    [[nodiscard]] int get() const { return m_number; }

private:
    int m_number;
};

/// Repeats a call while signals interrupt it.
template <class Call>
auto retry(Call call)
{
    auto result = call();
    while (result < 0 && errno == EINTR) {
        result = call();
    }
    return result;
}

absl::StatusOr<descriptor> open_path(const std::string& path, int flags)
{
    const int number = retry([&] { return ::open(path.c_str(), flags | O_CLOEXEC, file_mode); });
    if (number < 0) {
        return system_error(path, "open", errno);
    }
    return descriptor{number};
}

class posix_file : public file {
public:
    posix_file(std::string path, descriptor number)
        : m_path{std::move(path)}, m_descriptor{std::move(number)}
    {
    }

    absl::StatusOr<std::size_t> write_at(std::uint64_t offset, std::string_view bytes) override
    {
        const ssize_t written = retry([&] {
            return ::pwrite(m_descriptor.get(), bytes.data(), bytes.size(),
                            static_cast<off_t>(offset));
        });
        if (written < 0) {
            return system_error(m_path, "pwrite", errno);
        }
        if (written == 0 && !bytes.empty()) {
            return system_error(m_path, "pwrite", EIO);
        }
        return static_cast<std::size_t>(written);
    }

    absl::StatusOr<std::string> read_at(std::uint64_t offset, std::size_t size) override
    {
        std::string bytes(size, '\0');
        std::size_t filled = 0;
        while (filled < size) {
            const ssize_t count = retry([&] {
                return ::pread(m_descriptor.get(), bytes.data() + filled, size - filled,
                               static_cast<off_t>(offset + filled));
            });
            if (count < 0) {
                return system_error(m_path, "pread", errno);
            }
            if (count == 0) {
                break;
            }
            filled += static_cast<std::size_t>(count);
        }
        bytes.resize(filled);
        return bytes;
    }

    absl::Status truncate(std::uint64_t size) override
    {
        const int failed =
            retry([&] { return ::ftruncate(m_descriptor.get(), static_cast<off_t>(size)); });
        return failed == 0 ? absl::OkStatus() : system_error(m_path, "ftruncate", errno);
    }

    // The call isn't repeated after a failure: the kernel may have dropped the dirty pages, so that
    // a second call would report success for data that is lost.
    absl::Status sync() override
    {
        return ::fdatasync(m_descriptor.get()) == 0 ? absl::OkStatus()
                                                    : system_error(m_path, "fdatasync", errno);
    }

    absl::StatusOr<std::uint64_t> size() override
    {
        struct stat status {};
        if (::fstat(m_descriptor.get(), &status) != 0) {
            return system_error(m_path, "fstat", errno);
        }
        return static_cast<std::uint64_t>(status.st_size);
    }

private:
    std::string m_path;
    descriptor m_descriptor;
};

/// The kernel releases the lock when the descriptor is closed, including at process exit.
class posix_lock : public folder_lock {
public:
    explicit posix_lock(descriptor number) : m_descriptor{std::move(number)} {}

private:
    descriptor m_descriptor;
};

class posix_file_system : public file_system {
public:
    absl::Status create_folder(const std::string& path) override
    {
        if (::mkdir(path.c_str(), folder_mode) != 0) {
            return errno == EEXIST ? absl::OkStatus() : system_error(path, "mkdir", errno);
        }
        const std::string parent = std::filesystem::path{path}.parent_path().string();
        return sync_folder(parent.empty() ? "." : parent);
    }

    absl::StatusOr<std::unique_ptr<folder_lock>> lock_folder(const std::string& path) override
    {
        auto number = open_path(path, O_RDONLY | O_DIRECTORY);
        if (!number.ok()) {
            return number.status();
        }
        if (::flock(number->get(), LOCK_EX | LOCK_NB) != 0) {
            return system_error(path, "flock", errno);
        }
        return std::make_unique<posix_lock>(*std::move(number));
    }

    absl::StatusOr<std::vector<std::string>> list(const std::string& path) override
    {
        DIR* const folder = ::opendir(path.c_str());
        if (folder == nullptr) {
            return system_error(path, "opendir", errno);
        }
        std::vector<std::string> names;
        // NOLINTNEXTLINE(concurrency-mt-unsafe): the stream isn't shared between threads.
        while (const dirent* const entry = ::readdir(folder)) {
            const std::string name{static_cast<const char*>(entry->d_name)};
            if (name != "." && name != "..") {
                names.push_back(name);
            }
        }
        ::closedir(folder);
        std::ranges::sort(names);
        return names;
    }

    absl::StatusOr<std::unique_ptr<file>> open(const std::string& path, open_mode mode) override
    {
        auto number =
            open_path(path, mode == open_mode::create ? O_RDWR | O_CREAT | O_TRUNC : O_RDWR);
        if (!number.ok()) {
            return number.status();
        }
        return std::make_unique<posix_file>(path, *std::move(number));
    }

    absl::Status rename(const std::string& from, const std::string& to) override
    {
        return ::rename(from.c_str(), to.c_str()) == 0 ? absl::OkStatus()
                                                       : system_error(from, "rename", errno);
    }

    absl::Status remove(const std::string& path) override
    {
        return ::unlink(path.c_str()) == 0 ? absl::OkStatus() : system_error(path, "unlink", errno);
    }

    absl::Status sync_folder(const std::string& path) override
    {
        auto number = open_path(path, O_RDONLY | O_DIRECTORY);
        if (!number.ok()) {
            return number.status();
        }
        return ::fsync(number->get()) == 0 ? absl::OkStatus() : system_error(path, "fsync", errno);
    }
};

} // namespace

std::unique_ptr<file_system> make_posix_file_system()
{
    return std::make_unique<posix_file_system>();
}

} // namespace lovagebeam::storage
