// Writes a snapshot in parts.
#include "files.h"
#include "log_store_impl.h"
#include "snapshot_file.h"

#include <xxhash.h>

namespace lovagebeam::storage {
namespace {

using base::error_code;
using base::make_error;

struct hash_state_deleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

class file_snapshot_writer : public snapshot_writer {
public:
    file_snapshot_writer(log_store_impl& store, consensus::snapshot_meta meta,
                         std::uint64_t sync_bytes)
        : m_store{store}, m_meta{std::move(meta)}, m_sync_bytes{sync_bytes},
          m_generation{store.snapshot_generation()}, m_hash{XXH3_createState()}
    {
        XXH3_64bits_reset(m_hash.get());
        m_name = numbered_name(snapshot_prefix, m_meta.index.value());
        m_temporary = m_store.folder() + "/" + m_name + "." + std::to_string(m_generation) +
                      std::string{temporary_suffix};
    }

    // A file that can't be removed here is removed when the store is next opened.
    ~file_snapshot_writer() override
    {
        if (m_file != nullptr && !m_is_finished && m_store.failure().ok()) {
            m_store.files().remove(m_temporary).IgnoreError();
        }
    }

    file_snapshot_writer(const file_snapshot_writer&) = delete;
    file_snapshot_writer& operator=(const file_snapshot_writer&) = delete;

    absl::Status begin()
    {
        auto created = m_store.files().open(m_temporary, open_mode::create);
        if (!created.ok()) {
            return created.status();
        }
        m_file = *std::move(created);
        const std::string header = encode_snapshot_header(m_meta);
        m_data_offset = header.size();
        return write(0, header);
    }

    absl::Status append(std::string_view bytes) override
    {
        if (auto status = check_usable(); !status.ok()) {
            return status;
        }
        if (auto status = write(m_data_offset + m_size, bytes); !status.ok()) {
            return status;
        }
        XXH3_64bits_update(m_hash.get(), bytes.data(), bytes.size());
        m_size += bytes.size();
        if (m_size - m_synced < m_sync_bytes) {
            return absl::OkStatus();
        }
        m_synced = m_size;
        return sync();
    }

    [[nodiscard]] std::uint64_t size() const override { return m_size; }

    absl::Status finish() override
    {
        if (auto status = check_usable(); !status.ok()) {
            return status;
        }
        if (m_size != static_cast<std::uint64_t>(m_meta.size.value()) ||
            XXH3_64bits_digest(m_hash.get()) != m_meta.checksum) {
            return file_error(error_code::snapshot_corrupt, m_temporary, m_size,
                              "size or checksum don't match the metadata");
        }
        if (auto status = sync(); !status.ok()) {
            return status;
        }
        const std::string path = m_store.folder() + "/" + m_name;
        if (auto status = m_store.files().rename(m_temporary, path); !status.ok()) {
            return m_store.mark_failed(status);
        }
        m_is_finished = true;
        if (auto status = m_store.files().sync_folder(m_store.folder()); !status.ok()) {
            return m_store.mark_failed(status);
        }
        return m_store.set_current_snapshot(m_meta);
    }

private:
    [[nodiscard]] absl::Status check_usable() const
    {
        if (!m_store.failure().ok()) {
            return m_store.failure();
        }
        if (m_is_finished || m_generation != m_store.snapshot_generation()) {
            return make_error(error_code::invalid_request,
                              "the snapshot is finished or another one was started");
        }
        return absl::OkStatus();
    }

    absl::Status write(std::uint64_t offset, std::string_view bytes)
    {
        auto status = write_all(*m_file, offset, bytes);
        return status.ok() || base::has_code(status, error_code::storage_full)
                   ? status
                   : m_store.mark_failed(status);
    }

    absl::Status sync()
    {
        auto status = m_file->sync();
        return status.ok() ? status : m_store.mark_failed(status);
    }

    log_store_impl& m_store;
    consensus::snapshot_meta m_meta;
    std::uint64_t m_sync_bytes;
    std::uint64_t m_generation;
    std::unique_ptr<XXH3_state_t, hash_state_deleter> m_hash;
    std::string m_name;
    std::string m_temporary;
    std::unique_ptr<file> m_file;
    std::uint64_t m_data_offset = 0;
    std::uint64_t m_size = 0;
    std::uint64_t m_synced = 0;
    bool m_is_finished = false;
};

} // namespace

absl::StatusOr<std::unique_ptr<snapshot_writer>>
log_store_impl::begin_snapshot(const consensus::snapshot_meta& meta)
{
    if (!m_failure.ok()) {
        return m_failure;
    }
    if (meta.index <= m_snapshot.index || meta.size.value() < 0) {
        return make_error(error_code::invalid_request,
                          "a snapshot at index " + std::to_string(meta.index.value()) +
                              " isn't newer than the one at index " +
                              std::to_string(m_snapshot.index.value()));
    }
    ++m_snapshot_generation;
    auto writer =
        std::make_unique<file_snapshot_writer>(*this, meta, m_options.snapshot_sync_bytes);
    if (auto status = writer->begin(); !status.ok()) {
        return status;
    }
    return writer;
}

absl::Status log_store_impl::save_snapshot(const consensus::snapshot_meta& meta,
                                           std::string_view bytes)
{
    auto writer = begin_snapshot(meta);
    if (!writer.ok()) {
        return writer.status();
    }
    if (auto status = (*writer)->append(bytes); !status.ok()) {
        return status;
    }
    return (*writer)->finish();
}

// If the older snapshot can't be removed, the next recovery removes it. If the log ends before the
// snapshot and the disk is full, the next append or the next recovery writes the reset.
absl::Status log_store_impl::set_current_snapshot(const consensus::snapshot_meta& meta)
{
    const std::uint64_t old = m_snapshot.index.value();
    m_snapshot = meta;
    if (old != 0) {
        m_files.remove(path_of(numbered_name(snapshot_prefix, old))).IgnoreError();
    }
    absl::Status status;
    if (m_next <= meta.index) {
        status = write_reset();
    }
    return base::has_code(status, error_code::storage_full) ? absl::OkStatus() : status;
}

} // namespace lovagebeam::storage
