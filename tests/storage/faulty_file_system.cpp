#include "faulty_file_system.h"

#include "lovagebeam/base/errors.h"

#include <algorithm>

namespace lovagebeam::test {
namespace {

using base::error_code;
using base::make_error;

class faulty_file : public storage::file {
public:
    faulty_file(faulty_file_system& disk, std::shared_ptr<disk_file> target)
        : m_disk{disk}, m_target{std::move(target)}
    {
    }

    absl::StatusOr<std::size_t> write_at(std::uint64_t offset, std::string_view bytes) override
    {
        return m_disk.write(*m_target, offset, bytes);
    }
    absl::StatusOr<std::string> read_at(std::uint64_t offset, std::size_t size) override
    {
        return offset >= m_target->current.size() ? std::string{}
                                                  : m_target->current.substr(offset, size);
    }
    absl::Status truncate(std::uint64_t size) override { return m_disk.truncate(*m_target, size); }
    absl::Status sync() override { return m_disk.sync(*m_target); }
    absl::StatusOr<std::uint64_t> size() override { return m_target->current.size(); }

private:
    faulty_file_system& m_disk;
    std::shared_ptr<disk_file> m_target;
};

} // namespace

bool faulty_file_system::is_power_lost_now()
{
    if (!m_is_powered) {
        throw power_loss{};
    }
    if (m_calls_until_power_loss == UINT64_MAX || m_calls_until_power_loss-- > 0) {
        return false;
    }
    m_is_powered = false;
    return true;
}

bool faulty_file_system::is_sync_failing_now()
{
    return m_syncs_until_failure != UINT64_MAX && m_syncs_until_failure-- == 0;
}

void faulty_file_system::apply(std::string& content, const disk_file::change& change)
{
    if (change.is_truncation) {
        content.resize(change.offset, '\0');
        return;
    }
    if (content.size() < change.offset + change.bytes.size()) {
        content.resize(change.offset + change.bytes.size(), '\0');
    }
    content.replace(change.offset, change.bytes.size(), change.bytes);
}

void faulty_file_system::apply(const name_change& change)
{
    if (!change.from.empty()) {
        m_durable_names.erase(change.from);
    }
    if (change.file == nullptr) {
        m_durable_names.erase(change.path);
    }
    else {
        m_durable_names[change.path] = change.file;
    }
}

// A write that isn't durable may have reached the disk completely, partly or not at all, regardless
// of earlier ones.
void faulty_file_system::resolve_pending(disk_file& target)
{
    for (disk_file::change& change : target.pending) {
        const std::uint64_t outcome = m_random.below(3);
        if (outcome == 0 && !change.is_truncation) {
            const std::uint64_t begin = m_random.below(change.bytes.size() + 1);
            const std::uint64_t size = m_random.below(change.bytes.size() - begin + 1);
            apply(target.durable, {false, change.offset + begin, change.bytes.substr(begin, size)});
        }
        else if (outcome != 2) {
            apply(target.durable, change);
        }
    }
    target.pending.clear();
}

void faulty_file_system::restart()
{
    for (const name_change& change : m_pending_names) {
        if (m_random.chance(0.5)) {
            apply(change);
        }
    }
    m_pending_names.clear();
    m_names = m_durable_names;
    for (auto& [path, target] : m_names) {
        resolve_pending(*target);
        target->current = target->durable;
    }
    m_is_powered = true;
    m_calls_until_power_loss = UINT64_MAX;
    m_syncs_until_failure = UINT64_MAX;
    m_free_bytes = -1;
}

std::string& faulty_file_system::content(const std::string& path)
{
    return m_names.at(path)->current;
}

absl::StatusOr<std::size_t> faulty_file_system::write(disk_file& target, std::uint64_t offset,
                                                      std::string_view bytes)
{
    const bool is_lost = is_power_lost_now();
    // Short writes are allowed at any time.
    std::uint64_t size = bytes.size();
    if (size > 1 && m_random.chance(0.2)) {
        size = m_random.between(1, size);
    }
    if (m_free_bytes >= 0) {
        const std::uint64_t end = offset + size;
        const std::uint64_t grown = end > target.current.size() ? end - target.current.size() : 0;
        const std::uint64_t free = static_cast<std::uint64_t>(m_free_bytes);
        if (grown > free) {
            size -= std::min(size, grown - free);
        }
        if (size == 0 && !bytes.empty()) {
            return make_error(error_code::storage_full, "the disk is full");
        }
        m_free_bytes -= static_cast<std::int64_t>(std::min(grown, free));
    }
    disk_file::change change{false, offset, std::string{bytes.substr(0, size)}};
    apply(target.current, change);
    target.pending.push_back(std::move(change));
    if (is_lost) {
        throw power_loss{};
    }
    return size;
}

absl::Status faulty_file_system::truncate(disk_file& target, std::uint64_t size)
{
    const bool is_lost = is_power_lost_now();
    if (m_free_bytes >= 0 && size < target.current.size()) {
        m_free_bytes += static_cast<std::int64_t>(target.current.size() - size);
    }
    disk_file::change change{true, size, {}};
    apply(target.current, change);
    target.pending.push_back(std::move(change));
    if (is_lost) {
        throw power_loss{};
    }
    return absl::OkStatus();
}

absl::Status faulty_file_system::sync(disk_file& target)
{
    if (is_power_lost_now()) {
        throw power_loss{};
    }
    if (is_sync_failing_now()) {
        // As on Linux, the pages are marked clean afterwards, whether they were written or not.
        resolve_pending(target);
        return make_error(error_code::storage_failed, "input/output error");
    }
    target.durable = target.current;
    target.pending.clear();
    return absl::OkStatus();
}

absl::Status faulty_file_system::create_folder(const std::string& /*path*/)
{
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<storage::folder_lock>>
faulty_file_system::lock_folder(const std::string& /*path*/)
{
    return std::make_unique<storage::folder_lock>();
}

absl::StatusOr<std::vector<std::string>> faulty_file_system::list(const std::string& path)
{
    std::vector<std::string> names;
    for (const auto& [name, target] : m_names) {
        if (name.starts_with(path + "/")) {
            names.push_back(name.substr(path.size() + 1));
        }
    }
    return names;
}

absl::StatusOr<std::unique_ptr<storage::file>> faulty_file_system::open(const std::string& path,
                                                                        storage::open_mode mode)
{
    const auto found = m_names.find(path);
    if (mode == storage::open_mode::existing) {
        if (found == m_names.end()) {
            return make_error(error_code::not_found, path + ": no such file");
        }
        return std::make_unique<faulty_file>(*this, found->second);
    }
    const bool is_lost = is_power_lost_now();
    file_pointer target;
    if (found != m_names.end()) {
        target = found->second;
        disk_file::change change{true, 0, {}};
        apply(target->current, change);
        target->pending.push_back(std::move(change));
    }
    else {
        target = std::make_shared<disk_file>();
        m_names[path] = target;
        m_pending_names.push_back({path, {}, target});
    }
    if (is_lost) {
        throw power_loss{};
    }
    return std::make_unique<faulty_file>(*this, target);
}

absl::Status faulty_file_system::rename(const std::string& from, const std::string& to)
{
    const bool is_lost = is_power_lost_now();
    const file_pointer target = m_names.at(from);
    m_names.erase(from);
    m_names[to] = target;
    m_pending_names.push_back({to, from, target});
    if (is_lost) {
        throw power_loss{};
    }
    return absl::OkStatus();
}

// Doesn't throw, because destructors remove files; the next call throws instead.
absl::Status faulty_file_system::remove(const std::string& path)
{
    if (!m_is_powered) {
        return make_error(error_code::storage_failed, "the power is off");
    }
    is_power_lost_now();
    if (m_names.erase(path) == 0) {
        return make_error(error_code::not_found, path + ": no such file");
    }
    m_pending_names.push_back({path, {}, nullptr});
    return absl::OkStatus();
}

absl::Status faulty_file_system::sync_folder(const std::string& /*path*/)
{
    if (is_power_lost_now()) {
        throw power_loss{};
    }
    if (is_sync_failing_now()) {
        return make_error(error_code::storage_failed, "input/output error");
    }
    for (const name_change& change : m_pending_names) {
        apply(change);
    }
    m_pending_names.clear();
    return absl::OkStatus();
}

} // namespace lovagebeam::test
