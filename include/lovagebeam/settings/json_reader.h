#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::settings {

/// A problem in a JSON document, with the path of the field, such as "members[2].port".
struct problem {
    std::string path;
    std::string message;

    friend bool operator==(const problem&, const problem&) = default;
};

/// Whether a field may be omitted.
enum class presence { required, optional };

/// Reads the fields of one JSON object and collects every problem instead of stopping at the
/// first. The object and the list of problems must outlive the reader. Not thread-safe.
class json_reader {
public:
    json_reader(const boost::json::object& object, std::string path,
                std::vector<problem>& problems);

    /// Reads a string of at least one character into `out`. Leaves `out` unchanged if the field is
    /// missing or invalid.
    void read(std::string_view name, std::string& out, presence needed);

    /// Reads an integer in [low, high] into `out`.
    void read(std::string_view name, std::int64_t& out, std::int64_t low, std::int64_t high,
              presence needed);

    /// Reads a boolean into `out`.
    void read(std::string_view name, bool& out, presence needed);

    /// Returns the object under `name`, or nullptr when it is missing or isn't an object.
    const boost::json::object* child(std::string_view name, presence needed);

    /// Returns the array under `name`, or nullptr when it is missing or isn't an array.
    const boost::json::array* array(std::string_view name, presence needed);

    /// Reports each field that no call has read, with the nearest known name. Must be the last
    /// call.
    void finish();

    /// Returns the path of the field `name` of this object.
    [[nodiscard]] std::string path_of(std::string_view name) const;

    /// Adds a problem with the field `name`.
    void report(std::string_view name, std::string message);

private:
    const boost::json::value* find(std::string_view name, presence needed);

    const boost::json::object& m_object;
    std::string m_path;
    std::vector<problem>& m_problems;
    std::vector<std::string> m_known;
};

/// Returns the name in `known` with the smallest edit distance to `name`, or an empty string when
/// `name` is unlikely to be a misspelling of any of them.
std::string nearest_name(std::string_view name, const std::vector<std::string>& known);

} // namespace lovagebeam::settings
