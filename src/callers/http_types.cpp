#include "lovagebeam/callers/http_server.h"

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace lovagebeam::callers {

std::optional<std::string_view> http_request::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [name](const http_header& candidate) {
        return boost::beast::iequals({candidate.name.data(), candidate.name.size()},
                                     {name.data(), name.size()});
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

std::string_view http_request::path() const
{
    return std::string_view{target}.substr(0, target.find('?'));
}

std::string_view http_request::query() const
{
    const auto mark = target.find('?');
    return mark == std::string::npos ? std::string_view{}
                                     : std::string_view{target}.substr(mark + 1);
}

http_response error_response(unsigned status, base::error_code code, std::string_view message,
                             std::string_view outcome)
{
    const auto text = [](std::string_view value) {
        return boost::json::string_view{value.data(), value.size()};
    };
    const boost::json::object error{{"code", text(base::name_of(code))},
                                    {"message", text(message)},
                                    {"outcome", text(outcome)}};
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(boost::json::object{{"error", error}});
    return response;
}

} // namespace lovagebeam::callers
