#include "snapshot_file.h"

#include "lovagebeam/consensus/codec.h"
#include "lovagebeam/storage/log_store.h"

#include "files.h"
#include "record.h"

#include <xxhash.h>

namespace lovagebeam::storage {
namespace {

using base::error_code;

constexpr std::uint64_t snapshot_magic = 0x31304e5342444c4cU;
constexpr std::size_t fixed_size = 16;
constexpr std::size_t checksum_size = 8;

} // namespace

std::uint64_t snapshot_checksum(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string encode_snapshot_head(const consensus::snapshot_meta& meta)
{
    const std::string description = consensus::encode_snapshot_meta(meta);
    std::string head;
    append_number(head, snapshot_magic);
    append_number(head, description.size());
    head += description;
    append_number(head, XXH3_64bits(head.data(), head.size()));
    return head;
}

absl::StatusOr<snapshot_head> decode_snapshot_head(const std::string& path, std::string_view bytes)
{
    const auto damaged = [&path](std::string_view what) {
        return file_error(error_code::snapshot_corrupt, path, 0, what);
    };
    std::string_view rest = bytes;
    const std::uint64_t magic = read_number(rest);
    const std::uint64_t size = read_number(rest);
    if (magic != snapshot_magic || size > rest.size() || rest.size() - size < checksum_size) {
        return damaged("wrong magic or size");
    }
    const std::string_view checked = bytes.substr(0, fixed_size + size);
    const std::string_view description = rest.substr(0, size);
    rest.remove_prefix(size);
    if (read_number(rest) != XXH3_64bits(checked.data(), checked.size())) {
        return damaged("wrong checksum of the description");
    }
    auto meta = consensus::decode_snapshot_meta(description);
    if (!meta) {
        return damaged("the description can't be read");
    }
    return snapshot_head{*std::move(meta), fixed_size + size + checksum_size};
}

absl::StatusOr<snapshot_head> check_snapshot_file(file_system& files, const std::string& path)
{
    const auto bytes = read_all(files, path);
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto head = decode_snapshot_head(path, *bytes);
    if (!head.ok()) {
        return head.status();
    }
    const std::string_view data = std::string_view{*bytes}.substr(head->data_offset);
    const std::uint64_t expected = static_cast<std::uint64_t>(head->meta.size.value());
    if (data.size() != expected) {
        return file_error(error_code::snapshot_corrupt, path, bytes->size(),
                          "the file has " + std::to_string(data.size()) + " bytes of data, not " +
                              std::to_string(expected));
    }
    if (snapshot_checksum(data) != head->meta.checksum) {
        return file_error(error_code::snapshot_corrupt, path, head->data_offset,
                          "wrong checksum of the data");
    }
    return head;
}

} // namespace lovagebeam::storage
