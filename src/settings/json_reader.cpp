#include "lovagebeam/settings/json_reader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace lovagebeam::settings {
namespace {

boost::json::string_view to_json(std::string_view text)
{
    return {text.data(), text.size()};
}

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearest_name(std::string_view name, const std::vector<std::string>& known)
{
    std::string nearest;
    // A misspelling changes at most about a third of the letters.
    std::size_t min_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const auto& candidate : known) {
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < min_distance) {
            min_distance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

json_reader::json_reader(const boost::json::object& object, std::string path,
                         std::vector<problem>& problems)
    : m_object{object}, m_path{std::move(path)}, m_problems{problems}
{
}

std::string json_reader::path_of(std::string_view name) const
{
    return m_path.empty() ? std::string{name} : m_path + "." + std::string{name};
}

void json_reader::report(std::string_view name, std::string message)
{
    m_problems.push_back({path_of(name), std::move(message)});
}

const boost::json::value* json_reader::find(std::string_view name, presence needed)
{
    m_known.emplace_back(name);
    const auto* const value = m_object.if_contains(to_json(name));
    if (value == nullptr && needed == presence::required) {
        report(name, "is missing");
    }
    return value;
}

void json_reader::read(std::string_view name, std::string& out, presence needed)
{
    const auto* const value = find(name, needed);
    if (value == nullptr) {
        return;
    }
    const auto* const text = value->if_string();
    if (text == nullptr) {
        report(name, "must be a string");
        return;
    }
    if (text->empty()) {
        report(name, "must not be empty");
        return;
    }
    out.assign(text->data(), text->size());
}

void json_reader::read(std::string_view name, std::int64_t& out, std::int64_t low,
                       std::int64_t high, presence needed)
{
    const auto* const value = find(name, needed);
    if (value == nullptr) {
        return;
    }
    boost::system::error_code error;
    const auto number = value->is_number() && !value->is_double()
                            ? value->to_number<std::int64_t>(error)
                            : std::int64_t{0};
    if (!value->is_number() || value->is_double()) {
        report(name, "must be an integer");
        return;
    }
    if (error || number < low || number > high) {
        report(name, "must be between " + std::to_string(low) + " and " + std::to_string(high) +
                         ", but is " + boost::json::serialize(*value));
        return;
    }
    out = number;
}

void json_reader::read(std::string_view name, bool& out, presence needed)
{
    const auto* const value = find(name, needed);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        report(name, "must be true or false");
        return;
    }
    out = value->get_bool();
}

const boost::json::object* json_reader::child(std::string_view name, presence needed)
{
    const auto* const value = find(name, needed);
    if (value != nullptr && !value->is_object()) {
        report(name, "must be an object");
        return nullptr;
    }
    return value == nullptr ? nullptr : value->if_object();
}

const boost::json::array* json_reader::array(std::string_view name, presence needed)
{
    const auto* const value = find(name, needed);
    if (value != nullptr && !value->is_array()) {
        report(name, "must be an array");
        return nullptr;
    }
    return value == nullptr ? nullptr : value->if_array();
}

void json_reader::finish()
{
    for (const auto& entry : m_object) {
        const std::string name{entry.key().data(), entry.key().size()};
        if (std::ranges::find(m_known, name) != m_known.end()) {
            continue;
        }
        const std::string nearest = nearest_name(name, m_known);
        report(name,
               nearest.empty() ? "is unknown" : "is unknown; did you mean \"" + nearest + "\"?");
    }
}

} // namespace lovagebeam::settings
