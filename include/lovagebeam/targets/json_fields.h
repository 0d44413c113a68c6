#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

/// Strict JSON decoding, shared by the target protocol and the worker protocol.
namespace lovagebeam::targets {

/// Largest length of an identifier, in bytes. Identifiers also must not contain control characters,
/// since they are written to headers and log lines.
inline constexpr std::size_t max_id_bytes = 256;

/// Largest number of elements of a list.
inline constexpr std::size_t max_list_elements = 65'536;

/// Keeps the first error of a message and ignores later ones.
class decode_errors {
public:
    /// Records `path: problem` as `invalid_request`.
    void add(std::string_view path, std::string_view problem);

    [[nodiscard]] const absl::Status& status() const { return m_status; }

private:
    absl::Status m_status;
};

/// Reads the fields of one JSON object. A field that is missing, of the wrong type or out of range
/// adds an error and is read as an empty value; for a number, as its lower bound.
class json_fields {
public:
    /// `value` and `errors` must outlive this object. `path` is empty for the
    /// top-level object.
    json_fields(const boost::json::value& value, std::string path, decode_errors& errors);

    [[nodiscard]] bool has(std::string_view name) const;

    /// Reads an identifier: 1 to `max_id_bytes` bytes without control characters.
    std::string id(std::string_view name);
    std::string id_or_empty(std::string_view name);
    std::string text(std::string_view name,
                     std::size_t max_bytes = std::numeric_limits<std::size_t>::max());
    /// Reads an IPv4 or IPv6 address.
    std::string address(std::string_view name);
    bool boolean(std::string_view name);
    std::uint64_t number(std::string_view name, std::uint64_t low, std::uint64_t high);

    /// Calls `read` for each element of a list of objects.
    void list(std::string_view name, const std::function<void(json_fields&)>& read);

    /// Calls `read` for a field that is an object.
    void object(std::string_view name, const std::function<void(json_fields&)>& read);

    void add_error(std::string_view name, std::string_view problem);

    /// Adds an error for a field that wasn't read.
    void finish();

private:
    const boost::json::value* find_field(std::string_view name);
    [[nodiscard]] std::string path_of(std::string_view name) const;

    std::string m_path;
    decode_errors& m_errors;
    const boost::json::object* m_object = nullptr;
    std::vector<std::string_view> m_read_names;
};

/// Parses `json` and reads its fields with `read`. Returns the first error.
absl::Status decode_object(std::string_view json, const std::function<void(json_fields&)>& read);

inline boost::json::string_view to_json(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace lovagebeam::targets
