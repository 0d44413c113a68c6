#pragma once

#include "lovagebeam/callers/http_server.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <optional>

namespace lovagebeam::callers {

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;
using beast_response = boost::beast::http::response<boost::beast::http::string_body>;

/// Returns the error response to a request whose header is complete but not acceptable, or nothing.
std::optional<http_response> check_header(const beast_request& header,
                                          boost::optional<std::uint64_t> content_length,
                                          bool chunked, std::size_t body_limit);

/// Returns the error response to a request that couldn't be read because of `ec`, or nothing when
/// the connection is lost, so that no response can be sent.
std::optional<http_response> describe_read_error(const boost::beast::error_code& ec,
                                                 const http_server_limits& limits);

http_request convert_request(beast_request message);

/// Omits headers that would change the framing of the response or contain control characters.
beast_response convert_response(http_response response, bool keep_open, bool head_request);

} // namespace lovagebeam::callers
