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

std::string encode_snapshot_header(const consensus::snapshot_meta& meta)
{
    const std::string metadata = consensus::encode_snapshot_meta(meta);
    std::string header;
    append_number(header, snapshot_magic);
    append_number(header, metadata.size());
    header += metadata;
    append_number(header, XXH3_64bits(header.data(), header.size()));
    return header;
}

absl::StatusOr<snapshot_header> decode_snapshot_header(const std::string& path,
                                                       std::string_view bytes)
{
    const auto corrupt = [&path](std::string_view what) {
        return file_error(error_code::snapshot_corrupt, path, 0, what);
    };
    std::string_view rest = bytes;
    const std::uint64_t magic = read_number(rest);
    const std::uint64_t size = read_number(rest);
    if (magic != snapshot_magic || size > rest.size() || rest.size() - size < checksum_size) {
        return corrupt("wrong magic or size");
    }
    const std::string_view checked = bytes.substr(0, fixed_size + size);
    const std::string_view metadata = rest.substr(0, size);
    rest.remove_prefix(size);
    if (read_number(rest) != XXH3_64bits(checked.data(), checked.size())) {
        return corrupt("checksum mismatch in the metadata");
    }
    auto meta = consensus::decode_snapshot_meta(metadata);
    if (!meta) {
        return corrupt("malformed metadata");
    }
    return snapshot_header{*std::move(meta), fixed_size + size + checksum_size};
}

absl::StatusOr<snapshot_header> check_snapshot_file(file_system& files, const std::string& path)
{
    const auto bytes = read_all(files, path);
    if (!bytes.ok()) {
        return bytes.status();
    }
    auto header = decode_snapshot_header(path, *bytes);
    if (!header.ok()) {
        return header.status();
    }
    const std::string_view data = std::string_view{*bytes}.substr(header->data_offset);
    const std::uint64_t expected = static_cast<std::uint64_t>(header->meta.size.value());
    if (data.size() != expected) {
        return file_error(error_code::snapshot_corrupt, path, bytes->size(),
                          "the file has " + std::to_string(data.size()) +
                              " bytes of data, expected " + std::to_string(expected));
    }
    if (snapshot_checksum(data) != header->meta.checksum) {
        return file_error(error_code::snapshot_corrupt, path, header->data_offset,
                          "checksum mismatch in the data");
    }
    return header;
}

} // namespace lovagebeam::storage
