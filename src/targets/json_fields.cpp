#include "lovagebeam/targets/json_fields.h"

#include "lovagebeam/base/errors.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <utility>

namespace lovagebeam::targets {
namespace {

namespace json = boost::json;

bool has_control_characters(std::string_view text)
{
    return std::ranges::any_of(text, [](char c) {
        const auto value = static_cast<unsigned char>(c);
        return value < 0x20 || value == 0x7f;
    });
}

std::string_view to_std(json::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

void decode_errors::add(std::string_view path, std::string_view problem)
{
    if (m_status.ok()) {
        m_status = base::make_error(base::error_code::invalid_request,
                                    std::string{path.empty() ? "message" : path} + ": " +
                                        std::string{problem});
    }
}

json_fields::json_fields(const json::value& value, std::string path, decode_errors& errors)
    : m_path{std::move(path)}, m_errors{errors}, m_object{value.if_object()}
{
    if (m_object == nullptr) {
        m_errors.add(m_path, "expected an object");
    }
}

std::string json_fields::path_of(std::string_view name) const
{
    return m_path.empty() ? std::string{name} : m_path + "." + std::string{name};
}

void json_fields::add_error(std::string_view name, std::string_view problem)
{
    m_errors.add(path_of(name), problem);
}

bool json_fields::has(std::string_view name) const
{
    return m_object != nullptr && m_object->contains(to_json(name));
}

const json::value* json_fields::find_field(std::string_view name)
{
    if (m_object == nullptr) {
        return nullptr;
    }
    const json::value* const found = m_object->if_contains(to_json(name));
    if (found == nullptr) {
        add_error(name, "missing");
        return nullptr;
    }
    m_read_names.push_back(name);
    return found;
}

std::string json_fields::text(std::string_view name, std::size_t max_bytes)
{
    const json::value* const found = find_field(name);
    if (found == nullptr) {
        return {};
    }
    const json::string* const value = found->if_string();
    if (value == nullptr) {
        add_error(name, "expected a string");
        return {};
    }
    if (value->size() > max_bytes) {
        add_error(name, "expected at most " + std::to_string(max_bytes) + " bytes");
        return {};
    }
    return {value->data(), value->size()};
}

std::string json_fields::id_or_empty(std::string_view name)
{
    std::string value = text(name, max_id_bytes);
    if (has_control_characters(value)) {
        add_error(name, "expected no control characters");
        return {};
    }
    return value;
}

std::string json_fields::id(std::string_view name)
{
    std::string value = id_or_empty(name);
    if (value.empty()) {
        add_error(name, "expected a text that isn't empty");
    }
    return value;
}

std::string json_fields::address(std::string_view name)
{
    std::string value = id(name);
    boost::system::error_code ec;
    boost::asio::ip::make_address(value, ec);
    if (ec) {
        add_error(name, "expected an IP address");
    }
    return value;
}

bool json_fields::boolean(std::string_view name)
{
    const json::value* const found = find_field(name);
    if (found == nullptr) {
        return false;
    }
    const bool* const value = found->if_bool();
    if (value == nullptr) {
        add_error(name, "expected true or false");
        return false;
    }
    return *value;
}

std::uint64_t json_fields::number(std::string_view name, std::uint64_t low, std::uint64_t high)
{
    const json::value* const found = find_field(name);
    if (found == nullptr) {
        return low;
    }
    if (!found->is_int64() && !found->is_uint64()) {
        add_error(name, "expected an integer");
        return low;
    }
    const bool negative = found->is_int64() && found->get_int64() < 0;
    const std::uint64_t value = negative ? 0
                                : found->is_uint64()
                                    ? found->get_uint64()
                                    : static_cast<std::uint64_t>(found->get_int64());
    if (negative || value < low || value > high) {
        add_error(name, "expected " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return value;
}

void json_fields::list(std::string_view name, const std::function<void(json_fields&)>& read)
{
    const json::value* const found = find_field(name);
    if (found == nullptr) {
        return;
    }
    const json::array* const elements = found->if_array();
    if (elements == nullptr) {
        add_error(name, "expected a list");
        return;
    }
    if (elements->size() > max_list_elements) {
        add_error(name, "expected at most " + std::to_string(max_list_elements) + " elements");
        return;
    }
    for (std::size_t i = 0; i < elements->size() && m_errors.status().ok(); ++i) {
        json_fields element{(*elements)[i], path_of(name) + "[" + std::to_string(i) + "]",
                            m_errors};
        read(element);
        element.finish();
    }
}

void json_fields::object(std::string_view name, const std::function<void(json_fields&)>& read)
{
    const json::value* const found = find_field(name);
    if (found == nullptr) {
        return;
    }
    json_fields fields{*found, path_of(name), m_errors};
    read(fields);
    fields.finish();
}

void json_fields::finish()
{
    if (m_object == nullptr || m_read_names.size() == m_object->size()) {
        return;
    }
    for (const auto& field : *m_object) {
        const std::string_view name = to_std(field.key());
        if (std::ranges::find(m_read_names, name) == m_read_names.end()) {
            add_error(name.substr(0, max_id_bytes), "unknown field");
        }
    }
}

absl::Status decode_object(std::string_view json, const std::function<void(json_fields&)>& read)
{
    boost::system::error_code ec;
    const json::value value = json::parse(to_json(json), ec);
    decode_errors errors;
    if (ec) {
        errors.add("", "not valid JSON: " + ec.message());
        return errors.status();
    }
    json_fields fields{value, "", errors};
    read(fields);
    fields.finish();
    return errors.status();
}

} // namespace lovagebeam::targets
