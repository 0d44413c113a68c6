#include "http_convert.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace lovagebeam::callers {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using base::error_code;

constexpr unsigned http_1_1 = 11;

bool is_printable(std::string_view text)
{
    return std::ranges::all_of(text, [](char c) {
        const auto value = static_cast<unsigned char>(c);
        return value == '\t' || (value >= 0x20 && value != 0x7f);
    });
}

bool is_framing(http::field name)
{
    return name == http::field::content_length || name == http::field::transfer_encoding ||
           name == http::field::connection || name == http::field::content_type;
}

bool may_have_body(unsigned status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::optional<http_response> refuse(unsigned status, error_code code, std::string_view message)
{
    return error_response(status, code, message);
}

} // namespace

std::optional<http_response> check_header(const beast_request& header,
                                          boost::optional<std::uint64_t> content_length,
                                          bool chunked, std::size_t body_limit)
{
    if (header.version() >= http_1_1 && header.count(http::field::host) != 1) {
        return refuse(400, error_code::invalid_request, "exactly one Host header is needed");
    }
    if (header.count(http::field::transfer_encoding) != 0 &&
        (!chunked || !beast::iequals(header[http::field::transfer_encoding], "chunked"))) {
        return refuse(501, error_code::invalid_request, "the only transfer coding is chunked");
    }
    if (content_length && *content_length > body_limit) {
        return refuse(413, error_code::message_too_large,
                      "the body has more than " + std::to_string(body_limit) + " bytes");
    }
    return std::nullopt;
}

std::optional<http_response> describe_read_error(const boost::beast::error_code& ec,
                                                 const http_server_limits& limits)
{
    if (ec == http::error::buffer_overflow) {
        return refuse(431, error_code::message_too_large,
                      "the trailers or a chunk's extensions are too large");
    }
    if (ec == http::error::header_limit) {
        return refuse(431, error_code::message_too_large,
                      "the headers have more than " + std::to_string(limits.max_header_bytes) +
                          " bytes");
    }
    if (ec == http::error::body_limit) {
        return refuse(413, error_code::message_too_large,
                      "the body has more than " + std::to_string(limits.max_body_bytes) + " bytes");
    }
    if (ec == beast::error::timeout) {
        return refuse(408, error_code::timed_out,
                      "the request wasn't complete after " +
                          std::to_string(limits.request_timeout.count()) + " ms");
    }
    if (ec == http::error::bad_version) {
        return refuse(505, error_code::invalid_request, "the version isn't HTTP/1.1");
    }
    if (ec == http::error::partial_message || ec == http::error::end_of_stream) {
        return refuse(400, error_code::invalid_request, "the request is incomplete");
    }
    if (ec.category() == http::make_error_code(http::error::bad_method).category()) {
        return refuse(400, error_code::invalid_request, "malformed request: " + ec.message());
    }
    return std::nullopt;
}

http_request convert_request(beast_request message)
{
    http_request request;
    const auto method = message.method_string();
    request.method.assign(method.data(), method.size());
    request.target.assign(message.target().data(), message.target().size());
    for (const auto& field : message) {
        request.headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    request.body = std::move(message.body());
    return request;
}

beast_response convert_response(http_response response, bool keep_open, bool head_request)
{
    beast_response message;
    message.version(http_1_1);
    message.result(response.status);
    message.keep_alive(keep_open);
    for (const auto& header : response.headers) {
        const auto known = http::string_to_field({header.name.data(), header.name.size()});
        if (!is_framing(known) && !header.name.empty() && is_printable(header.value) &&
            header.name.find_first_of(" \t\r\n:") == std::string::npos &&
            is_printable(header.name)) {
            message.insert(header.name, header.value);
        }
    }
    if (!may_have_body(response.status)) {
        return message;
    }
    if (!response.content_type.empty() && is_printable(response.content_type)) {
        message.set(http::field::content_type, response.content_type);
    }
    message.content_length(response.body.size());
    if (!head_request) {
        message.body() = std::move(response.body);
    }
    return message;
}

} // namespace lovagebeam::callers
