#include "files.h"

#include <charconv>
#include <cstdio>

namespace lovagebeam::storage {
namespace {

constexpr std::size_t number_digits = 20;
constexpr std::size_t read_size = std::size_t{1} << 20U;

} // namespace

absl::Status file_error(base::error_code code, const std::string& path, std::uint64_t offset,
                        std::string_view what)
{
    return base::make_error(code,
                            path + " offset " + std::to_string(offset) + ": " + std::string{what});
}

absl::Status write_all(file& target, std::uint64_t offset, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto written = target.write_at(offset, bytes);
        if (!written.ok()) {
            return written.status();
        }
        offset += *written;
        bytes.remove_prefix(*written);
    }
    return absl::OkStatus();
}

absl::StatusOr<std::string> read_all(file_system& files, const std::string& path)
{
    auto source = files.open(path, open_mode::existing);
    if (!source.ok()) {
        return source.status();
    }
    std::string bytes;
    while (true) {
        auto part = (*source)->read_at(bytes.size(), read_size);
        if (!part.ok()) {
            return part.status();
        }
        if (part->empty()) {
            return bytes;
        }
        bytes += *part;
    }
}

absl::Status replace_file(file_system& files, const std::string& folder, const std::string& name,
                          std::string_view bytes)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + std::string{temporary_suffix};
    auto target = files.open(temporary, open_mode::create);
    if (!target.ok()) {
        return target.status();
    }
    if (auto status = write_all(**target, 0, bytes); !status.ok()) {
        return status;
    }
    if (auto status = (*target)->sync(); !status.ok()) {
        return status;
    }
    if (auto status = files.rename(temporary, path); !status.ok()) {
        return status;
    }
    return files.sync_folder(folder);
}

std::string numbered_name(std::string_view prefix, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return std::string{prefix} + std::string(number_digits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> parse_numbered_name(std::string_view prefix, std::string_view name)
{
    if (!name.starts_with(prefix) || name.size() != prefix.size() + number_digits) {
        return std::nullopt;
    }
    name.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc{} || end != name.data() + name.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace lovagebeam::storage
