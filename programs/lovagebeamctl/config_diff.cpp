#include "config_diff.h"

#include "lovagebeam/operators/protocol.h"

#include <boost/json.hpp>

#include <map>

namespace lovagebeam::ctl {
namespace {

using field_values = std::map<std::string, std::string>;

void add_fields(field_values& out, const std::string& path, const boost::json::object& set)
{
    for (const auto& field : set) {
        out[path + "." + std::string{field.key()}] = boost::json::serialize(field.value());
    }
}

field_values flatten_fields(const state::configuration& document)
{
    field_values out;
    const auto text = operators::render_configuration(document, base::config_version{});
    const auto object = boost::json::parse(text).as_object();
    add_fields(out, "defaults", object.at("defaults").as_object());
    for (const auto& entry : object.at("exceptions").as_array()) {
        const auto& exception = entry.as_object();
        const std::string scope{exception.at("scope").as_string()};
        add_fields(out, scope, exception.at("set").as_object());
        out[scope + " reason"] = boost::json::serialize(exception.at("reason"));
    }
    return out;
}

} // namespace

std::string diff_configurations(const state::configuration& current,
                                const state::configuration& desired)
{
    const field_values before = flatten_fields(current);
    const field_values after = flatten_fields(desired);
    std::string out;
    for (const auto& [path, value] : before) {
        const auto found = after.find(path);
        if (found == after.end() || found->second != value) {
            out.append("- ").append(path).append(" = ").append(value).append("\n");
        }
        if (found != after.end() && found->second != value) {
            out.append("+ ").append(path).append(" = ").append(found->second).append("\n");
        }
    }
    for (const auto& [path, value] : after) {
        if (!before.contains(path)) {
            out.append("+ ").append(path).append(" = ").append(value).append("\n");
        }
    }
    return out.empty() ? "no difference\n" : out;
}

} // namespace lovagebeam::ctl
